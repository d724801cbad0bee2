#include "jobs/lease_policy.h"

#include <algorithm>

namespace mjm {

std::optional<granted_lease> lease_policy::grant(const clock_reading& clock, timestamp now) const
{
    if (!may_grant(now))
        return std::nullopt;
    const duration age = now - clock.read_at;
    const duration drift{static_cast<std::int64_t>(static_cast<double>(age.count()) * settings_.clock_drift)};
    const bool overdue = leader_lease_until_ - now < settings_.renewal_overdue;
    // On the slowest clock, the lease is longer by the drift since the reading; it must not exceed the
    // longest one even so. The reading lags behind by the time that the answer was on the network, which
    // shortens the lease.
    const duration length =
        std::min(overdue ? settings_.longest : settings_.normal, settings_.longest - drift);
    return lease_of(clock, age, length);
}

std::optional<granted_lease> lease_policy::grant_expiring(const clock_reading& clock, timestamp now,
                                                          int late_starts) const
{
    if (!may_grant(now))
        return std::nullopt;
    duration length = settings_.expiring;
    for (int i = 0; i < late_starts && length < settings_.longest_expiring; ++i)
        length *= 2;
    return lease_of(clock, now - clock.read_at, std::min(length, settings_.longest_expiring));
}

granted_lease lease_policy::lease_of(const clock_reading& clock, duration age, duration length) const
{
    return {clock.shown_ms + to_ms(age + length),
            clock.read_at + longest_time_for(age + length) + settings_.margin};
}

bool lease_policy::too_old(const clock_reading& clock, timestamp now) const
{
    return now - clock.read_at > settings_.longest_clock_age;
}

timestamp lease_policy::earlier_leases_over_at(const target_id& target) const
{
    const timestamp longest = longest_lease_over_at(term_start_);
    const auto stored = earlier_waits_.find(target);
    return stored == earlier_waits_.end() ? longest : std::min(term_start_ + stored->second, longest);
}

timestamp lease_policy::longest_lease_over_at(timestamp granted) const
{
    return granted + longest_time_for(settings_.longest) + settings_.margin;
}

duration lease_policy::longest_observation(timestamp now) const
{
    return std::max<duration>(leader_lease_until_ - now - settings_.last_extension, settings_.last_extension);
}

duration lease_policy::longest_time_for(duration shown) const
{
    return duration{
        static_cast<std::int64_t>(static_cast<double>(shown.count()) / (1.0 - settings_.clock_drift))};
}

} // namespace mjm
