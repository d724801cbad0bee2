#include "jobs/lease_policy.h"

#include <algorithm>

namespace mjm {

std::optional<granted_lease> lease_policy::grant(const clock_reading& clock, timestamp now) const
{
    if (!may_grant(now))
        return std::nullopt;
    const bool overdue = leader_lease_until_ - now < settings_.renewal_overdue;
    const duration length = overdue ? settings_.longest : std::min(settings_.normal, settings_.longest);
    // The reading lags behind by the time that the target's answer was on the network, which shortens the
    // lease.
    const std::int64_t clock_ms = clock.shown_ms + to_ms(now - clock.read_at);
    return granted_lease{clock_ms + to_ms(length), now + longest_time_for(length) + settings_.margin};
}

timestamp lease_policy::earlier_leases_over_at() const
{
    return longest_lease_over_at(term_start_);
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
