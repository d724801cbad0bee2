#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace mjm {

struct permit_benchmark_case {
    int shards = 0;
    int teams = 0;
    int seconds = 0; ///< Virtual time that is measured, after a warm-up of a quarter.
    /// Sum of the teams' limits over the mean demand.
    double limit_ratio = 1.25;
};

/// Figures of one way to hand out permits. Under-use is the part of the limit that nobody uses while a shard
/// waits for it, as a mean over time.
struct permit_benchmark_result {
    double writes_per_s = 0.0;
    double conflicts_per_s = 0.0;
    double reads_per_s = 0.0;
    double under_use = 0.0;
    double mean_wait_s = 0.0; ///< Mean number of waiting tasks over the rate of starts.
};

struct permit_benchmark_row {
    permit_benchmark_result agent;
    permit_benchmark_result static_division;
    permit_benchmark_result write_per_task; ///< Lower bound: no conflicts, no latency.
};

/// Simulates demand that peaks in turn: a shard needs five times its mean for a fifth of the period and a
/// twentieth in between. Deterministic for a seed.
[[nodiscard]] permit_benchmark_row run_permit_benchmark(const permit_benchmark_case& it, std::uint64_t seed);

/// Prints a table with one row for each case.
void print_permit_benchmark(const std::vector<permit_benchmark_case>& cases, std::uint64_t seed,
                            std::ostream& out);

} // namespace mjm
