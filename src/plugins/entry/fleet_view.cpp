#include "entry/fleet_view.h"

namespace mjm {

void fleet_view::record(const status_message& message, timestamp received)
{
    const auto it = hosts_.find(message.host);
    if (it != hosts_.end() && message.sent < it->second.message.sent)
        return;
    hosts_.insert_or_assign(message.host, entry{message, received});
}

void fleet_view::forget_except(const std::set<host_id>& hosts)
{
    std::erase_if(hosts_, [&](const auto& it) { return !hosts.contains(it.first); });
}

std::optional<shard_load> fleet_view::load(const shard_id& shard, timestamp now) const
{
    std::optional<shard_load> found;
    shard_epoch newest = 0;
    for (const auto& [host, known] : hosts_) {
        if (now - known.received > load_validity)
            continue;
        for (const shard_status& status : known.message.shards) {
            if (status.shard == shard && status.epoch >= newest) {
                newest = status.epoch;
                found = status.load;
            }
        }
    }
    return found;
}

std::map<team_id, std::int64_t> fleet_view::running_elsewhere() const
{
    std::map<team_id, std::int64_t> total;
    for (const auto& [host, known] : hosts_) {
        for (const auto& [team, count] : known.message.running)
            total[team] += count;
    }
    return total;
}

} // namespace mjm
