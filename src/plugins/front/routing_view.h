#pragma once

#include "configuration/fleet_config.h"
#include "configuration/key_freshness.h"
#include "platform/peer_client.h"
#include "shard/shard_owner.h"

#include <memory>
#include <optional>
#include <vector>

namespace mjm {

/// The current owner of a shard, as far as this host knows.
struct shard_route {
    shard_epoch epoch = 0;
    peer_endpoint owner;
    shard_owner* local = nullptr; ///< Null unless this host is the owner.
};

/// What a front knows about the fleet: the configuration, and the owners and loads of shards.
class routing_view {
public:
    routing_view() = default;
    routing_view(const routing_view&) = delete;
    routing_view& operator=(const routing_view&) = delete;
    virtual ~routing_view() = default;

    /// Returns null until the first configuration has been read.
    [[nodiscard]] virtual std::shared_ptr<const fleet_config> config() const = 0;
    /// Whether requests with keys may be accepted at present.
    [[nodiscard]] virtual key_policy keys() const = 0;
    /// Returns std::nullopt if no owner is known.
    [[nodiscard]] virtual std::optional<shard_route> route(const shard_id& shard) const = 0;
    /// Returns the shards of a service in all zones; empty if there are none.
    [[nodiscard]] virtual const std::vector<shard_id>& shards_of(const service_id& service) const = 0;
    /// Returns the last reported load of a shard, or std::nullopt if none has been reported.
    [[nodiscard]] virtual std::optional<shard_load> load(const shard_id& shard) const = 0;
    /// Availability zone of this host.
    [[nodiscard]] virtual const zone_id& zone() const = 0;
};

} // namespace mjm
