#pragma once

#include "core/identifiers.h"
#include "core/random_source.h"
#include "core/time_types.h"
#include "platform/kv_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace mjm {

struct permit_agent_settings {
    double max_writes_per_s = 2.0; ///< Store writes of one shard.
    /// Mean time between two reads of the document of a team whose permits the shard waits for.
    duration poll_interval{std::chrono::seconds{1}};
    /// How long a shard keeps surplus permits before it returns them.
    duration idle_return_delay{std::chrono::seconds{5}};
    double max_reads_per_s = 10.0; ///< Conditional store reads of one shard.
};

struct permit_agent_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;            ///< Compare-and-swaps sent.
    std::uint64_t conflicts = 0;         ///< Compare-and-swaps refused because the document had changed.
    std::uint64_t invalid_documents = 0; ///< Documents read that could not be parsed.
};

/// Acquires and returns one shard's permits within each team's limit. The store document `permits/<team>`
/// records how many permits each shard holds and under which epoch; the usable permits of all shards never
/// exceed the limit.
///
/// A permit counts as held only once the store has confirmed it, and as returned before the write that
/// returns it is sent. After a lost store answer the agent therefore counts too few permits, never too many.
class permit_agent {
public:
    permit_agent(const shard_id& shard, shard_epoch epoch, kv_store& store, random_source& random,
                 const permit_agent_settings& settings);
    ~permit_agent();
    permit_agent(const permit_agent&) = delete;
    permit_agent& operator=(const permit_agent&) = delete;

    /// Sets the teams' limits (tasks running at once in the fleet) from a configuration version; a team that
    /// is not listed has the limit 0. Ignored if a newer version is already known.
    void set_limits(const std::map<team_id, std::int64_t>& limits, std::uint64_t config_version);
    /// Sets how many permits the shard could use now (running and waiting tasks) and how many it uses.
    /// `in_use` includes tasks that may still run on targets that this owner has not fenced. Permits of a
    /// team are returned only after the first call for that team, because a new owner does not know before
    /// how many of them are in use.
    void set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use);
    /// Starts at most one store read and one store write that are due.
    void tick(timestamp now);

    /// Permits that the shard may use; 0 until the team's document records this owner's epoch.
    [[nodiscard]] std::int64_t held(const team_id& team) const;
    /// Sets the callback for when the shard can use more permits of a team than before.
    void on_gain(std::function<void()> callback);
    /// Returns all permits that are not in use, and the others as their tasks end. Used for a shard that is
    /// being closed.
    void release_all();
    /// Whether a higher epoch of the shard was seen. A superseded agent holds no permits.
    [[nodiscard]] bool superseded() const;
    /// Configuration version of the limit in the team's last confirmed document; 0 before the first
    /// confirmation.
    [[nodiscard]] std::uint64_t limit_version(const team_id& team) const;
    [[nodiscard]] permit_agent_counters counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
