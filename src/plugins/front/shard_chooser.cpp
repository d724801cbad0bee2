#include "front/shard_chooser.h"

#include <vector>

namespace mjm {

namespace {

/// A request goes to another zone only if it would wait longer than this in its own. Another zone adds about
/// 1 to 3 ms in each direction.
constexpr double local_wait_tolerance_s = 0.05;

struct weighted_shard {
    shard_id shard;
    double weight = 0.0;
};

double estimated_wait_s(const shard_load& load)
{
    if (load.free_slots > 0 && load.queued == 0)
        return 0.0;
    const double slots = std::max<double>(1.0, static_cast<double>(load.running + load.free_slots));
    return std::chrono::duration<double>(load.mean_run).count() * static_cast<double>(load.queued + 1) /
           slots;
}

/// Returns the relative chance of being chosen, which grows with free slots and falls with the estimated
/// wait.
double selection_weight(const std::optional<shard_load>& load)
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
        candidates.push_back({shard, selection_weight(load)});
        total += candidates.back().weight;
    }
    double remaining = random.uniform01() * total;
    for (const weighted_shard& candidate : candidates) {
        remaining -= candidate.weight;
        if (remaining <= 0.0)
            return candidate.shard;
    }
    return candidates.empty() ? std::nullopt : std::optional{candidates.back().shard};
}

} // namespace mjm
