#include "maintenance/host_watch.h"

#include <algorithm>

namespace mjm {

void host_watch::set_config(const fleet_config& config)
{
    std::map<pool_id, std::vector<service_id>> services;
    for (const auto& [id, service] : config.services)
        services[service.pool].push_back(id);
    shards_.clear();
    for (const auto& [id, record] : config.targets) {
        std::set<shard_id>& shards = shards_[id];
        for (const service_id& service : services[record.pool])
            shards.insert({service, record.zone});
    }
}

void host_watch::observe_hosts(const std::vector<listed_host>& hosts, timestamp now)
{
    ready_ = true;
    live_.clear();
    for (const listed_host& it : hosts) {
        if (it.state == host_state::live)
            live_.insert(it.id);
    }
    std::erase_if(unlisted_,
                  [this](const auto& it) { return live_.contains(it.first) || !shards_.contains(it.first); });
    for (const auto& [id, shards] : shards_) {
        if (!live_.contains(id))
            unlisted_.try_emplace(id, now);
    }
}

void host_watch::observe_report(const shard_report& report, timestamp now)
{
    const auto it = reports_.find(report.shard);
    if (it != reports_.end() &&
        std::pair{report.epoch, report.sequence} < std::pair{it->second.epoch, it->second.sequence})
        return;
    reports_.insert_or_assign(report.shard, report);
    for (const auto& [id, tasks] : report.running) {
        if (!report.unreachable.contains(id))
            unreachable_.erase(id);
    }
    for (const target_id& id : report.unreachable)
        unreachable_.try_emplace(id, now);
}

std::optional<timestamp> host_watch::bad_since(const target_id& host) const
{
    const auto unlisted = unlisted_.find(host);
    const auto unreachable = unreachable_.find(host);
    if (unlisted == unlisted_.end())
        return unreachable == unreachable_.end() ? std::nullopt : std::optional{unreachable->second};
    return unreachable == unreachable_.end() ? unlisted->second
                                             : std::min(unlisted->second, unreachable->second);
}

bool host_watch::down(const target_id& host, timestamp now) const
{
    const std::optional<timestamp> since = bad_since(host);
    return since && now - *since >= down_after_;
}

const std::set<shard_id>& host_watch::shards_of(const target_id& host) const
{
    static const std::set<shard_id> none;
    const auto it = shards_.find(host);
    return it == shards_.end() ? none : it->second;
}

const shard_report* host_watch::current(const shard_id& shard, std::uint64_t version,
                                        const std::map<shard_id, shard_epoch>& owners) const
{
    const auto report = reports_.find(shard);
    const auto owner = owners.find(shard);
    if (report == reports_.end() || owner == owners.end() || report->second.epoch < owner->second ||
        report->second.cordon_version < version)
        return nullptr;
    return &report->second;
}

bool host_watch::in_force(const target_id& host, std::uint64_t version,
                          const std::map<shard_id, shard_epoch>& owners) const
{
    const std::set<shard_id>& shards = shards_of(host);
    return std::all_of(shards.begin(), shards.end(),
                       [&](const shard_id& it) { return current(it, version, owners) != nullptr; });
}

bool host_watch::drained(const target_id& host, std::uint64_t version,
                         const std::map<shard_id, shard_epoch>& owners) const
{
    const std::set<shard_id>& shards = shards_of(host);
    return std::all_of(shards.begin(), shards.end(), [&](const shard_id& it) {
        const shard_report* report = current(it, version, owners);
        if (report == nullptr || report->unreachable.contains(host))
            return false;
        const auto running = report->running.find(host);
        return running != report->running.end() && running->second == 0;
    });
}

} // namespace mjm
