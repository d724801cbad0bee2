#include "maintenance/availability_budget.h"

#include "core/invariant.h"

#include <set>
#include <utility>

namespace mjm {

const target_record* availability_budget::find(const target_id& host) const
{
    const auto it = config_.targets.find(host);
    return it == config_.targets.end() || it->second.pool != pool_ ? nullptr : &it->second;
}

wait_reason availability_budget::refusal(const budget_document& document, const target_id& host,
                                         const std::string& wave) const
{
    const target_record* wanted = find(host);
    const auto pool = config_.pools.find(pool_);
    if (wanted == nullptr || pool == config_.pools.end())
        return wait_reason::not_configured;
    if (document.config_version > config_.version)
        return wait_reason::configuration_behind;
    if (const auto it = document.taken.find(host); it != document.taken.end())
        return it->second.wave == wave ? wait_reason::none : wait_reason::other_wave;
    if (document.down.contains(host))
        return wait_reason::host_down;

    std::int64_t available = 0;
    wait_reason domain = wait_reason::none;
    for (const auto& [id, record] : config_.targets) {
        if (record.pool != pool_ || id == host)
            continue;
        const bool out = document.taken.contains(id) || document.down.contains(id);
        if (!out && !record.cordoned)
            ++available;
        if (!out)
            continue;
        if (record.zone != wanted->zone)
            domain = wait_reason::other_zone;
        else if (record.rack != wanted->rack && domain == wait_reason::none)
            domain = wait_reason::other_rack;
    }
    if (available < pool->second.min_available)
        return wait_reason::min_available;
    return domain;
}

bool availability_budget::check(const budget_document& document) const
{
    std::int64_t left = 0;
    std::set<std::pair<zone_id, rack_id>> racks;
    for (const auto& [id, record] : config_.targets) {
        if (record.pool != pool_)
            continue;
        if (document.taken.contains(id))
            racks.emplace(record.zone, record.rack);
        else
            ++left;
    }
    const auto pool = config_.pools.find(pool_);
    const std::int64_t least = pool == config_.pools.end() ? 0 : pool->second.min_available;
    return check_invariant(
        racks.size() <= 1 && (document.taken.empty() || left >= least), invariant::availability_budget,
        "pool " + pool_.str() + ": " + std::to_string(left) + " hosts left by waves, " +
            std::to_string(least) + " required, " + std::to_string(racks.size()) + " racks in maintenance");
}

} // namespace mjm
