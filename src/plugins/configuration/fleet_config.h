#pragma once

#include "core/identifiers.h"
#include "core/resources.h"
#include "platform/target_client.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

/// A person or program that may read the configuration and propose changes to it.
using operator_id = strong_string<struct operator_tag>;

/// A key of a team, owner or operator; only a salted hash is kept.
struct key_record {
    key_id id;
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< Hexadecimal HMAC-SHA256 of the key with the salt.
};

/// One of the organisations that share the fleet.
struct owner_record {
    owner_id id;
    std::vector<key_record> keys;
};

/// An operator and the keys that authenticate it.
struct operator_record {
    operator_id id;
    std::vector<key_record> keys;
};

/// Relative weights of the measures by which plans are compared.
struct measure_weights {
    double buffer_cost = 1.0;
    double rollout_time = 1.0;
    double moves = 1.0;
    double share_adherence = 1.0;
};

/// A team of an owner, its share of the fleet and its limit.
struct team_record {
    team_id id;
    owner_id owner;
    double share = 1.0;     ///< Relative weight among the teams when demand exceeds capacity.
    std::int64_t limit = 0; ///< Most tasks running at once, across the fleet.
    std::vector<key_record> keys;
};

/// A service and the pool that runs its work.
struct service_record {
    service_id id;
    pool_id pool;
    bool open_to_all = false; ///< Accepts work without a key.
};

/// Address, location, pool and capacity of a target.
struct target_record {
    target_endpoint endpoint;
    zone_id zone;
    rack_id rack;
    pool_id pool;
    resources capacity;
    std::int64_t connections = 64;
    bool cordoned = false;        ///< Receives no new work.
    std::uint64_t assignment = 0; ///< Configuration version in which the target joined its pool.
};

/// A pool of targets.
struct pool_record {
    pool_id id;
    std::int64_t min_available = 0; ///< Availability budget: fewest hosts that must be able to take work.
    bool spare = false;
};

/// One numbered version of the configuration. Immutable once installed.
struct fleet_config {
    std::uint64_t version = 0;
    std::string authority_month;              ///< "YYYY-MM": the month in force.
    owner_id authority;                       ///< Owner that accepts or rejects patches in that month.
    std::string ticket_secret;                ///< Hexadecimal key of the HMAC in tickets.
    std::map<std::string, owner_id> calendar; ///< Owner that holds the authority, by month "YYYY-MM".
    measure_weights weights;
    std::map<owner_id, owner_record> owners;
    std::map<operator_id, operator_record> operators;
    std::map<team_id, team_record> teams;
    std::map<service_id, service_record> services;
    std::map<pool_id, pool_record> pools;
    std::map<target_id, target_record> targets;

    /// Returns the team that a presented key belongs to, or std::nullopt. Every key is compared, each in
    /// constant time.
    [[nodiscard]] std::optional<team_id> authenticate(std::string_view presented_key) const;
    /// Returns the owner that a presented key belongs to, or std::nullopt. Every key is compared, each in
    /// constant time.
    [[nodiscard]] std::optional<owner_id> authenticate_owner(std::string_view presented_key) const;
    /// Returns the operator that a presented key belongs to, or std::nullopt. Every key is compared, each in
    /// constant time.
    [[nodiscard]] std::optional<operator_id> authenticate_operator(std::string_view presented_key) const;
    /// Returns all (service, zone) pairs whose pool has a target in the zone.
    [[nodiscard]] std::set<shard_id> shards() const;
    /// Returns the targets of the shard's service in its zone; empty if the service does not exist.
    [[nodiscard]] std::vector<target_record> targets_of(const shard_id& shard) const;
};

} // namespace mjm
