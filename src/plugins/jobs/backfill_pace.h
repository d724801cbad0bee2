#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"

#include <optional>
#include <vector>

namespace mjm {

struct backfill_pace_settings {
    /// Tail latency, as a fraction of the objective, above which backfill tasks on the target are slowed
    /// down.
    double slow_down_above = 0.85;
    /// Tail latency, as a fraction of the objective, below which backfill tasks are sped up again.
    double speed_up_below = 0.6;
    int step = 15;        ///< Percentage points by which the sum of the paces is raised at a time.
    int lowest_pace = 10; ///< Pace in percent; backfill tasks are paused instead of running at a lower one.
    /// Time from an order until a report shows its effect: the target applies it within 0.1 s, and latencies
    /// are those of the last 0.5 s.
    duration settling_time{std::chrono::milliseconds{600}};
    /// Time after which an order is repeated if the target's report does not agree with it.
    duration repeat_interval{std::chrono::milliseconds{300}};
    /// Time above the objective after which all backfill tasks are paused. Together with the intervals
    /// between reports and the settling time it is less than the 4 s for which a task may be harmed.
    duration longest_excess{std::chrono::milliseconds{1200}};
    /// Time after which a limit with which the latencies stay low enough is raised by `lowest_pace`, so that
    /// paused tasks go on once they disturb less. Doubled each time that the raise was too much.
    duration probe_interval{std::chrono::seconds{4}};
    duration longest_probe_interval{std::chrono::seconds{64}};
    /// Interval between two starts of backfill tasks on a target whose sum is limited, since each begins at
    /// full pace.
    duration start_interval{std::chrono::milliseconds{600}};
    /// Longest interval between two reports of a target on which backfill tasks run beside tasks with an
    /// objective, and while a change of the pace is under way.
    duration report_interval{std::chrono::milliseconds{500}};
    duration settling_report_interval{std::chrono::milliseconds{150}};
};

/// A backfill run as its target reports it.
struct paced_run {
    task_key task;
    run_number run = 0;
    int percent = full_pace;
};

/// Limits the sum of the paces of a target's backfill runs so that the tail latencies of the other tasks on
/// it stay below their objectives. It goes by what the target reports, so it needs nothing from an earlier
/// leader, and an order that was lost or carried out late is repeated.
class backfill_pace {
public:
    explicit backfill_pace(const backfill_pace_settings& settings = {})
        : settings_{settings}, probe_interval_{settings.probe_interval}
    {
    }

    /// Handles a report. `latency` is the largest tail latency of any task as a fraction of its objective, or
    /// no value if no task has one. Returns the orders that are to be sent now.
    std::vector<paced_run> on_report(const std::vector<paced_run>& running, std::optional<double> latency,
                                     timestamp now);
    /// Handles that the target has started a run, which begins at full pace. Returns the order for it, if it
    /// has to be slowed down.
    std::optional<paced_run> on_start(const task_key& task, run_number run, timestamp now);

    /// Whether the sum is limited, so that a further run slows the others down or is paused.
    [[nodiscard]] bool limited() const { return limit_.has_value(); }
    /// Returns the longest time until the next report, or no value if there is no need for one.
    [[nodiscard]] std::optional<duration> next_report() const;

private:
    struct entry {
        paced_run reported;
        int wanted = full_pace;
        std::optional<int> ordered;
        timestamp ordered_at;
    };

    void update_runs(const std::vector<paced_run>& running);
    void update_limit(std::optional<double> latency, timestamp now);
    void set_limit(std::optional<int> limit, timestamp now);
    void lower_limit(int limit, timestamp now);
    /// Divides the limit among the runs, first of those that were started first, so that these end soon.
    void divide_limit();
    [[nodiscard]] std::optional<paced_run> order_for(entry& e, timestamp now) const;
    [[nodiscard]] int reported_sum() const;
    [[nodiscard]] bool agrees() const;

    backfill_pace_settings settings_;
    std::vector<entry> runs_;           ///< In the order in which they were started.
    std::optional<int> limit_;          ///< Largest sum of the paces; no value for no limit.
    bool beside_latency_tasks_ = false; ///< Whether the latest report had a task with an objective.
    timestamp changed_at_;              ///< When the reported sum or the limit changed last.
    timestamp limit_changed_at_;
    duration probe_interval_; ///< Present one.
    bool probing_ = false;    ///< Whether the limit was raised last to see whether the latencies allow it.
    std::optional<timestamp> above_since_; ///< Since when the latency is above the objective.
};

} // namespace mjm
