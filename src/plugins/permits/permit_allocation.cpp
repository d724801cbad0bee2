#include "permits/permit_allocation.h"

#include <algorithm>
#include <vector>

namespace mjm {

std::map<shard_id, std::int64_t> divide_in_proportion(std::int64_t total,
                                                      const std::map<shard_id, std::int64_t>& needs)
{
    struct remainder {
        std::int64_t rest = 0;
        shard_id shard;
    };

    std::map<shard_id, std::int64_t> parts;
    std::int64_t sum = 0;
    std::int64_t with_need = 0;
    for (const auto& [shard, need] : needs) {
        sum += std::max<std::int64_t>(0, need);
        with_need += need > 0 ? 1 : 0;
    }
    if (sum <= total)
        return needs;

    // One permit each first, so that a small need next to large ones is not rounded down to nothing.
    const std::int64_t base = total >= with_need ? 1 : 0;
    const std::int64_t pool = std::max<std::int64_t>(0, total - base * with_need);
    const std::int64_t weight = std::max<std::int64_t>(1, sum - base * with_need);
    std::int64_t left = pool;
    std::vector<remainder> remainders;
    for (const auto& [shard, need] : needs) {
        if (need <= 0) {
            parts[shard] = 0;
            continue;
        }
        const std::int64_t scaled = (need - base) * pool;
        parts[shard] = base + scaled / weight;
        left -= scaled / weight;
        remainders.push_back({scaled % weight, shard});
    }
    std::stable_sort(remainders.begin(), remainders.end(),
                     [](const remainder& a, const remainder& b) { return a.rest > b.rest; });
    for (const remainder& it : remainders) {
        if (left <= 0)
            break;
        if (parts[it.shard] < needs.at(it.shard)) {
            ++parts[it.shard];
            --left;
        }
    }
    return parts;
}

} // namespace mjm
