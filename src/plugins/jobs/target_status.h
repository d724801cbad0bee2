#pragma once

#include "jobs/target_orders.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>

namespace mjm {

/// An end that may be forgotten by its target once the store has the job's change.
struct unstored_end {
    std::uint64_t sequence = 0;
    job_id job;
    std::uint64_t change = 0;
};

/// What the leader knows about a target.
struct target_status {
    target_info info;
    bool listed = true;           ///< Service discovery has an entry for it.
    bool synced = false;          ///< It has answered this leader, so that it obeys no earlier one.
    bool reachable = true;        ///< Its latest answers arrived.
    bool cordoned = false;        ///< Takes no new work, because its host is about to be maintained or moved.
    bool leaving = false;         ///< An order that ends everything on it may have been carried out.
    timestamp ordered_down_at;    ///< When such an order was confirmed; the epoch if none was.
    bool maintained_soon = false; ///< Its host is to be maintained some time soon.
    int misses = 0;               ///< Observations without an answer since the last one with an answer.

    resources used;          ///< Of runs that count against the capacity.
    std::set<task_key> runs; ///< Everything that may be running there.

    bool clock_known = false;
    std::int64_t clock_ms = 0; ///< The target's clock at `clock_at`.
    timestamp clock_at;
    timestamp lease_until; ///< By then everything there has stopped unless the lease was extended.

    std::uint64_t ends_seen = 0;
    std::uint64_t ends_acknowledged = 0; ///< Sent to the target.
    std::deque<unstored_end> unstored;

    bool observing = false; ///< An observation awaits its answer.
    timestamp next_observation;

    int failures_in_a_row = 0; ///< Runs of different jobs that failed, without a success in between.
    job_id last_failed_job;
    timestamp avoid_until;
    timestamp suspect_until; ///< A task stood still there a short time ago.

    /// Nothing runs there, and the store has every end that the target has listed.
    [[nodiscard]] bool settled() const { return runs.empty() && unstored.empty(); }
    [[nodiscard]] resources free() const { return info.capacity - used; }
    /// The target's clock at `now`, not later than it really is by more than the answer took.
    [[nodiscard]] std::int64_t clock_at_time(timestamp now) const { return clock_ms + to_ms(now - clock_at); }
};

} // namespace mjm
