#include "worker.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <sstream>
#include <thread>
#include <utility>

namespace review {

namespace {

using json = nlohmann::json;

constexpr std::int64_t longest_hold_ms = 6000;
constexpr std::int64_t stop_time_ms = 100;
constexpr std::int64_t pace_time_ms = 100;
constexpr std::int64_t startup_ms = 700;
constexpr std::int64_t beat_ms = 1500;

bool fills(const std::string& spec)
{
    return spec.starts_with("fill");
}

std::string next_id()
{
    static std::atomic<int> lives{0};
    return "w-" + std::to_string(101 + lives++);
}

std::int64_t argument_of(const std::string& spec)
{
    return std::stoll(spec.substr(spec.find(' ') + 1));
}

} // namespace

worker::worker(worker_settings settings, store& registry, record& log)
    : settings_{std::move(settings)}, registry_{registry}, log_{log}, server_{[this](const request& r) {
          return handle(r);
      }}
{
    settings_.id = next_id();
}

void worker::start()
{
    {
        const std::lock_guard lock{mutex_};
        born_unix_ms_ = unix_ms();
        born_at_ = log_.now_ms();
        server_.start();
        beat();
    }
    std::thread{[this] { run_loop(); }}.detach();
}

void worker::set_treatment(treat t)
{
    const std::lock_guard lock{mutex_};
    treat_ = std::move(t);
}

void worker::set_latency(double alone_ms, double per_fill_ms)
{
    const std::lock_guard lock{mutex_};
    alone_ms_ = alone_ms;
    per_fill_ms_ = per_fill_ms;
    update_over();
}

worker_settings worker::settings()
{
    const std::lock_guard lock{mutex_};
    return settings_;
}

std::vector<started> worker::starts()
{
    const std::lock_guard lock{mutex_};
    return starts_;
}

int worker::crashes()
{
    const std::lock_guard lock{mutex_};
    return crashes_;
}

void worker::watch_target(double target_ms)
{
    const std::lock_guard lock{mutex_};
    target_ms_ = target_ms;
    over_since_ = -1;
    longest_over_ms_ = 0;
    update_over();
}

std::int64_t worker::longest_over_ms()
{
    const std::lock_guard lock{mutex_};
    update_over();
    return longest_over_ms_;
}

void worker::update_over()
{
    if (target_ms_ <= 0.0)
        return;
    const std::int64_t now = log_.now_ms();
    const bool over = tail_locked() > target_ms_ && alone_ms_ <= target_ms_ && fill_pace_locked() > 0;
    if (over_since_ >= 0)
        longest_over_ms_ = std::max(longest_over_ms_, now - over_since_);
    if (over != (over_since_ >= 0))
        log_.write(settings_.id + (over ? " is over" : " is under") +
                   " the target: " + std::to_string(static_cast<int>(tail_locked())) + " ms, sum of paces " +
                   std::to_string(fill_pace_locked()));
    if (!over)
        over_since_ = -1;
    else if (over_since_ < 0)
        over_since_ = now;
}

int worker::fill_pace_locked() const
{
    int sum = 0;
    for (const auto& [task, it] : running_) {
        if (fills(it.spec))
            sum += it.pace;
    }
    return sum;
}

std::vector<std::string> worker::running()
{
    const std::lock_guard lock{mutex_};
    std::vector<std::string> out;
    for (const auto& [task, it] : running_)
        out.push_back(task);
    return out;
}

void worker::cut_off(int ms)
{
    const std::lock_guard lock{mutex_};
    cut_until_ = log_.now_ms() + ms;
    log_.write(settings_.id + " on " + settings_.machine + " is cut off for " + std::to_string(ms) + " ms");
    changed_.notify_all();
}

double worker::tail_locked() const
{
    const bool serves = std::any_of(running_.begin(), running_.end(), [this](const auto& entry) {
        return entry.second.spec == "serve" && log_.now_ms() - entry.second.started_at >= startup_ms;
    });
    return serves ? alone_ms_ + per_fill_ms_ * fill_pace_locked() / 100.0 : 0.0;
}

double worker::tail_ms()
{
    const std::lock_guard lock{mutex_};
    return tail_locked();
}

int worker::fill_pace()
{
    const std::lock_guard lock{mutex_};
    return fill_pace_locked();
}

bool worker::runs(const std::string& spec)
{
    const std::lock_guard lock{mutex_};
    return std::any_of(running_.begin(), running_.end(),
                       [&spec](const auto& entry) { return entry.second.spec == spec; });
}

reply worker::refuse(const char* reason)
{
    return {409, json{{"clock-ms", clock_ms()}, {"reason", reason}}.dump(), false};
}

reply worker::handle(const request& r)
{
    if (r.path == "/health")
        return {};
    const json body = json::parse(r.body);
    std::unique_lock lock{mutex_};
    const auto expected = r.headers.find("x-expected-instance");
    if (expected != r.headers.end() && expected->second != settings_.id)
        return {421, "{}", false};
    if (log_.now_ms() < cut_until_)
        return {200, {}, true};
    if (r.path == "/hold")
        return hold(body, lock);
    const treatment t = treat_ ? treat_(r.path, body) : treatment{};
    if (!t.unanswered)
        return carry_out(r.path, body);
    log_.write(settings_.id + " " + r.path + " " + r.body + " -> no answer" +
               (t.late_ms > 0 ? ", carried out " + std::to_string(t.late_ms) + " ms later" : std::string{}));
    if (t.late_ms > 0) {
        std::thread{[this, path = r.path, body, after = t.late_ms, life = incarnation_] {
            std::this_thread::sleep_for(std::chrono::milliseconds{after});
            const std::lock_guard late_lock{mutex_};
            if (life == incarnation_ && back_at_ == 0)
                carry_out(path, body);
        }}.detach();
    }
    return {200, {}, true};
}

reply worker::carry_out(const std::string& path, const json& body)
{
    const std::uint64_t token = body.value("fencing-token", std::uint64_t{0});
    reply out;
    if (token < token_) {
        out = refuse("fence");
    } else {
        token_ = token;
        const std::string task = body.at("task").get<std::string>();
        const std::uint64_t number = body.at("run").get<std::uint64_t>();
        const auto it = running_.find(task);
        const bool present = it != running_.end() && it->second.number == number;
        out.body = json{{"clock-ms", clock_ms()}}.dump();
        if (path == "/run-start") {
            out = start_run(body);
        } else if (path == "/run-stop") {
            std::uint64_t& closed = closed_[task];
            closed = std::max(closed, number);
            if (present && it->second.stop_at == 0)
                it->second.stop_at = log_.now_ms() + stop_time_ms;
        } else if (path == "/pace" && present) {
            it->second.next_pace = body.at("percent").get<int>();
            it->second.pace_at = log_.now_ms() + pace_time_ms;
        }
    }
    log_.write(settings_.id + " " + path + " " + body.dump() + " -> " + std::to_string(out.status) + " " +
               out.body);
    return out;
}

reply worker::start_run(const json& body)
{
    const std::string task = body.at("task").get<std::string>();
    const std::uint64_t number = body.at("run").get<std::uint64_t>();
    const std::int64_t deadline = body.at("deadline-ms").get<std::int64_t>();
    lease_ms_ = std::max(lease_ms_, std::min(deadline, clock_ms() + longest_hold_ms));
    const auto it = running_.find(task);
    if (it != running_.end() && it->second.number == number)
        return {200, json{{"clock-ms", clock_ms()}}.dump(), false};
    const auto closed = closed_.find(task);
    if (it != running_.end() || (closed != closed_.end() && number <= closed->second))
        return refuse("old");
    if (deadline <= clock_ms())
        return refuse("late");
    run_state run;
    run.number = number;
    run.spec = body.at("spec").get<std::string>();
    run.started_at = log_.now_ms();
    running_[task] = run;
    update_over();
    starts_.push_back({run.started_at, settings_.id, task, number});
    return {200, json{{"clock-ms", clock_ms()}}.dump(), false};
}

reply worker::hold(const json& body, std::unique_lock<std::mutex>& lock)
{
    const std::uint64_t token = body.value("fencing-token", std::uint64_t{0});
    if (token < token_)
        return refuse("fence");
    token_ = token;
    const std::uint64_t seen = body.value("seen-upto", std::uint64_t{0});
    if (delay_from_ != 0 && seen >= delay_from_) {
        log_.write(settings_.id + " /hold " + body.dump() + " -> no answer, carried out " +
                   std::to_string(delay_ms_) + " ms later; " + settings_.id + " crashes meanwhile");
        delay_from_ = 0;
        keeps_id_ = true;
        crash_at_ = log_.now_ms() + 100;
        std::thread{[this, seen, token, after = delay_ms_] {
            std::this_thread::sleep_for(std::chrono::milliseconds{after});
            const std::lock_guard late_lock{mutex_};
            if (token < token_ || back_at_ != 0)
                return;
            log_.write(settings_.id + " carries out the late /hold with seen-upto " + std::to_string(seen) +
                       "; it lists " + std::to_string(ended_.size()) + " ends, the last one is " +
                       std::to_string(last_end_));
            acknowledge(seen);
        }}.detach();
        return {200, {}, true};
    }
    acknowledge(seen);
    const std::int64_t deadline = body.value("deadline-ms", std::int64_t{0});
    lease_ms_ = std::max(lease_ms_, std::min(deadline, clock_ms() + longest_hold_ms));
    const std::int64_t wait = std::min<std::int64_t>(body.value("wait-ms", std::int64_t{0}), 2000);
    const std::uint64_t life = incarnation_;
    changed_.wait_for(lock, std::chrono::milliseconds{wait}, [this, life] {
        return !ended_.empty() || life != incarnation_ || log_.now_ms() < cut_until_;
    });
    if (life != incarnation_ || log_.now_ms() < cut_until_)
        return {200, {}, true};
    json rows = json::array();
    for (const auto& [task, it] : running_) {
        json row{task, it.number, "", 100};
        if (it.spec == "serve") {
            row[3] = log_.now_ms() - it.started_at >= startup_ms ? 100 : 0;
            row.push_back(static_cast<std::int64_t>(tail_locked()));
        } else if (fills(it.spec)) {
            row[3] = it.pace;
            row.push_back(4000 * it.pace / 100);
        } else {
            row[3] = 50;
            row.push_back(1000);
        }
        rows.push_back(row);
    }
    json ends = json::array();
    for (const end& e : ended_) {
        if (ends.size() < 500)
            ends.push_back({e.sequence, e.task, e.run, e.how, ""});
    }
    return {
        200,
        json{{"clock-ms", clock_ms()}, {"born", born_unix_ms_}, {"running", rows}, {"ended", ends}}.dump(),
        false};
}

void worker::acknowledge(std::uint64_t seen)
{
    for (const end& e : ended_) {
        if (e.sequence <= seen && e.how == "done")
            noted_.push_back({e.task, e.run, e.at_ms});
    }
    std::erase_if(ended_, [seen](const end& e) { return e.sequence <= seen; });
}

void worker::delay_acknowledgement(std::uint64_t least, int late_ms)
{
    const std::lock_guard lock{mutex_};
    delay_from_ = least;
    delay_ms_ = late_ms;
}

std::vector<noted_end> worker::noted()
{
    const std::lock_guard lock{mutex_};
    return noted_;
}

void worker::end_run(const std::string& task, const char* how)
{
    const run_state run = running_.at(task);
    running_.erase(task);
    update_over();
    std::uint64_t& closed = closed_[task];
    closed = std::max(closed, run.number);
    ended_.push_back({++last_end_, task, run.number, how, log_.now_ms()});
    log_.write(settings_.id + " ends " + task + " run " + std::to_string(run.number) + " " + how);
    changed_.notify_all();
}

void worker::crash()
{
    ++crashes_;
    ++incarnation_;
    log_.write(settings_.id + " on " + settings_.machine + " crashes, back in " + std::to_string(down_ms_) +
               " ms");
    running_.clear();
    closed_.clear();
    ended_.clear();
    last_end_ = 0;
    token_ = 0;
    lease_ms_ = 0;
    back_at_ = log_.now_ms() + down_ms_;
    if (!keeps_id_)
        silent_entries_[settings_.id] = next_beat_at_ + 2 * beat_ms;
    server_.stop();
    changed_.notify_all();
}

void worker::beat()
{
    next_beat_at_ = log_.now_ms() + beat_ms;
    const json entry{
        {"service", settings_.service},
        {"address", "127.0.0.1:" + std::to_string(server_.port())},
        {"zone", settings_.zone},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold-left-ms", 0},
        {"capacity", {{"cpu", settings_.cpu}, {"mem-mb", settings_.memory_mb}, {"gpu", 0}}},
        {"labels", {settings_.kind, settings_.rack}},
        {"machine", settings_.machine},
        {"born", born_unix_ms_},
        {"clock-ms", clock_ms()},
        {"seq", ++seq_},
    };
    registry_.put("servers/" + settings_.id, entry.dump());
}

const char* worker::end_of(const std::string& task, const run_state& run) const
{
    const double age_ms = static_cast<double>(log_.now_ms() - run.started_at);
    std::istringstream words{run.spec};
    std::string what;
    words >> what;
    double limit_ms = 0.0;
    double done_ms = 0.0;
    if (what == "done" && words >> limit_ms)
        done_ms = age_ms;
    else if (what == "fill" && words >> limit_ms)
        done_ms = run.worked_ms;
    if (what == "vary" && words >> limit_ms) {
        limit_ms =
            500.0 + static_cast<double>(std::hash<std::string>{}(task) % static_cast<std::size_t>(limit_ms));
        done_ms = age_ms;
    }
    std::string index;
    if (what == "fail" && words >> index >> limit_ms) {
        if (task.ends_with("." + index))
            return age_ms >= limit_ms ? "failed" : nullptr;
        limit_ms = 30000.0;
        done_ms = age_ms;
    }
    return limit_ms > 0.0 && done_ms >= limit_ms ? "done" : nullptr;
}

void worker::advance()
{
    const std::int64_t now = log_.now_ms();
    const std::int64_t passed = now - std::exchange(advanced_at_, now);
    for (const auto& [id, until] : silent_entries_) {
        if (now >= until)
            registry_.remove("servers/" + id);
    }
    std::erase_if(silent_entries_, [now](const auto& entry) { return now >= entry.second; });
    if (back_at_ != 0) {
        if (now < back_at_)
            return;
        back_at_ = 0;
        if (!keeps_id_)
            settings_.id = next_id();
        born_unix_ms_ = unix_ms();
        born_at_ = now;
        seq_ = 0;
        server_.start();
        log_.write(settings_.machine + " is back with " + settings_.id);
        beat();
    }
    if (crash_at_ != 0 && now >= crash_at_) {
        crash_at_ = 0;
        crash();
        return;
    }
    if (now >= next_beat_at_)
        beat();
    update_over(); // A task that serves may have begun to work.
    std::vector<std::pair<std::string, const char*>> over;
    for (auto& [task, it] : running_) {
        if (it.pace_at != 0 && now >= it.pace_at) {
            it.pace = it.next_pace;
            it.pace_at = 0;
            update_over();
        }
        it.worked_ms += static_cast<double>(passed) * it.pace / 100.0;
        if (clock_ms() > lease_ms_) {
            over.emplace_back(task, "lapsed");
        } else if (it.stop_at != 0 && now >= it.stop_at) {
            over.emplace_back(task, "stopped");
        } else if (it.spec.starts_with("crash ") && now - it.started_at >= argument_of(it.spec)) {
            crash();
            return;
        } else if (const char* how = end_of(task, it)) {
            over.emplace_back(task, how);
        }
    }
    for (const auto& [task, how] : over)
        end_run(task, how);
}

void worker::run_loop()
{
    while (true) {
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
        const std::lock_guard lock{mutex_};
        advance();
    }
}

} // namespace review
