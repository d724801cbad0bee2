#pragma once

#include "demand.h"
#include "disciplines.h"

#include <array>
#include <cstddef>
#include <vector>

namespace mjm::bench {

inline constexpr std::array<duration, 3> measured_horizons{std::chrono::seconds{10}, std::chrono::minutes{1},
                                                           std::chrono::minutes{10}};
inline constexpr double urgent_target_s = 4.2;

/// What one discipline did with one recorded demand.
struct share_result {
    /// Part of the delivered slot time that went to other teams than weighted max-min fair division would
    /// have given it to; one value for each horizon. The reference divides what is delivered in each second
    /// by the demand (running and waiting) in that second and is summed over the horizon's windows, so that
    /// short errors cancel over a long horizon and lasting ones do not. Demand is not summed over a longer
    /// time than a second, because a backlog would count again for each second that it waits.
    std::array<double, measured_horizons.size()> distance{};
    /// Delivered part of the capacity in the seconds whose demand was at least the capacity.
    double utilisation = 0.0;
    std::vector<double> urgent_delay_s;        ///< Of all urgent requests; the timeout when never started.
    std::vector<double> urgent_small_delay_s;  ///< Of those that do not take a whole worker.
    std::vector<double> urgent_within_delay_s; ///< Of those within their team's entitlement on arrival.
    std::vector<double> normal_delay_s;        ///< Of requests that are neither urgent nor large.
    std::vector<double> large_delay_s;         ///< Of tasks that take a whole worker.
    std::size_t started = 0;
    std::size_t expired = 0;
    std::size_t refused = 0;
};

/// Replays `demand` in virtual time over the shards of `where`.
[[nodiscard]] share_result simulate_shares(const deployment& where, const demand_settings& settings,
                                           const std::vector<arrival>& demand, discipline_kind kind);

} // namespace mjm::bench
