#include "front/shard_chooser.h"

#include <vector>

namespace mjm {

namespace {

/// A request crosses to another zone only when it would wait longer than this in its own; a crossing costs
/// about 1 to 3 ms each way.
constexpr double local_wait_tolerance_s = 0.05;

struct weighted_shard {
    shard_id shard;
    double weight = 0.0;
};

double estimated_wait_s(const shard_load& load)
{
    if (load.free_slots > 0 && load.queued == 0)
        return 0.0;
    const double servers = std::max<double>(1.0, static_cast<double>(load.running + load.free_slots));
    return std::chrono::duration<double>(load.mean_run).count() * static_cast<double>(load.queued + 1) /
           servers;
}

/// Chance of being chosen: idle slots first, then shorter waits.
double room(const std::optional<shard_load>& load)
{
    if (!load)
        return 1.0;
    return (static_cast<double>(load->free_slots) + 0.1) / (1.0 + estimated_wait_s(*load));
}

} // namespace

std::optional<shard_id> choose_shard(const routing_view& view, const service_id& service,
                                     const std::set<shard_id>& avoid, random_source& random)
{
    std::vector<weighted_shard> candidates;
    double total = 0.0;
    for (const shard_id& shard : view.shards_of(service)) {
        if (avoid.contains(shard) || !view.route(shard))
            continue;
        const std::optional<shard_load> load = view.load(shard);
        if (shard.zone == view.zone() && (!load || estimated_wait_s(*load) <= local_wait_tolerance_s))
            return shard;
        candidates.push_back({shard, room(load)});
        total += candidates.back().weight;
    }
    double mark = random.uniform01() * total;
    for (const weighted_shard& candidate : candidates) {
        mark -= candidate.weight;
        if (mark <= 0.0)
            return candidate.shard;
    }
    return candidates.empty() ? std::nullopt : std::optional{candidates.back().shard};
}

} // namespace mjm
