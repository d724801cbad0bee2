#include "scheduling/usage_history.h"

#include <algorithm>
#include <cmath>

namespace mjm {

namespace {

// The scaled offsets grow with exp(elapsed / horizon). They are rebased after this many horizons, long before
// they can overflow.
constexpr double max_elapsed_horizons = 200.0;

double ratio(duration elapsed, duration horizon)
{
    return static_cast<double>(elapsed.count()) / static_cast<double>(horizon.count());
}

} // namespace

bool history_scale::advance(timestamp now)
{
    if (!started_) {
        started_ = true;
        origin_ = now;
        now_ = now;
    }
    // The time passed in can step back if a caller reads its clock twice. The history never steps back.
    now = std::max(now, now_);
    if (now == now_)
        return false;
    now_ = now;
    const bool moved = ratio(now - origin_, share_horizons.front()) > max_elapsed_horizons;
    for (std::size_t n = 0; n < share_horizons.size(); ++n) {
        const double factor = std::exp(-ratio(now - origin_, share_horizons[n]));
        rebase_[n] = moved ? factor : 1.0;
        decay_[n] = moved ? 1.0 : factor;
    }
    if (moved)
        origin_ = now;
    return moved;
}

void usage_history::set_usage(double usage, const history_scale& scale)
{
    for (std::size_t n = 0; n < offset_.size(); ++n)
        offset_[n] = (average(n, scale) - usage) / scale.decay(n);
    usage_ = usage;
}

void usage_history::rebase(const history_scale& scale)
{
    for (std::size_t n = 0; n < offset_.size(); ++n)
        offset_[n] *= scale.rebase(n);
}

} // namespace mjm
