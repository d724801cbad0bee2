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

struct team_record {
    team_id id;
    owner_id owner;
    double share = 1.0;     ///< Weight when everything is full.
    std::int64_t limit = 0; ///< Most tasks running at once in the whole fleet.
    std::vector<key_record> keys;
};

struct service_record {
    service_id id;
    pool_id pool;
    bool open_to_all = false; ///< Takes work without a key.
};

struct target_record {
    target_endpoint endpoint;
    zone_id zone;
    rack_id rack;
    pool_id pool;
    resources capacity;
    std::int64_t connections = 64;
    bool cordoned = false;        ///< Takes no new work.
    std::uint64_t assignment = 0; ///< Configuration version in which it joined its pool.
};

struct pool_record {
    pool_id id;
    std::int64_t min_available = 0; ///< Availability budget: hosts that must be able to take work.
    bool spare = false;
};

/// One numbered version of the configuration. Immutable once installed.
struct fleet_config {
    std::uint64_t version = 0;
    std::string authority_month;              ///< "YYYY-MM": the month in force.
    owner_id authority;                       ///< Owner that accepts or rejects patches in that month.
    std::string ticket_secret;                ///< Hexadecimal key of the tickets' HMAC.
    std::map<std::string, owner_id> calendar; ///< Owner that holds the authority, by month "YYYY-MM".
    measure_weights weights;
    std::map<owner_id, owner_record> owners;
    std::map<operator_id, operator_record> operators;
    std::map<team_id, team_record> teams;
    std::map<service_id, service_record> services;
    std::map<pool_id, pool_record> pools;
    std::map<target_id, target_record> targets;

    /// Team that a presented key belongs to; compares every candidate in constant time.
    [[nodiscard]] std::optional<team_id> authenticate(std::string_view presented_key) const;
    /// Owner or operator that a presented key belongs to; compares every candidate in constant time.
    [[nodiscard]] std::optional<owner_id> authenticate_owner(std::string_view presented_key) const;
    [[nodiscard]] std::optional<operator_id> authenticate_operator(std::string_view presented_key) const;
    /// All (service, zone) pairs whose pool has a target in the zone.
    [[nodiscard]] std::set<shard_id> shards() const;
    [[nodiscard]] std::vector<target_record> targets_of(const shard_id& shard) const;
};

} // namespace mjm
