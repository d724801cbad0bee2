#pragma once

#include "jobs/scheduler_events.h"
#include "jobs/scheduler_io.h"
#include "logging/logger.h"
#include "metrics/metric_registry.h"

#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace mjm {

/// Chooses the jobs whose every decision is logged by default. The choice depends on the job's id alone, so
/// that each leader logs the same jobs.
class job_log_sample {
public:
    explicit job_log_sample(int percent) : percent_{percent} {}

    [[nodiscard]] bool contains(const job_id& id) const;
    /// Returns the level of lines about the job and its runs.
    [[nodiscard]] log_level level_of(const job_id& id) const;
    /// Returns the level of the entry: that of its job if it is about a run or the usual life of a job, and
    /// `info` otherwise.
    [[nodiscard]] log_level level_of(const scheduler_log_entry& n) const;

private:
    int percent_;
};

/// Logs and counts a leader's decisions and the answers to its orders.
class leader_events {
public:
    /// All lines about `job_log_percent` of the jobs have level `info`.
    leader_events(logger log, metric_registry& metrics, int job_log_percent);

    void on_event(const scheduler_log_entry& n);
    /// Handles the answer to a stop; `changed` tells whether it differs from that to the run's previous stop.
    void on_stop_answer(const task_key& task, run_number run, const target_id& target,
                        const tl::expected<order_answer, order_errc>& answer, bool changed);
    void on_pace(const pace_command& pace);
    void on_pace_answer(const tl::expected<order_answer, order_errc>& answer) { count("pace", answer); }

private:
    /// `order` is a string literal.
    void count(std::string_view order, const tl::expected<order_answer, order_errc>& answer);

    logger log_;
    metric_registry& metrics_;
    job_log_sample sample_;
    // Counters are looked up once, since events are frequent.
    std::map<scheduler_event, metric_counter> event_counters_;
    std::map<std::pair<std::string_view, std::optional<order_errc>>, metric_counter> answer_counters_;
    metric_histogram first_start_seconds_;
};

} // namespace mjm
