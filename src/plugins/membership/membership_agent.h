#pragma once

#include "core/clock.h"
#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/random_source.h"
#include "platform/kv_store.h"
#include "platform/peer_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace mjm {

enum class member_state { live, leaving };

template <>
struct enum_names<member_state> {
    static constexpr std::array<std::pair<member_state, std::string_view>, 2> entries{{
        {member_state::live, "live"},
        {member_state::leaving, "leaving"},
    }};
};

/// An entry host as recorded in the store.
struct member {
    peer_endpoint endpoint;
    zone_id zone;
    std::uint64_t incarnation = 0; ///< Grows with each start of a process under the same host name.
    member_state state = member_state::live;
    std::uint64_t config_version = 0; ///< Version in force there when it last wrote its record.
};

struct shard_owner_record {
    host_id owner; ///< Empty when the last owner gave the shard up without a successor.
    shard_epoch epoch = 0;
    std::uint64_t incarnation = 0; ///< Of the owner.

    friend bool operator==(const shard_owner_record&, const shard_owner_record&) = default;
};

struct membership_settings {
    duration lease_ttl{std::chrono::seconds{6}};
    duration renew_interval{std::chrono::seconds{2}};
    duration poll_interval{std::chrono::seconds{1}}; ///< Roster and ownership documents.
    /// Least time between two moves that only even out the division: each costs a recovery.
    duration rebalance_interval{std::chrono::seconds{10}};
    /// After the first contact, a lapsed own lease or an outage, other members have this long to renew their
    /// records before they count as absent.
    duration settle_time{std::chrono::seconds{6}};
};

/// Keeps this host's record in the store alive, follows the roster and the ownership documents
/// `shards/<zone>`, and takes over shards of its own zone that have no live owner.
class membership_agent {
public:
    membership_agent(const member& self, kv_store& store, random_source& random,
                     const membership_settings& settings);
    ~membership_agent();
    membership_agent(const membership_agent&) = delete;
    membership_agent& operator=(const membership_agent&) = delete;

    /// Shards that exist, from the configuration; those of other zones are only followed.
    void set_shards(const std::set<shard_id>& shards);
    void set_config_version(std::uint64_t version);
    void tick(timestamp now);
    /// Marks this host as leaving and hands its shards to other members of the zone.
    void leave(timestamp now);
    /// True when this host has left: it owns nothing any more and its record is removed.
    [[nodiscard]] bool has_left() const;

    [[nodiscard]] std::vector<member> members() const;
    /// Owner of a shard as last read.
    [[nodiscard]] std::optional<shard_owner_record> owner_of(const shard_id& shard) const;
    [[nodiscard]] std::map<shard_id, shard_epoch> owned() const;

    /// Called when ownership of a shard was gained at an epoch, confirmed by the store.
    void on_gain(std::function<void(const shard_id&, shard_epoch)> callback);
    /// Called when another host owns the shard now.
    void on_loss(std::function<void(const shard_id&)> callback);

    /// Confirms by a store read begun after this call that this host owns the shard at `epoch`.
    void confirm_epoch(const shard_id& shard, shard_epoch epoch, std::function<void(bool confirmed)> done);
    /// True when a newer incarnation of this host's name was seen: this agent owns nothing any more.
    [[nodiscard]] bool superseded() const;
    /// Incarnation of this process; 0 until the store has confirmed it.
    [[nodiscard]] std::uint64_t incarnation() const;
    /// Time of the last successful store call; nothing before the first.
    [[nodiscard]] std::optional<timestamp> last_store_answer() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
