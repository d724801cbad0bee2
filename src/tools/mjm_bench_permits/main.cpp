#include "permits/bench/permit_benchmark.h"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <iostream>
#include <vector>

int main(int argc, char** argv)
{
    CLI::App app{"Store writes and under-use of permits in virtual time", "mjm_bench_permits"};
    app.set_version_flag("--version", MJM_VERSION);
    std::vector<int> shards{15, 20, 64, 530};
    std::vector<int> teams{6, 52};
    int seconds = 600;
    double limit_ratio = 1.25;
    std::uint64_t seed = 1;
    app.add_option("--shards", shards, "Numbers of shards")->check(CLI::Range(1, 2000));
    app.add_option("--teams", teams, "Numbers of teams")->check(CLI::Range(1, 200));
    app.add_option("--seconds", seconds, "Virtual time measured")->check(CLI::Range(10, 86400));
    app.add_option("--limit-ratio", limit_ratio, "Limit of a team over its mean demand")
        ->check(CLI::Range(0.1, 10.0));
    app.add_option("--seed", seed, "Seed of the run");
    CLI11_PARSE(app, argc, argv);

    std::vector<mjm::permit_benchmark_case> cases;
    for (const int team_count : teams) {
        for (const int shard_count : shards)
            cases.push_back({shard_count, team_count, seconds, limit_ratio});
    }
    mjm::print_permit_benchmark(cases, seed, std::cout);
    return 0;
}
