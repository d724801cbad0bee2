#pragma once

#include "http_answers.h"
#include "json_fields.h"
#include "run_history.h"

#include "net/http_server.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace review {

using json = nlohmann::json;
using mjm::platform::integer_field;
using mjm::platform::parse_json;
using mjm::platform::text_field;

inline constexpr std::size_t listed_ends = 500;
inline constexpr std::int64_t first_clock_ms = 1000;

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// What a worker does with a task. Tells the time that the task works and how it ends.
struct task_plan {
    std::chrono::milliseconds work{1000};
    std::string how = "done";
};

struct worker_settings {
    std::string id;
    std::string machine;
    std::string service;
    std::string zone;
    std::int64_t cpu = 16000; ///< Thousandths of a core.
    std::int64_t mem_mb = 131072;
    double clock_rate = 1.0; ///< Of its steady clock; the protocol allows 0.98.
    std::int64_t hold_max_ms = 6000;
    std::int64_t stop_ms = 100; ///< The protocol allows `stop-ms`, 200.
    /// Called for each run that starts.
    std::function<task_plan(const std::string& task, std::int64_t run)> plan;
};

/// Stand-in for a worker, with the orders, leases and lists of the protocol page. Used on one thread.
class worker_standin {
public:
    worker_standin(worker_settings settings, run_history& history);

    void handle(const mjm::http_request& request, std::size_t machine,
                const mjm::http_server::responder& respond);
    /// A machine that is cut off gets no answers, and its orders don't arrive.
    void cut(std::size_t machine, bool off);
    /// Everything that runs ends, and what the worker knew is lost. Until `restart` nothing is answered.
    void crash();
    /// Starts again, under the same id or another one.
    void restart(const std::string& id);
    [[nodiscard]] bool up() const { return up_; }
    [[nodiscard]] std::size_t running() const { return runs_.size(); }
    [[nodiscard]] const worker_settings& settings() const { return settings_; }
    /// Text of the worker's entry for service discovery.
    [[nodiscard]] std::string registration();
    /// Ends runs whose work or lease is over, and answers calls whose wait is over.
    void tick();
    /// The machine whose order was carried out last, and when.
    [[nodiscard]] std::optional<std::size_t> ordered_by() const { return ordered_by_; }
    [[nodiscard]] std::chrono::steady_clock::time_point ordered_at() const { return ordered_at_; }

private:
    struct running_task {
        std::int64_t run = 0;
        std::int64_t ends_ms = 0; ///< On the worker's clock.
        std::string how;
        std::int64_t cpu = 0;
        std::size_t history = 0;
    };
    struct listed_end {
        std::uint64_t number = 0;
        std::string task;
        std::int64_t run = 0;
        std::string how;
        std::size_t history = 0;
        bool lapsed_since = false;
    };
    struct waiting_hold {
        std::size_t machine = 0;
        std::int64_t until_ms = 0;
        mjm::http_server::responder respond;
    };

    [[nodiscard]] std::int64_t clock_ms() const;
    void start(const mjm::http_request& request, std::size_t machine,
               const mjm::http_server::responder& respond);
    void stop(const mjm::http_request& request, std::size_t machine,
              const mjm::http_server::responder& respond);
    void hold(const mjm::http_request& request, std::size_t machine,
              const mjm::http_server::responder& respond);
    /// Returns false, and answers, if the call carries an older fencing token than the worker has seen.
    [[nodiscard]] bool admit(std::int64_t token, std::size_t machine,
                             const mjm::http_server::responder& respond);
    void extend(std::int64_t deadline_ms);
    void end_run(const std::string& task, const std::string& how);
    void list(const mjm::http_server::responder& respond) const;
    void refuse(const mjm::http_server::responder& respond, const char* reason) const;
    void answer_holds(bool end_listed);

    worker_settings settings_;
    run_history& history_;
    std::map<std::size_t, bool> cut_;
    bool up_ = true;
    std::chrono::steady_clock::time_point began_;
    std::int64_t born_ms_ = 0;
    std::int64_t token_ = 0;
    std::int64_t deadline_ms_ = 0;
    std::uint64_t next_end_ = 1;
    std::uint64_t seq_ = 0;
    std::map<std::string, running_task> runs_;
    std::map<std::string, std::int64_t> last_ended_; ///< By task: highest run that was stopped or has ended.
    std::deque<listed_end> ends_;
    std::list<waiting_hold> holds_;
    std::optional<std::size_t> ordered_by_;
    std::chrono::steady_clock::time_point ordered_at_;
};

inline worker_standin::worker_standin(worker_settings settings, run_history& history)
    : settings_{std::move(settings)}, history_{history}, began_{std::chrono::steady_clock::now()},
      born_ms_{unix_ms()}
{
}

inline std::int64_t worker_standin::clock_ms() const
{
    const std::chrono::duration<double, std::milli> age = std::chrono::steady_clock::now() - began_;
    return first_clock_ms + static_cast<std::int64_t>(age.count() * settings_.clock_rate);
}

inline std::string worker_standin::registration()
{
    return json{{"service", settings_.service},
                {"address", "@" + settings_.machine + "@"},
                {"zone", settings_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold-left-ms", 0},
                {"capacity", {{"cpu", settings_.cpu}, {"mem-mb", settings_.mem_mb}, {"gpu", 0}}},
                {"labels", {"a", "r-" + settings_.zone}},
                {"machine", settings_.machine},
                {"born", born_ms_},
                {"clock-ms", clock_ms()},
                {"seq", ++seq_}}
        .dump();
}

inline void worker_standin::handle(const mjm::http_request& request, std::size_t machine,
                                   const mjm::http_server::responder& respond)
{
    tick();
    if (!up_ || cut_[machine]) {
        respond(dropped());
        return;
    }
    if (request.header("x-expected-instance") != settings_.id) {
        respond(answer_of(json::object(), 421));
        return;
    }
    if (request.path == "/run-start")
        start(request, machine, respond);
    else if (request.path == "/run-stop")
        stop(request, machine, respond);
    else if (request.path == "/hold")
        hold(request, machine, respond);
    else
        respond(answer_of({{"clock-ms", clock_ms()}}));
}

inline bool worker_standin::admit(std::int64_t token, std::size_t machine,
                                  const mjm::http_server::responder& respond)
{
    if (token < token_) {
        refuse(respond, "fence");
        return false;
    }
    token_ = token;
    ordered_by_ = machine;
    ordered_at_ = std::chrono::steady_clock::now();
    return true;
}

inline void worker_standin::refuse(const mjm::http_server::responder& respond, const char* reason) const
{
    respond(answer_of({{"clock-ms", clock_ms()}, {"reason", reason}}, 409));
}

inline void worker_standin::extend(std::int64_t deadline_ms)
{
    deadline_ms_ = std::max(deadline_ms_, std::min(deadline_ms, clock_ms() + settings_.hold_max_ms));
}

inline void worker_standin::start(const mjm::http_request& request, std::size_t machine,
                                  const mjm::http_server::responder& respond)
{
    const json body = parse_json(request.body);
    const std::string task = text_field(body, "task").value_or("");
    const std::int64_t run = integer_field(body, "run").value_or(0);
    const std::int64_t deadline = integer_field(body, "deadline-ms").value_or(0);
    const std::string where = " at " + settings_.id + " from machine " + std::to_string(machine);
    if (!admit(integer_field(body, "fencing-token").value_or(0), machine, respond)) {
        history_.note("fenced   start of " + task + " run " + std::to_string(run) + where);
        return;
    }
    if (deadline <= clock_ms()) {
        refuse(respond, "late");
        return;
    }
    extend(deadline);
    const auto there = runs_.find(task);
    if (there != runs_.end() && there->second.run == run) {
        respond(answer_of({{"clock-ms", clock_ms()}}));
        return;
    }
    const auto ended = last_ended_.find(task);
    if (ended != last_ended_.end() && run <= ended->second) {
        refuse(respond, "old");
        return;
    }
    // The protocol page doesn't say what a worker does with a second run of a task that it runs. This one has
    // no room for it.
    if (there != runs_.end()) {
        refuse(respond, run < there->second.run ? "old" : "room");
        return;
    }
    const task_plan plan = settings_.plan(task, run);
    running_task& it = runs_[task];
    it.run = run;
    it.ends_ms =
        clock_ms() + static_cast<std::int64_t>(static_cast<double>(plan.work.count()) * settings_.clock_rate);
    it.how = plan.how;
    it.history = history_.start(task, run, settings_.id + " (born " + std::to_string(born_ms_) + ")");
    respond(answer_of({{"clock-ms", clock_ms()}}));
}

inline void worker_standin::stop(const mjm::http_request& request, std::size_t machine,
                                 const mjm::http_server::responder& respond)
{
    const json body = parse_json(request.body);
    const std::string task = text_field(body, "task").value_or("");
    const std::int64_t run = integer_field(body, "run").value_or(0);
    if (!admit(integer_field(body, "fencing-token").value_or(0), machine, respond))
        return;
    history_.note("stop     of " + task + " run " + std::to_string(run) + " at " + settings_.id);
    std::int64_t& ended = last_ended_[task];
    ended = std::max(ended, run);
    const auto it = runs_.find(task);
    if (it != runs_.end() && it->second.run <= run) {
        it->second.how = "stopped";
        it->second.ends_ms = std::min(it->second.ends_ms, clock_ms() + settings_.stop_ms);
    }
    respond(answer_of({{"clock-ms", clock_ms()}}));
}

inline void worker_standin::hold(const mjm::http_request& request, std::size_t machine,
                                 const mjm::http_server::responder& respond)
{
    const json body = parse_json(request.body);
    if (!admit(integer_field(body, "fencing-token").value_or(0), machine, respond))
        return;
    extend(integer_field(body, "deadline-ms").value_or(0));
    const std::int64_t seen = integer_field(body, "seen-upto").value_or(0);
    while (!ends_.empty() && static_cast<std::int64_t>(ends_.front().number) <= seen) {
        if (!ends_.front().lapsed_since)
            history_.acknowledge(ends_.front().history);
        ends_.pop_front();
    }
    const std::int64_t wait = integer_field(body, "wait-ms").value_or(0);
    if (wait > 0 && ends_.empty())
        holds_.push_back({machine, clock_ms() + std::min<std::int64_t>(wait, 2000), respond});
    else
        list(respond);
}

inline void worker_standin::list(const mjm::http_server::responder& respond) const
{
    json body{
        {"clock-ms", clock_ms()}, {"born", born_ms_}, {"running", json::array()}, {"ended", json::array()}};
    for (const auto& [task, it] : runs_)
        body["running"].push_back({task, it.run, "", 100, 0});
    for (const listed_end& e : ends_) {
        if (body["ended"].size() == listed_ends)
            break;
        body["ended"].push_back({e.number, e.task, e.run, e.how, ""});
    }
    respond(answer_of(body));
}

inline void worker_standin::end_run(const std::string& task, const std::string& how)
{
    const running_task it = runs_.at(task);
    runs_.erase(task);
    std::int64_t& ended = last_ended_[task];
    ended = std::max(ended, it.run);
    history_.end(it.history, how);
    ends_.push_back({next_end_++, task, it.run, how, it.history, false});
}

inline void worker_standin::answer_holds(bool end_listed)
{
    const std::int64_t now = clock_ms();
    holds_.remove_if([&](const waiting_hold& h) {
        if (!end_listed && now < h.until_ms)
            return false;
        list(h.respond);
        return true;
    });
}

inline void worker_standin::tick()
{
    if (!up_)
        return;
    const std::int64_t now = clock_ms();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, it] : runs_) {
        // What ended before the lease did has ended by itself.
        if (it.ends_ms <= std::min(now, deadline_ms_))
            over.emplace_back(task, it.how);
        else if (deadline_ms_ <= now)
            over.emplace_back(task, "lapsed");
    }
    for (const auto& [task, how] : over)
        end_run(task, how);
    if (deadline_ms_ <= now) {
        for (listed_end& e : ends_)
            e.lapsed_since = true;
    }
    answer_holds(!over.empty());
}

inline void worker_standin::cut(std::size_t machine, bool off)
{
    cut_[machine] = off;
    if (!off)
        return;
    holds_.remove_if([machine](const waiting_hold& h) {
        if (h.machine == machine)
            h.respond(dropped());
        return h.machine == machine;
    });
}

inline void worker_standin::crash()
{
    tick();
    history_.note("crash    of " + settings_.id);
    for (const auto& [task, it] : runs_)
        history_.end(it.history, "lost in a crash");
    for (const waiting_hold& h : holds_)
        h.respond(dropped());
    up_ = false;
    token_ = 0;
    deadline_ms_ = 0;
    next_end_ = 1;
    seq_ = 0;
    runs_.clear();
    last_ended_.clear();
    ends_.clear();
    holds_.clear();
}

inline void worker_standin::restart(const std::string& id)
{
    settings_.id = id;
    up_ = true;
    began_ = std::chrono::steady_clock::now();
    born_ms_ = unix_ms();
    history_.note("restart  of " + settings_.id + ", born " + std::to_string(born_ms_));
}

} // namespace review
