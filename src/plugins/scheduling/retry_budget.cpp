#include "scheduling/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace mjm {

retry_budget::bucket& retry_budget::refill(const team_id& team, timestamp now)
{
    const auto [it, added] = buckets_.try_emplace(team, bucket{settings_.burst, now});
    bucket& b = it->second;
    if (!added && now > b.refilled) {
        const double seconds = std::chrono::duration<double>(now - b.refilled).count();
        b.tokens = std::min(settings_.burst, b.tokens + seconds * settings_.floor_per_s);
        b.refilled = now;
    }
    return b;
}

void retry_budget::record_first_attempt(const team_id& team, timestamp now)
{
    bucket& b = refill(team, now);
    b.tokens = std::min(settings_.burst, b.tokens + settings_.ratio);
}

bool retry_budget::try_spend(const team_id& team, timestamp now)
{
    bucket& b = refill(team, now);
    if (b.tokens < 1.0)
        return false;
    b.tokens -= 1.0;
    return true;
}

duration retry_budget::backoff(unsigned attempt, random_source& random) const
{
    const unsigned doublings = attempt > 2 ? std::min(attempt - 2, 40U) : 0U;
    const double longest = static_cast<double>(settings_.longest_backoff.count());
    const double ceiling = std::min(longest, std::ldexp(static_cast<double>(settings_.first_backoff.count()),
                                                        static_cast<int>(doublings)));
    return duration{static_cast<duration::rep>(ceiling * random.uniform01())};
}

} // namespace mjm
