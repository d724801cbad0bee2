#include "worker.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::int64_t hold_max_ms = 6000;
constexpr std::int64_t longest_wait_ms = 2000;

} // namespace

worker::worker(std::string id, std::int64_t born_ms, event_log on_event)
    : id_{std::move(id)}, born_ms_{born_ms}, on_event_{std::move(on_event)},
      server_{[this](const http_request& request) { return handle(request); }}
{
}

std::int64_t worker::clock_ms() const
{
    return 1000 + std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - boot_).count();
}

json worker::registration(const std::string& service, const std::string& machine, std::uint16_t link_port)
{
    const std::lock_guard lock{mutex_};
    return {{"service", service},
            {"address", "127.0.0.1:" + std::to_string(link_port)},
            {"zone", "z-a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold-left-ms", 0},
            {"capacity", {{"cpu", 64000}, {"mem-mb", 262144}, {"gpu", 0}}},
            {"labels", json::array({"a", "r1"})},
            {"clock-ms", clock_ms()},
            {"machine", machine},
            {"born", born_ms_},
            {"seq", ++beats_}};
}

void worker::kill()
{
    const std::lock_guard lock{mutex_};
    dead_ = true;
    running_.clear();
    changed_.notify_all();
}

http_response worker::refuse(const char* reason) const
{
    return {409, json{{"clock-ms", clock_ms()}, {"born", born_ms_}, {"reason", reason}}.dump()};
}

bool worker::fenced(const json& body)
{
    const std::uint64_t token = body.value("fencing-token", std::uint64_t{0});
    if (token < token_)
        return true;
    token_ = token;
    return false;
}

void worker::extend(const json& body)
{
    const std::int64_t until = body.value("deadline-ms", std::int64_t{0});
    lease_until_ms_ = std::max(lease_until_ms_, std::min(until, clock_ms() + hold_max_ms));
}

void worker::finish(const std::string& task, const char* how)
{
    const std::int64_t number = running_.at(task).number;
    running_.erase(task);
    if (std::string{how} == "lapsed")
        on_event_({id_, task, number, true});
    last_over_[task] = std::max(last_over_[task], number);
    ended_.push_back(json::array({++sequence_, task, number, how, ""}));
}

void worker::advance()
{
    std::vector<std::string> over;
    const bool lapsed = clock_ms() >= lease_until_ms_;
    for (const auto& [task, it] : running_) {
        if (lapsed || steady::now() >= it.started + it.length)
            over.push_back(task);
    }
    for (const std::string& task : over)
        finish(task, lapsed ? "lapsed" : "done");
}

std::optional<http_response> worker::handle(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    std::unique_lock lock{mutex_};
    if (dead_)
        return std::nullopt;
    const auto instance = request.headers.find("x-expected-instance");
    if (instance != request.headers.end() && instance->second != id_)
        return http_response{421, "{}"};
    if (!body.is_object())
        return http_response{400, "{}"};
    advance();
    if (request.path == "/run-start")
        return start(body);
    if (request.path == "/run-stop")
        return stop(body);
    if (request.path == "/hold")
        return hold(body, lock);
    return http_response{200, json{{"clock-ms", clock_ms()}, {"born", born_ms_}}.dump()};
}

http_response worker::start(const json& body)
{
    if (fenced(body))
        return refuse("fence");
    extend(body);
    const std::string task = body.at("task").get<std::string>();
    const std::int64_t number = body.at("run").get<std::int64_t>();
    const json done{{"clock-ms", clock_ms()}, {"born", born_ms_}};
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number == number)
        return {200, done.dump()};
    if (it != running_.end() || last_over_[task] >= number)
        return refuse("old");
    if (body.at("deadline-ms").get<std::int64_t>() <= clock_ms())
        return refuse("late");
    const std::string spec = body.value("spec", "1000");
    running_[task] = {number, steady::now(), std::chrono::milliseconds{std::stol("0" + spec)}};
    on_event_({id_, task, number, false});
    changed_.notify_all();
    return {200, done.dump()};
}

http_response worker::stop(const json& body)
{
    if (fenced(body))
        return refuse("fence");
    const std::string task = body.at("task").get<std::string>();
    const std::int64_t number = body.at("run").get<std::int64_t>();
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number == number)
        finish(task, "stopped");
    last_over_[task] = std::max(last_over_[task], number);
    changed_.notify_all();
    return {200, json{{"clock-ms", clock_ms()}, {"born", born_ms_}}.dump()};
}

http_response worker::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    if (fenced(body))
        return refuse("fence");
    extend(body);
    const std::int64_t seen = body.value("seen-upto", std::int64_t{0});
    std::erase_if(ended_, [seen](const json& row) { return row.at(0).get<std::int64_t>() <= seen; });
    const std::int64_t wait = std::min(body.value("wait-ms", std::int64_t{0}), longest_wait_ms);
    const steady::time_point until = steady::now() + std::chrono::milliseconds{wait};
    const std::int64_t before = sequence_;
    while (!dead_ && sequence_ == before && steady::now() < until) {
        steady::time_point next = until;
        for (const auto& [task, it] : running_)
            next = std::min(next, it.started + it.length);
        changed_.wait_until(lock, next);
        advance();
    }
    json running = json::array();
    for (const auto& [task, it] : running_) {
        const double share = std::chrono::duration<double>(steady::now() - it.started).count() /
                             std::max(0.001, std::chrono::duration<double>(it.length).count());
        running.push_back({task, it.number, "", static_cast<int>(std::min(100.0, 100.0 * share)), 0});
    }
    json ended = json::array();
    for (const json& row : ended_) {
        if (ended.size() < 500)
            ended.push_back(row);
    }
    return {
        200,
        json{{"clock-ms", clock_ms()}, {"born", born_ms_}, {"running", running}, {"ended", ended}}.dump()};
}

} // namespace review
