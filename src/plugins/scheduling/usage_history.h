#pragma once

#include "core/time_types.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace mjm {

/// Time constants of the usage averages by which shares are balanced.
inline constexpr std::array<duration, 3> share_horizons{std::chrono::seconds{10}, std::chrono::minutes{1},
                                                        std::chrono::minutes{10}};

/// Decay factors shared by all usage histories, so that reading many histories at one time costs one
/// exponential per horizon instead of one per team.
class history_scale {
public:
    /// Sets the current time. Returns true if the origin moved, after which all histories must be rebased.
    bool advance(timestamp now);
    /// Returns exp(-(now - origin) / horizon).
    [[nodiscard]] double decay(std::size_t horizon) const { return decay_[horizon]; }
    /// Returns the factor for the stored offsets of a history after the origin moved.
    [[nodiscard]] double rebase(std::size_t horizon) const { return rebase_[horizon]; }

private:
    bool started_ = false;
    timestamp origin_;
    timestamp now_;
    std::array<double, share_horizons.size()> decay_{1.0, 1.0, 1.0};
    std::array<double, share_horizons.size()> rebase_{1.0, 1.0, 1.0};
};

/// Exponentially weighted averages of a piecewise constant usage, one for each horizon.
class usage_history {
public:
    /// Sets the usage from the current time of the scale on.
    void set_usage(double usage, const history_scale& scale);
    [[nodiscard]] double usage() const { return usage_; }
    [[nodiscard]] double average(std::size_t horizon, const history_scale& scale) const
    {
        return usage_ + offset_[horizon] * scale.decay(horizon);
    }
    /// Converts the stored offsets to the new origin of the scale.
    void rebase(const history_scale& scale);

private:
    double usage_ = 0.0;
    /// Average minus usage at the last change for each horizon, scaled to the origin of the history_scale.
    std::array<double, share_horizons.size()> offset_{};
};

} // namespace mjm
