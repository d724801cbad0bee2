#pragma once

#include "core/random_source.h"
#include "jobs/job_leader.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mjm::bench {

struct leader_load_settings {
    int targets = 540;
    int pools = 4;
    double load = 0.5; ///< Offered work as a multiple of the capacity of all targets.
    duration length{std::chrono::seconds{20}};
    duration heartbeat{std::chrono::milliseconds{1500}}; ///< Interval of a target's registrations.
    std::uint64_t seed = 1;
};

struct leader_load_result {
    std::uint64_t runs = 0; ///< Runs that have ended.
    std::uint64_t log_lines = 0;
    std::uint64_t log_bytes = 0;
    double processor_s = 0.0;     ///< Processor time of the leader's code, without the simulated fleet.
    double log_processor_s = 0.0; ///< Processor time of the log's own thread.
};

/// Drives one leader with its real scheduler, journal and log against targets and a store that are simulated
/// in memory and in virtual time. Only the time spent in the leader is counted.
[[nodiscard]] leader_load_result run_leader_load(const leader_load_settings& settings);

} // namespace mjm::bench
