#pragma once

#include "jobs/lease_policy.h"
#include "jobs/target_fence.h"
#include "jobs/target_orders.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace mjm {

/// An end of a run that a target has listed and that the store does not have yet. The target may forget it
/// once the job's change is stored.
struct unstored_end {
    std::uint64_t sequence = 0; ///< Position in the target's list of ends.
    job_id job;
    std::uint64_t change = 0; ///< Number of the job's change that contains the end.
};

/// A run that a target lists although it is not its task's current run. The target has been told to stop it.
struct unknown_run {
    std::optional<resources> need; ///< What its task reserves; empty if the task is unknown.
    team_id team;                  ///< Empty if the task is unknown or its queue is open to all.
    resources team_need;           ///< What counts in the cap of the team.
    timestamp stop_sent_at;
};
using unknown_run_map = std::map<std::pair<task_key, run_number>, unknown_run>;

/// What a planned order for its host keeps from a target.
enum class host_cordon {
    none,
    planned, ///< Takes only permanent tasks that have no other place; they don't delay the order.
    ordered, ///< Takes nothing, since the order may be carried out at any time.
};

/// What the leader knows about a target.
struct target_status {
    target_info info; ///< The incarnation is the latest one that is known, also from reports.
    target_incarnation registered_incarnation = 0; ///< Incarnation whose entry `info` is; 0 if it names none.
    /// When its incarnation became known. An observation that was sent before may have been answered by a
    /// former one.
    timestamp incarnation_known_at;
    target_fence fence;
    bool former_was_to_stay =
        true;               ///< Whether its former incarnation was to stay, so that its end is a crash.
    bool listed = true;     ///< Whether service discovery has an entry for it.
    bool listed_all = true; ///< Whether its latest report has listed all runs and ends.
    bool synced = false;    ///< Whether it has answered this leader, so that it refuses any earlier one.
    bool reachable = true;  ///< Whether it counts as reachable, going by its latest answers.
    host_cordon cordon = host_cordon::none;
    bool evacuated = false;       ///< Whether its zone is evacuated, so that nothing is started on it.
    bool leaving = false;         ///< Whether an order that ends all its runs may have been carried out.
    timestamp ordered_down_at;    ///< When such an order was confirmed; the epoch if none was.
    bool maintained_soon = false; ///< Whether its host will be maintained soon.
    int missed_observations = 0;  ///< Observations without an answer since the last answer.

    resources used;                    ///< Reserved by the runs in `runs`.
    std::set<task_key> runs;           ///< Tasks of which a run is planned or may be running on the target.
    std::size_t runs_on_probation = 0; ///< Those of the runs that may be the cause if the target crashes.
    std::size_t suspected_runs = 0;    ///< Those on probation whose tasks were in crashes before.
    bool kept_for_isolation = false;   ///< Whether only an isolated run may be placed on it.
    /// Runs in the target's latest report that are not in `runs`. They use capacity until a report no longer
    /// lists them.
    unknown_run_map unknown_runs;

    std::optional<clock_reading> clock; ///< Empty while the present incarnation has not answered.
    bool clock_doubtful = false; ///< Whether a start came too late by it, so that it has to be read again.
    timestamp lease_until; ///< Latest time at which all its runs have stopped if the lease is not extended.
    std::size_t ends_until_cut_off = 0; ///< As of its latest report.
    int late_expiring_starts = 0;       ///< Starts in a row that came too late to run with an expiring lease.
    bool expiring = false;          ///< Whether its lease is not extended, so that its last run ends with it.
    bool lease_wait_stored = false; ///< Whether the store may have a wait for the end of its lease.
    /// When this leader granted the latest lease; the epoch if it has granted none.
    timestamp lease_granted_at;
    duration lease_clock_age{0}; ///< Age of the reading of the target's clock on which that lease was based.

    std::uint64_t ends_seen = 0;                 ///< Sequence number of the latest end that has been handled.
    std::uint64_t ends_acknowledged = 0;         ///< Latest acknowledgement that the target has answered.
    std::uint64_t acknowledgement_in_flight = 0; ///< Acknowledgement in the observation in flight; 0 if none.
    std::deque<unstored_end> unstored;           ///< In the order of their sequence numbers.
    /// Ends that contradict a later start of their tasks, or that can't be read (std::nullopt), by sequence
    /// number. Neither they nor any later end is acknowledged as long as the target's process lives.
    std::map<std::uint64_t, std::optional<std::pair<task_key, run_number>>> withheld_ends;

    bool observing = false; ///< Whether an observation is in flight.
    timestamp next_observation;

    int failures_in_a_row = 0; ///< Failed runs since the last success; successive ones of a job count once.
    job_id last_failed_job;
    timestamp avoid_until;         ///< No task is placed on the target before this time.
    bool pace_limited = false;     ///< Whether backfill tasks on it may not all work at full pace.
    timestamp next_backfill_start; ///< No backfill task is placed on the target before this time.
    timestamp suspect_until; ///< Until then, an expected run time suffices to tell that a run is stalled.
    double slowness = 1.0;   ///< Factor by which runs take longer here than on other targets.

    /// Whether the target is to stay, so that its end is a crash.
    [[nodiscard]] bool expected_to_stay() const
    {
        return info.state == target_state::ready && !leaving && ordered_down_at == timestamp{};
    }
    /// Whether the target gets no more work, since it would have to keep the end of each further run, until a
    /// run has ended with its lease.
    [[nodiscard]] bool retired() const { return !withheld_ends.empty(); }
    /// Whether the next run may end with its lease, which frees the withheld ends if it is listed. The lease
    /// can't be made shorter while an earlier one lasts.
    [[nodiscard]] bool may_expire(timestamp now) const
    {
        return retired() && now > lease_until && ends_until_cut_off > 1;
    }
    /// Returns the latest end that may be acknowledged once the store has all ends up to it.
    [[nodiscard]] std::uint64_t last_end_to_acknowledge() const
    {
        return withheld_ends.empty() ? ends_seen : std::min(ends_seen, withheld_ends.begin()->first - 1);
    }
    /// Returns the latest end that may be acknowledged now.
    [[nodiscard]] std::uint64_t acknowledgeable_ends() const
    {
        const std::uint64_t stored = unstored.empty() ? ends_seen : unstored.front().sequence - 1;
        return std::min(stored, last_end_to_acknowledge());
    }
    /// Whether nothing runs on the target and the store has every end that it has listed.
    [[nodiscard]] bool settled() const { return runs.empty() && unstored.empty(); }
    /// Whether the capacity is that of the present incarnation. A new one may be of another kind.
    [[nodiscard]] bool capacity_known() const
    {
        return registered_incarnation == 0 || registered_incarnation == info.incarnation;
    }
    /// Whether the target lists a run of which it is not known how much capacity it uses.
    [[nodiscard]] bool has_unknown_need() const
    {
        return std::any_of(unknown_runs.begin(), unknown_runs.end(),
                           [](const auto& entry) { return !entry.second.need; });
    }
    /// Returns the capacity that is left beside all runs whose need is known. Amounts are negative if the
    /// capacity has shrunk below what is used.
    [[nodiscard]] resources free() const
    {
        resources left = info.capacity - used;
        for (const auto& [run, it] : unknown_runs)
            left -= it.need.value_or(resources{});
        return left;
    }
    /// Returns the used fraction of the capacity, by the kind of resource of which most is used. It is at
    /// least 1 if more is used than there is, even if the capacity has shrunk to 0.
    [[nodiscard]] double fill_level() const
    {
        const double level = used.dominant_fraction(info.capacity);
        return used.fits_in(info.capacity) ? level : std::max(level, 1.0);
    }
};

} // namespace mjm
