#pragma once

#include "core/time_types.h"
#include "jobs/backfill_pace.h"
#include "jobs/crash_history.h"
#include "jobs/crash_streak.h"
#include "jobs/lease_policy.h"
#include "jobs/run_time_model.h"
#include "jobs/straggler.h"

#include <cstdint>

namespace mjm {

struct scheduler_settings {
    lease_settings leases;
    /// Largest age of the view of the targets with which a run may still start. Less than the time within
    /// which starts must end on a target that is draining.
    duration max_target_view_age{std::chrono::milliseconds{1500}};
    /// Largest age of the view of cancellations with which a run may still start. Less than the time within
    /// which a cancellation must take effect.
    duration max_cancel_view_age{std::chrono::milliseconds{2500}};
    /// Largest age of the configuration with which a run may still start. Less than the time within which a
    /// change of the configuration must take effect.
    duration max_config_view_age{std::chrono::milliseconds{1500}};
    /// Largest age of the view of evacuations with which a run may still start. Less than the time within
    /// which starts in an evacuated zone must end.
    duration max_evacuation_view_age{std::chrono::milliseconds{1500}};
    /// Interval between two counts of what the evacuation of zones concerns.
    duration evacuation_check_interval{std::chrono::milliseconds{1000}};
    /// Wait before a task is started again after its first failure; doubled with each further failure.
    duration failure_backoff{std::chrono::milliseconds{50}};
    /// Wait before an unanswered stop is sent again, doubled with each further one, and before a stop is
    /// repeated for a run that its target still lists.
    duration stop_retry{std::chrono::milliseconds{300}};
    /// Number of successive failed runs of different jobs after which a target is avoided.
    int failures_until_avoided = 2;
    /// Time for which a target is avoided after such failures or after a stalled task.
    duration avoid_time{std::chrono::milliseconds{4000}};
    /// Time for which a target is avoided after it has refused an order; meanwhile a report shows what runs
    /// there.
    duration refusal_pause{std::chrono::milliseconds{300}};
    /// Number of successive unanswered observations after which a target counts as unreachable.
    int misses_until_unreachable = 2;
    /// Time for which a target may delay its answer to an observation until a run ends. It is at most a third
    /// of the lease, so that one observation may be lost.
    duration observation_wait{std::chrono::milliseconds{1000}};
    /// Time for which a target may delay its answer while it has a run that may be stalled, so that such a
    /// run is moved soon once another target has free capacity.
    duration stall_recheck{std::chrono::milliseconds{200}};
    /// Interval between two observations of a target, so that ends at nearly the same time are read at once.
    duration observation_gap{std::chrono::milliseconds{20}};
    /// Interval before the next observation of a target while some of its ends are not stored yet.
    duration store_grace{std::chrono::milliseconds{60}};
    /// Interval between two observations of an unreachable target.
    duration unreachable_retry{std::chrono::milliseconds{300}};
    /// Interval at which all waiting tasks are planned, even without an event that requires it.
    duration full_plan_interval{std::chrono::milliseconds{60}};
    /// Smallest interval between two rankings of all waiting jobs of a service.
    duration ranking_interval{std::chrono::milliseconds{100}};
    /// Interval between two checks of all runs for stops without an answer.
    duration run_check_interval{std::chrono::milliseconds{100}};
    /// Whether expected run times are learned from finished runs. Otherwise they are those that callers
    /// declare.
    bool learn_run_times = false;
    run_time_settings run_times;
    straggler_settings stragglers;
    crash_settings crashes;
    crash_streak_settings crash_streaks;
    /// Maximum number of attempts of a task whose queue is not configured, if its record does not tell.
    std::uint32_t default_attempts = 2;
    backfill_pace_settings pace;
};

} // namespace mjm
