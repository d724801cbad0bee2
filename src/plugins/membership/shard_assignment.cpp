#include "membership/shard_assignment.h"

#include <xxhash.h>

#include <algorithm>

namespace mjm {

std::uint64_t rendezvous_score(const host_id& host, const shard_id& shard)
{
    const std::string text = host.str() + '\n' + to_string(shard);
    return XXH64(text.data(), text.size(), 0);
}

std::map<shard_id, host_id> assign_unowned(const std::set<shard_id>& unowned,
                                           const std::vector<host_id>& hosts,
                                           std::map<host_id, std::size_t> load, std::size_t shard_count)
{
    std::map<shard_id, host_id> out;
    if (hosts.empty())
        return out;
    const std::size_t even_part = (shard_count + hosts.size() - 1) / hosts.size();
    for (const shard_id& shard : unowned) {
        const host_id* best = nullptr;
        for (const host_id& host : hosts) {
            if (load[host] >= even_part)
                continue;
            if (best == nullptr || rendezvous_score(host, shard) > rendezvous_score(*best, shard))
                best = &host;
        }
        // After shards were removed from the configuration, every host may already have its part.
        if (best == nullptr)
            best =
                &*std::min_element(hosts.begin(), hosts.end(),
                                   [&load](const host_id& a, const host_id& b) { return load[a] < load[b]; });
        out[shard] = *best;
        ++load[*best];
    }
    return out;
}

std::optional<shard_move> next_move(const std::map<shard_id, host_id>& owners,
                                    const std::vector<host_id>& hosts)
{
    if (hosts.empty())
        return std::nullopt;
    std::map<host_id, std::size_t> load;
    for (const host_id& host : hosts)
        load[host] = 0;
    for (const auto& [shard, owner] : owners) {
        if (const auto it = load.find(owner); it != load.end())
            ++it->second;
    }
    const auto by_load = [](const auto& a, const auto& b) { return a.second < b.second; };
    const auto least = std::min_element(load.begin(), load.end(), by_load);
    const auto most = std::max_element(load.begin(), load.end(), by_load);
    if (most->second - least->second <= 1)
        return std::nullopt;
    const shard_id* best = nullptr;
    for (const auto& [shard, owner] : owners) {
        if (owner == most->first && (best == nullptr || rendezvous_score(least->first, shard) >
                                                            rendezvous_score(least->first, *best)))
            best = &shard;
    }
    return shard_move{*best, most->first, least->first};
}

} // namespace mjm
