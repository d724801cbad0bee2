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
    std::uint64_t incarnation = 0; ///< Increases with each start of a process under the same host name.
    member_state state = member_state::live;
    std::uint64_t config_version = 0; ///< In force on the host when it last wrote its record.
};

/// Owner of a shard as recorded in the store.
struct shard_owner_record {
    host_id owner; ///< Empty if the last owner released the shard without a successor.
    shard_epoch epoch = 0;
    std::uint64_t incarnation = 0; ///< Incarnation of the owner.

    friend bool operator==(const shard_owner_record&, const shard_owner_record&) = default;
};

struct membership_settings {
    duration lease_ttl{std::chrono::seconds{6}};
    duration renew_interval{std::chrono::seconds{2}};
    /// Mean time between reads of the roster and of the zone's ownership document.
    duration poll_interval{std::chrono::seconds{1}};
    /// Minimum time between a change of the owners and a move that only balances their loads, because each
    /// move costs a recovery of the shard.
    duration rebalance_interval{std::chrono::seconds{10}};
    /// Time that other members have to renew their records before they count as absent, from the first store
    /// answer, the expiry of the own lease or the end of a store outage.
    duration takeover_delay{std::chrono::seconds{6}};
};

/// Keeps this host's record in the store alive, reads the roster and the ownership documents `shards/<zone>`,
/// and takes over shards of its own zone that have no live owner.
class membership_agent {
public:
    membership_agent(const member& self, kv_store& store, random_source& random,
                     const membership_settings& settings);
    ~membership_agent();
    membership_agent(const membership_agent&) = delete;
    membership_agent& operator=(const membership_agent&) = delete;

    /// Sets the configured shards. The owners of shards of other zones are only read.
    void set_shards(const std::set<shard_id>& shards);
    void set_config_version(std::uint64_t version);
    /// Starts the store calls that are due.
    void tick(timestamp now);
    /// Marks this host as leaving and hands its shards to other members of the zone.
    void leave(timestamp now);
    /// Whether this host has left: it owns no shards, and its record is removed or belongs to a newer
    /// incarnation.
    [[nodiscard]] bool has_left() const;

    /// Members of all zones as last read.
    [[nodiscard]] std::vector<member> members() const;
    /// Returns the owner of a shard as last read, or std::nullopt if none is known.
    [[nodiscard]] std::optional<shard_owner_record> owner_of(const shard_id& shard) const;
    /// Shards that this host owns, with the epoch of each.
    [[nodiscard]] std::map<shard_id, shard_epoch> owned() const;

    /// Sets the callback for when the store has confirmed that this host owns a shard at an epoch.
    void on_gain(std::function<void(const shard_id&, shard_epoch)> callback);
    /// Sets the callback for when this host no longer owns a shard at the epoch that it had.
    void on_loss(std::function<void(const shard_id&)> callback);

    /// Calls `done` with whether this host owns the shard at `epoch`, according to a store read that starts
    /// after this call. Calls it with false if the read fails.
    void confirm_epoch(const shard_id& shard, shard_epoch epoch, std::function<void(bool confirmed)> done);
    /// Whether a newer incarnation of this host's name was seen. A superseded agent owns no shards.
    [[nodiscard]] bool superseded() const;
    /// Incarnation of this process; 0 until the store has confirmed it.
    [[nodiscard]] std::uint64_t incarnation() const;
    /// Returns the start time of the last successful store call, or std::nullopt before the first.
    [[nodiscard]] std::optional<timestamp> last_store_answer() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
