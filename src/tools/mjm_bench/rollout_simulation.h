#pragma once

#include "demand.h"

#include <cstdint>

namespace mjm::bench {

/// Who decides which hosts are out of service.
enum class rollout_method {
    controller,    ///< `wave_controller` against a simulated store.
    serial,        ///< One host after the other.
    fixed_batches, ///< A tenth of the hosts at once, the next tenth when all of them are back.
};

struct rollout_settings {
    double min_available_part = 0.8;    ///< Of the pool's workers, rounded down.
    double failures_per_host_day = 0.5; ///< Unplanned.
    duration reboot_least{std::chrono::minutes{4}};
    duration reboot_most{std::chrono::minutes{6}};
    duration failure_length{std::chrono::minutes{10}};
    duration longest{std::chrono::hours{24}}; ///< A roll-out that takes longer counts as not finished.
};

struct rollout_result {
    bool finished = false;
    double rollout_s = 0.0;
    double out_host_h = 0.0;               ///< Host-hours cordoned or rebooting.
    double idle_host_h = 0.0;              ///< Host-hours in service beyond what the running tasks fill.
    double mean_wait_s = 0.0;              ///< Of requests, from arrival to start.
    std::int64_t takes_against_budget = 0; ///< Hosts taken out when the budget did not allow it.
    double below_minimum_s = 0.0;          ///< Time with fewer hosts than the minimum, failures included.
    double store_writes_per_host = 0.0;
    double store_reads_per_s = 0.0;
};

/// Reboots every worker of the deployment's pool once while the recorded demand of `seed` repeats.
[[nodiscard]] rollout_result simulate_rollout(const deployment& where, rollout_method method,
                                              const rollout_settings& settings, std::uint64_t seed);

} // namespace mjm::bench
