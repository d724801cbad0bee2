#pragma once

#include "core/time_types.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace mjm {

/// Horizons over which shares are held.
inline constexpr std::array<duration, 3> share_horizons{std::chrono::seconds{10}, std::chrono::minutes{1},
                                                        std::chrono::minutes{10}};

/// Decay factors common to all histories that are read at one time, so that reading many histories costs
/// one exponential per horizon instead of one per team.
class history_scale {
public:
    /// Moves to `now`. Returns true when the origin moved; the histories must then be rebased.
    bool advance(timestamp now);
    /// exp(-(now - origin) / horizon)
    [[nodiscard]] double decay(std::size_t horizon) const { return decay_[horizon]; }
    /// What a history's stored offsets must be multiplied with after the origin moved.
    [[nodiscard]] double rebase(std::size_t horizon) const { return rebase_[horizon]; }

private:
    bool started_ = false;
    timestamp origin_;
    timestamp now_;
    std::array<double, share_horizons.size()> decay_{1.0, 1.0, 1.0};
    std::array<double, share_horizons.size()> rebase_{1.0, 1.0, 1.0};
};

/// Exponentially decaying averages of a piecewise constant usage, one for each horizon.
class usage_history {
public:
    /// Sets the usage from the scale's time on.
    void set_usage(double usage, const history_scale& scale);
    [[nodiscard]] double usage() const { return usage_; }
    [[nodiscard]] double average(std::size_t horizon, const history_scale& scale) const
    {
        return usage_ + offset_[horizon] * scale.decay(horizon);
    }
    void rebase(const history_scale& scale);

private:
    double usage_ = 0.0;
    /// (average - usage) at the last change, scaled to the origin of the history_scale.
    std::array<double, share_horizons.size()> offset_{};
};

} // namespace mjm
