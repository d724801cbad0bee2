#pragma once

#include "core/identifiers.h"
#include "core/task_types.h"
#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mjm::bench {

/// The shards of one service in all its zones, and who uses them.
struct deployment {
    std::string name;
    std::vector<std::size_t> workers_per_shard; ///< One shard for each zone.
    std::vector<double> shares;                 ///< One for each team.
    std::vector<double> demand; ///< Each team's part of the offered work, in the order of the shares.
    std::int64_t slots_per_worker = 8;
    std::int64_t milli_cpu_per_worker = 0;
    std::int64_t memory_mib_per_worker = 0;

    [[nodiscard]] std::int64_t total_slots() const;
    [[nodiscard]] resources worker() const;
    /// What a task of a number of slots needs: the same part of the worker in each kind.
    [[nodiscard]] resources need(std::int64_t slots) const;
};

/// How the teams' demand relates to their shares.
enum class demand_shape { proportional, skewed };

[[nodiscard]] deployment consortium(demand_shape shape);
[[nodiscard]] deployment pilhas(demand_shape shape);
[[nodiscard]] deployment target_size(demand_shape shape);

struct demand_settings {
    duration length{std::chrono::minutes{30}};
    duration cycle{std::chrono::minutes{5}}; ///< The queue peaks once in each.
    double mean_load = 0.35;                 ///< Offered work as a part of the capacity.
    double peak_factor = 5.0;
    double trough_factor = 0.05;
    double urgent_fraction = 0.05;
    double median_run_s = 1.0; ///< Log-normal with sigma 1: mean 1.65 s.
    double longest_run_s = 60.0;
    duration timeout{std::chrono::minutes{1}};
};

/// One request of the recorded demand.
struct arrival {
    timestamp at;
    std::size_t team = 0;
    std::size_t home_shard = 0;
    std::int64_t slots = 1;
    priority urgency = priority::normal;
    duration run{0};
};

/// Demand for a seed, in order of time. The same list is replayed for each discipline.
[[nodiscard]] std::vector<arrival> record_demand(const deployment& where, const demand_settings& settings,
                                                 std::uint64_t seed);

} // namespace mjm::bench
