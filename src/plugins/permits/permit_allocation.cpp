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
    std::int64_t total_need = 0;
    std::int64_t shards_with_need = 0;
    for (const auto& [shard, need] : needs) {
        total_need += std::max<std::int64_t>(0, need);
        shards_with_need += need > 0 ? 1 : 0;
    }
    if (total_need <= total)
        return needs;

    // Each shard with a need first gets one permit, so that a small need next to large ones is not rounded
    // down to 0.
    const std::int64_t base = total >= shards_with_need ? 1 : 0;
    const std::int64_t remaining_total = std::max<std::int64_t>(0, total - base * shards_with_need);
    const std::int64_t remaining_need = std::max<std::int64_t>(1, total_need - base * shards_with_need);
    std::int64_t unassigned = remaining_total;
    std::vector<remainder> remainders;
    for (const auto& [shard, need] : needs) {
        if (need <= 0) {
            parts[shard] = 0;
            continue;
        }
        const std::int64_t scaled = (need - base) * remaining_total;
        parts[shard] = base + scaled / remaining_need;
        unassigned -= scaled / remaining_need;
        remainders.push_back({scaled % remaining_need, shard});
    }
    std::stable_sort(remainders.begin(), remainders.end(),
                     [](const remainder& a, const remainder& b) { return a.rest > b.rest; });
    for (const remainder& it : remainders) {
        if (unassigned <= 0)
            break;
        if (parts[it.shard] < needs.at(it.shard)) {
            ++parts[it.shard];
            --unassigned;
        }
    }
    return parts;
}

} // namespace mjm
