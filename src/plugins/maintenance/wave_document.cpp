#include "maintenance/wave_document.h"

#include <algorithm>

namespace mjm {

std::int64_t wave_document::count(host_stage stage) const
{
    return std::count_if(hosts.begin(), hosts.end(),
                         [stage](const auto& it) { return it.second.stage == stage; });
}

wave_document make_wave(const std::string& id, const wave_scope& scope, const fleet_config& config)
{
    wave_document wave;
    wave.id = id;
    for (const target_id& host : scope.hosts)
        wave.hosts[host] = {};
    for (const auto& [target, record] : config.targets) {
        if (scope.pools.contains(record.pool) || scope.racks.contains({record.zone, record.rack}))
            wave.hosts[target] = {};
    }
    return wave;
}

bool is_out(host_stage stage)
{
    switch (stage) {
    case host_stage::cordoned:
    case host_stage::draining:
    case host_stage::rebooting:
    case host_stage::verifying:
    case host_stage::failed:
        return true;
    case host_stage::waiting:
    case host_stage::returned:
    case host_stage::skipped:
        break;
    }
    return false;
}

bool is_final(host_stage stage)
{
    return stage == host_stage::returned || stage == host_stage::skipped;
}

std::string wave_key(const std::string& id)
{
    return "waves/" + id;
}

} // namespace mjm
