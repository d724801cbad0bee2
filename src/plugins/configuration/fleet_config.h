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

/// A key of a team; only a salted hash is kept.
struct key_record {
    key_id id;
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< Hexadecimal HMAC-SHA256 of the key with the salt.
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
    std::string authority_month; ///< "YYYY-MM": the month in force.
    owner_id authority;          ///< Owner that accepts or rejects patches in that month.
    std::string ticket_secret;   ///< Hexadecimal key of the tickets' HMAC.
    std::map<team_id, team_record> teams;
    std::map<service_id, service_record> services;
    std::map<pool_id, pool_record> pools;
    std::map<target_id, target_record> targets;

    /// Team that a presented key belongs to; compares every candidate in constant time.
    [[nodiscard]] std::optional<team_id> authenticate(std::string_view presented_key) const;
    /// All (service, zone) pairs whose pool has a target in the zone.
    [[nodiscard]] std::set<shard_id> shards() const;
    [[nodiscard]] std::vector<target_record> targets_of(const shard_id& shard) const;
};

} // namespace mjm
