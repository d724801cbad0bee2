#include "core/hybrid_clock.h"

#include <algorithm>

namespace mjm {

hybrid_time hybrid_clock::tick(wall_time now)
{
    return observe(last_, now);
}

hybrid_time hybrid_clock::observe(const hybrid_time& remote, wall_time now)
{
    const std::int64_t wall_ms = now.time_since_epoch().count();
    const hybrid_time latest = std::max(last_, remote);
    if (wall_ms > latest.wall_ms)
        last_ = hybrid_time{wall_ms, 0};
    else
        last_ = hybrid_time{latest.wall_ms, latest.counter + 1};
    return last_;
}

} // namespace mjm
