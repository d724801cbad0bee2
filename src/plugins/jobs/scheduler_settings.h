#pragma once

#include "core/time_types.h"
#include "jobs/straggler.h"

#include <cstdint>

namespace mjm {

struct scheduler_settings {
    /// Time for which a target keeps running without hearing from a leader. Longer than a change of leader
    /// takes, so that none cuts work; the platform's `hold-max-ms` is the upper limit.
    duration target_lease{std::chrono::milliseconds{4300}};
    /// The longest lease that any leader may have given, for targets that have not answered yet.
    duration longest_lease{std::chrono::milliseconds{6000}};
    /// A target's clock may be slow by this share, according to the platform's protocol.
    double clock_drift = 0.02;
    /// Added to the end of a lease for the time that answers and kills take.
    duration lease_margin{std::chrono::milliseconds{250}};
    /// Wait before a failed task is started again, doubled with each failure.
    duration failure_backoff{std::chrono::milliseconds{50}};
    /// Wait before a stop without an answer is sent again.
    duration stop_retry{std::chrono::milliseconds{300}};
    /// A target on which runs of this many different jobs failed in a row takes a pause.
    int failures_until_avoided = 2;
    duration avoid_time{std::chrono::milliseconds{4000}};
    /// Pause of a target that refused an order, until a report tells what it holds.
    duration refusal_pause{std::chrono::milliseconds{300}};
    /// Observations without an answer after which a target counts as unreachable.
    int misses_until_unreachable = 2;
    /// An observation waits this long for an end; a third of the lease, so that one may be lost.
    duration observation_wait{std::chrono::milliseconds{1000}};
    /// Between two observations of a target, so that ends that come together are read together.
    duration observation_gap{std::chrono::milliseconds{20}};
    /// Wait for the store before ends are read again that it does not have yet.
    duration store_grace{std::chrono::milliseconds{60}};
    /// Between two tries to reach an unreachable target.
    duration unreachable_retry{std::chrono::milliseconds{300}};
    /// Between two looks at all waiting tasks without an event.
    duration full_plan_interval{std::chrono::milliseconds{60}};
    /// Between two looks for tasks that stand still; a small part of the shortest tasks' run time.
    duration straggler_interval{std::chrono::milliseconds{100}};
    straggler_settings stragglers;
    /// Attempts of a task whose queue is no longer configured.
    std::uint32_t default_attempts = 2;
    /// Tail latency, as a share of the objective, above which tasks that fill up are slowed down ...
    double pace_down_above = 0.85;
    /// ... and below which they are sped up again.
    double pace_up_below = 0.6;
    int pace_step = 15;   ///< Percent by which they are sped up.
    int lowest_pace = 10; ///< Below this percentage they stand still.
};

} // namespace mjm
