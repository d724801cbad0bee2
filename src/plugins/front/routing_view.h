#pragma once

#include "configuration/fleet_config.h"
#include "configuration/key_freshness.h"
#include "platform/peer_client.h"
#include "shard/shard_owner.h"

#include <memory>
#include <optional>
#include <vector>

namespace mjm {

/// Current owner of a shard as far as this host knows.
struct shard_route {
    shard_epoch epoch = 0;
    peer_endpoint owner;
    shard_owner* local = nullptr; ///< Set when this host is the owner.
};

/// What a front needs to know about the fleet.
class routing_view {
public:
    routing_view() = default;
    routing_view(const routing_view&) = delete;
    routing_view& operator=(const routing_view&) = delete;
    virtual ~routing_view() = default;

    /// Null until the first configuration has been read.
    [[nodiscard]] virtual std::shared_ptr<const fleet_config> config() const = 0;
    [[nodiscard]] virtual key_policy keys() const = 0;
    [[nodiscard]] virtual std::optional<shard_route> route(const shard_id& shard) const = 0;
    /// Shards of a service in all zones; empty when there is none.
    [[nodiscard]] virtual const std::vector<shard_id>& shards_of(const service_id& service) const = 0;
    /// Last known load; nothing when it was never heard of.
    [[nodiscard]] virtual std::optional<shard_load> load(const shard_id& shard) const = 0;
    [[nodiscard]] virtual const zone_id& zone() const = 0;
};

} // namespace mjm
