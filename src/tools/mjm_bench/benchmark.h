#pragma once

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <vector>

// NOLINTNEXTLINE(readability-identifier-naming): the library's own name
namespace CLI {
class App;
} // namespace CLI

namespace mjm::bench {

/// One subcommand of mjm_bench.
class benchmark {
public:
    benchmark() = default;
    benchmark(const benchmark&) = delete;
    benchmark& operator=(const benchmark&) = delete;
    virtual ~benchmark() = default;

    [[nodiscard]] virtual std::string name() const = 0;
    [[nodiscard]] virtual std::string description() const = 0;
    /// Adds the subcommand's own options; the variables they fill belong to the benchmark.
    virtual void add_options(CLI::App& app) = 0;
    /// Runs and returns everything measured.
    [[nodiscard]] virtual nlohmann::json run() = 0;
    /// Prints a result of `run` as text.
    virtual void print(const nlohmann::json& result, std::ostream& out) const = 0;
};

/// The benchmarks linked into the program.
[[nodiscard]] std::vector<std::unique_ptr<benchmark>>& registered_benchmarks();

/// Registers a benchmark; define one object of this type beside the benchmark's class.
template <typename Benchmark>
class registration {
public:
    registration() { registered_benchmarks().push_back(std::make_unique<Benchmark>()); }
};

} // namespace mjm::bench
