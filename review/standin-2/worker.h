#pragma once

#include "http.h"
#include "record.h"
#include "store.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace review {

/// How a worker treats one order.
struct treatment {
    bool unanswered = false;
    int late_ms = 0; ///< The order is carried out this much later; 0 for at once. Only if it is unanswered.
};

struct worker_settings {
    std::string id; ///< Set by the worker: each life of a machine has its own.
    std::string machine;
    std::string service;
    std::string zone;
    std::string rack;
    std::string kind = "a";
    std::int64_t cpu = 64000;
    std::int64_t memory_mb = 262144;
};

/// A start that a worker has carried out.
struct started {
    std::int64_t at_ms = 0;
    std::string worker;
    std::string task;
    std::uint64_t run = 0;
};

/// An end `done` that a worker has listed and been told to forget.
struct noted_end {
    std::string task;
    std::uint64_t run = 0;
    std::int64_t ended_at_ms = 0;
};

/// One machine of the platform with the worker on it. After a crash it has another worker with a new id. What
/// a task does is told by its `spec`: "done N" ends after N ms, "crash N" takes the worker down after N ms,
/// "serve" and "fill" last, and "fill N" ends after N ms of work at full pace. "fail M N" ends after 30 s,
/// but its task with the index M fails after N ms.
class worker {
public:
    using treat = std::function<treatment(const std::string& path, const nlohmann::json& body)>;

    worker(worker_settings settings, store& registry, record& log);

    void start();
    /// Sets how orders are treated; by default all are answered.
    void set_treatment(treat t);
    /// Sets the tail latency of its serving tasks: the first amount, and the second one for each task that
    /// fills and works at its full pace.
    void set_latency(double alone_ms, double per_fill_ms);
    /// Cuts the worker off for a while: no call reaches it, and it runs on.
    void cut_off(int ms);
    /// Leaves the next observation that acknowledges at least `least` ends without an answer. The worker
    /// crashes 0.1 s later and starts again under its id; the observation is carried out `late_ms` after it
    /// was received.
    void delay_acknowledgement(std::uint64_t least, int late_ms);
    /// Returns the ends `done` that were taken note of, with their times, by task.
    [[nodiscard]] std::vector<noted_end> noted();
    /// Measures from now on for how long the tail latency is above the target on end. Only time counts in
    /// which it would not be without the tasks that fill, and in which one of these works.
    void watch_target(double target_ms);
    [[nodiscard]] std::int64_t longest_over_ms();
    /// For how long the worker is away after a crash.
    void set_down_time(int ms) { down_ms_ = ms; }

    [[nodiscard]] worker_settings settings();
    [[nodiscard]] std::vector<started> starts();
    [[nodiscard]] int crashes();
    /// Returns the present tail latency of the serving tasks; 0 if none is at work.
    [[nodiscard]] double tail_ms();
    /// Returns the sum of the paces, in percent, of the tasks that fill.
    [[nodiscard]] int fill_pace();
    [[nodiscard]] bool runs(const std::string& spec);
    /// Returns the tasks that run or are being stopped.
    [[nodiscard]] std::vector<std::string> running();

private:
    struct run_state {
        std::uint64_t number = 0;
        std::string spec;
        std::int64_t started_at = 0;
        std::int64_t stop_at = 0; ///< When a requested stop takes effect; 0 if there is none.
        int pace = 100;
        int next_pace = 100;
        double worked_ms = 0.0;   ///< At full pace.
        std::int64_t pace_at = 0; ///< When `next_pace` takes effect; 0 if it has.
    };
    struct end {
        std::uint64_t sequence = 0;
        std::string task;
        std::uint64_t run = 0;
        std::string how;
        std::int64_t at_ms = 0;
    };

    reply handle(const request& r);
    reply carry_out(const std::string& path, const nlohmann::json& body);
    reply start_run(const nlohmann::json& body);
    reply hold(const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
    reply refuse(const char* reason);
    void run_loop();
    void advance();
    void crash();
    /// Returns how the run ends now by what its spec says; null if it goes on.
    [[nodiscard]] const char* end_of(const std::string& task, const run_state& run) const;
    void acknowledge(std::uint64_t seen);
    /// To be called after each change that the tail latency depends on.
    void update_over();
    void end_run(const std::string& task, const char* how);
    void beat();
    [[nodiscard]] std::int64_t clock_ms() const { return log_.now_ms() - born_at_ + 1000; }
    [[nodiscard]] int fill_pace_locked() const;
    [[nodiscard]] double tail_locked() const;

    worker_settings settings_;
    store& registry_;
    record& log_;
    server server_;
    std::mutex mutex_;
    std::condition_variable changed_;
    treat treat_;
    int down_ms_ = 3000;
    double alone_ms_ = 0.0;
    double per_fill_ms_ = 0.0;

    // Of the present incarnation.
    std::int64_t born_unix_ms_ = 0;
    std::int64_t born_at_ = 0;
    std::int64_t seq_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_ms_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<std::string, run_state> running_;
    std::map<std::string, std::uint64_t> closed_; ///< The highest run of each task that was stopped or ended.
    std::vector<end> ended_;

    double target_ms_ = 0.0; ///< 0 while nothing is measured.
    std::int64_t over_since_ = -1;
    std::int64_t longest_over_ms_ = 0;
    std::int64_t cut_until_ = 0;
    std::uint64_t delay_from_ = 0; ///< Least acknowledgement of the observation that is delayed; 0 for none.
    int delay_ms_ = 0;
    std::int64_t crash_at_ = 0; ///< When the worker crashes; 0 if it doesn't.
    bool keeps_id_ = false;     ///< Whether the next life has the same id.
    std::vector<noted_end> noted_;
    std::int64_t advanced_at_ = 0;
    std::int64_t next_beat_at_ = 0;
    std::map<std::string, std::int64_t> silent_entries_; ///< When entries of former workers are removed.
    std::int64_t back_at_ = 0; ///< When the worker is back after a crash; 0 if it is up.
    std::vector<started> starts_;
    int crashes_ = 0;
};

} // namespace review
