#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace mjm {

struct permit_benchmark_case {
    int shards = 0;
    int teams = 0;
    int seconds = 0; ///< Measured virtual time, which a warm-up of a quarter of it precedes.
    /// Ratio of a team's limit to its mean demand.
    double limit_ratio = 1.25;
};

/// Figures of one permit policy.
struct permit_benchmark_result {
    double writes_per_s = 0.0;
    double conflicts_per_s = 0.0;
    double reads_per_s = 0.0;
    double under_use = 0.0;   ///< Mean fraction of the limit that is unused while tasks wait for permits.
    double mean_wait_s = 0.0; ///< Mean number of waiting tasks divided by the rate of starts.
};

/// Results of all policies for one case.
struct permit_benchmark_row {
    permit_benchmark_result agent;           ///< `permit_agent` on a simulated store.
    permit_benchmark_result static_division; ///< Each shard holds an equal, fixed part of the limit.
    /// Each start and each end writes the store. Idealised as free of conflicts and latency, so its wait is a
    /// lower bound.
    permit_benchmark_result write_per_task;
};

/// Simulates shards whose demand peaks in turn: each needs five times its mean for about a fifth of the
/// period and a twentieth of its mean in between. Deterministic for a given seed.
[[nodiscard]] permit_benchmark_row run_permit_benchmark(const permit_benchmark_case& it, std::uint64_t seed);

/// Runs all cases and prints a table with one row for each.
void print_permit_benchmark(const std::vector<permit_benchmark_case>& cases, std::uint64_t seed,
                            std::ostream& out);

} // namespace mjm
