#pragma once

#include "fleet_plan.h"
#include "net/http_client.h"

#include <cstddef>

namespace mjm {

struct overhead_settings {
    fleet_plan plan;
    http_endpoint entry;
    http_endpoint target; ///< A stand-in that is not in the configuration.
    target_id target_name{"direct0"};
    std::size_t requests = 500;
    std::int64_t run_ms = 0;
    std::size_t echo_bytes = 500;
    bool json = false;
};

/// Sends the same requests to one target stand-in and through the entry host in turn, one at a time, and
/// prints median and 99th percentile of both and their ratios. Returns the exit code.
[[nodiscard]] int measure_overhead(const overhead_settings& settings);

} // namespace mjm
