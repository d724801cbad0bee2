#include "configuration/fleet_config.h"

#include "configuration/key_hash.h"

namespace mjm {

namespace {

// Compares every key without stopping at a match, so that the duration does not reveal which record matched.
template <typename Records>
auto find_key_holder(const Records& records, std::string_view presented_key)
    -> std::optional<typename Records::key_type>
{
    std::optional<typename Records::key_type> found;
    for (const auto& [id, record] : records) {
        for (const key_record& key : record.keys) {
            if (key_matches(key, presented_key))
                found = id;
        }
    }
    return found;
}

} // namespace

std::optional<team_id> fleet_config::authenticate(std::string_view presented_key) const
{
    return find_key_holder(teams, presented_key);
}

std::optional<owner_id> fleet_config::authenticate_owner(std::string_view presented_key) const
{
    return find_key_holder(owners, presented_key);
}

std::optional<operator_id> fleet_config::authenticate_operator(std::string_view presented_key) const
{
    return find_key_holder(operators, presented_key);
}

std::set<shard_id> fleet_config::shards() const
{
    std::map<pool_id, std::set<zone_id>> zones;
    for (const auto& [id, target] : targets)
        zones[target.pool].insert(target.zone);
    std::set<shard_id> result;
    for (const auto& [id, service] : services) {
        for (const zone_id& zone : zones[service.pool])
            result.insert(shard_id{id, zone});
    }
    return result;
}

std::vector<target_record> fleet_config::targets_of(const shard_id& shard) const
{
    std::vector<target_record> result;
    const auto service = services.find(shard.service);
    if (service == services.end())
        return result;
    for (const auto& [id, target] : targets) {
        if (target.pool == service->second.pool && target.zone == shard.zone)
            result.push_back(target);
    }
    return result;
}

} // namespace mjm
