#include "benchmark.h"

namespace mjm::bench {

std::vector<std::unique_ptr<benchmark>>& registered_benchmarks()
{
    static std::vector<std::unique_ptr<benchmark>> all;
    return all;
}

} // namespace mjm::bench
