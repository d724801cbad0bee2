#include "jobs/fleet_config.h"

namespace mjm {

const queue_config* fleet_config::match(std::string_view host, std::string_view path) const
{
    const queue_config* best = nullptr;
    for (const queue_config& it : queues) {
        if (it.host == host && path.starts_with(it.prefix) &&
            (best == nullptr || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

const queue_config* fleet_config::find_queue(const queue_id& id) const
{
    for (const queue_config& it : queues) {
        if (it.id == id)
            return &it;
    }
    return nullptr;
}

} // namespace mjm
