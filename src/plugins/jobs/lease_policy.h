#pragma once

#include "core/time_types.h"
#include "jobs/lease_waits.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace mjm {

struct lease_settings {
    /// Lease of a target: the time for which it keeps running tasks without an extension by a leader. It is
    /// longer than a change of leader takes, so that no change interrupts work.
    duration normal{std::chrono::milliseconds{4300}};
    /// Longest lease that a target accepts; it shortens any other. The platform's `hold-max-ms`.
    duration longest{std::chrono::milliseconds{6000}};
    /// Lease of a run that is to end with it. It covers the way of the start to the target, and is doubled
    /// after each start that came too late.
    duration expiring{std::chrono::milliseconds{100}};
    duration longest_expiring{std::chrono::milliseconds{1600}};
    /// Targets get the longest lease if less than this is left of the leader's own one. Its renewal is
    /// overdue then, and the targets' work should outlast an election or a short outage of the store.
    duration renewal_overdue{std::chrono::milliseconds{1000}};
    /// Time before the end of the leader's lease by which observations are answered, so that each is followed
    /// by another extension.
    duration last_extension{std::chrono::milliseconds{500}};
    /// Age of the reading of an idle target's clock at which the clock is read again.
    duration longest_clock_age{std::chrono::seconds{30}};
    /// Fraction by which a target's clock may run slow, as specified by the platform's protocol.
    double clock_drift = 0.02;
    /// Margin after the end of a lease, for the time that answers and the termination of tasks take.
    duration margin{std::chrono::milliseconds{250}};
};

/// What a target's clock showed at some time.
struct clock_reading {
    std::int64_t shown_ms = 0;
    timestamp read_at;
};

/// A lease that the leader grants to a target.
struct granted_lease {
    std::int64_t deadline_ms = 0; ///< Its end on the target's clock.
    timestamp over_at; ///< Latest time, on the leader's clock, at which all runs under it have ended.
};

/// Decides who may extend the leases of targets, and from when on they are over. A leader grants leases only
/// while its own lease excludes that another host leads. So all leases of earlier leaders were granted before
/// this leader's term, and are over a fixed time after its start, even on targets that it can't reach.
class lease_policy {
public:
    lease_policy(lease_settings settings, timestamp term_start) : settings_{settings}, term_start_{term_start}
    {
    }

    /// Sets the time until which no other host can lead. Before the first call no lease is granted.
    void set_leader_lease(timestamp until) { leader_lease_until_ = until; }
    [[nodiscard]] bool may_grant(timestamp now) const { return now < leader_lease_until_; }
    [[nodiscard]] timestamp leader_lease_until() const { return leader_lease_until_; }
    /// Returns the lease that a target with this clock gets, or no value if another host may lead by now.
    [[nodiscard]] std::optional<granted_lease> grant(const clock_reading& clock, timestamp now) const;
    /// Returns the lease of a run that is to end with it, or no value likewise. `late_starts` is the number
    /// of starts in a row that came too late for such a lease.
    [[nodiscard]] std::optional<granted_lease> grant_expiring(const clock_reading& clock, timestamp now,
                                                              int late_starts) const;
    /// Whether the target's clock has to be read again, since it may have drifted.
    [[nodiscard]] bool too_old(const clock_reading& clock, timestamp now) const;
    /// Sets the stored wait for the lease of a target that was silent under an earlier leader.
    void set_earlier_wait(const target_id& target, duration wait) { earlier_waits_[target] = wait; }
    /// Returns the latest time at which all runs on the target under leases of earlier leaders have ended.
    [[nodiscard]] timestamp earlier_leases_over_at(const target_id& target) const;
    /// Returns the latest time at which runs have ended whose leases were granted until `granted`, whatever
    /// their targets' clocks showed.
    [[nodiscard]] timestamp longest_lease_over_at(timestamp granted) const;
    /// Returns the longest time for which the answer to an observation may be delayed.
    [[nodiscard]] duration longest_observation(timestamp now) const;

private:
    [[nodiscard]] granted_lease lease_of(const clock_reading& clock, duration age, duration length) const;
    /// Returns the longest time that passes while the clock of a target advances by `shown`.
    [[nodiscard]] duration longest_time_for(duration shown) const;

    lease_settings settings_;
    timestamp term_start_;
    timestamp leader_lease_until_;
    lease_waits earlier_waits_;
};

} // namespace mjm
