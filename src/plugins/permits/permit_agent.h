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
    duration poll_interval{std::chrono::seconds{1}};
    duration idle_return_delay{std::chrono::seconds{5}}; ///< Surplus permits are kept this long.
    double max_reads_per_s = 10.0;                       ///< Conditional store reads of one shard.
};

struct permit_agent_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;    ///< Compare-and-swaps sent.
    std::uint64_t conflicts = 0; ///< Among them, those that met a newer revision.
    std::uint64_t bad_documents = 0;
};

/// Holds one shard's permits out of each team's upper limit. The store document `permits/<team>` records
/// how many permits each shard holds and under which epoch; their sum never exceeds the limit.
///
/// A permit counts as held only when the store has confirmed it, and as given back before the write that
/// returns it is sent, so that a lost store answer errs on the side of too few.
class permit_agent {
public:
    permit_agent(const shard_id& shard, shard_epoch epoch, kv_store& store, random_source& random,
                 const permit_agent_settings& settings);
    ~permit_agent();
    permit_agent(const permit_agent&) = delete;
    permit_agent& operator=(const permit_agent&) = delete;

    /// Upper limits (tasks running at once in the fleet) as of a configuration version.
    void set_limits(const std::map<team_id, std::int64_t>& limits, std::uint64_t config_version);
    /// What the shard would use now (running and waiting) and what it is using. `in_use` includes what may
    /// still run on targets that this owner has not fenced. Permits of a team are given back only after the
    /// first call for that team, since a new owner does not know before how many of them are in use.
    void set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use);
    void tick(timestamp now);

    /// Permits that the shard may use; 0 until the team's document has been stamped with this epoch.
    [[nodiscard]] std::int64_t held(const team_id& team) const;
    /// Called when more permits than before can be used.
    void on_gain(std::function<void()> callback);
    /// Gives back all permits not in use, for a shard that is being closed.
    void release_all();
    /// True once a higher epoch was seen for the shard; this agent then holds nothing any more.
    [[nodiscard]] bool superseded() const;
    /// Configuration version of the limit in the team's document as last confirmed; 0 before.
    [[nodiscard]] std::uint64_t limit_version(const team_id& team) const;
    [[nodiscard]] permit_agent_counters counters() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
