#pragma once

#include "core/time_types.h"
#include "permits/permit_agent.h"
#include "permits/permit_document.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mjm {

/// One shard's view of one team's permit document, and the decision what to write next. Performs no calls.
class team_permits {
public:
    team_permits(const shard_id& shard, shard_epoch epoch, const team_id& team,
                 const permit_agent_settings& settings);

    void set_limit(std::int64_t limit, std::uint64_t config_version);
    void set_demand(std::int64_t wanted, std::int64_t in_use);
    void release() { releasing_ = true; }

    /// The document as confirmed by the store at `revision`. Older revisions are ignored.
    void confirm(const permit_document& document, store_revision revision, timestamp now);
    /// The document at `revision()` was still current.
    void confirm_unchanged(timestamp now);
    /// The store confirmed that there is no document.
    void confirm_absent(timestamp now);
    /// True once another owner's higher epoch was seen for the shard.
    [[nodiscard]] bool superseded() const { return superseded_; }

    [[nodiscard]] std::int64_t held() const;
    /// Permits granted to the shard in the last confirmed document.
    [[nodiscard]] std::int64_t count() const { return document_.count_of(shard_); }
    [[nodiscard]] std::uint64_t limit_version() const { return document_.limit_version; }
    [[nodiscard]] store_revision revision() const { return revision_; }
    [[nodiscard]] std::optional<timestamp> read_at() const { return read_at_; }
    /// False when nothing about this team can concern the shard now.
    [[nodiscard]] bool concerned() const;
    /// True when the shard waits for permits or its view must be refreshed soon.
    [[nodiscard]] bool pressing() const;
    /// True when the limit in the last read document differs from a newer configuration version.
    [[nodiscard]] bool limit_is_new() const;

    /// Document to write at `revision()`, or nothing when all is as it should be.
    [[nodiscard]] std::optional<permit_document> plan(timestamp now);

    /// Permits that `next` would give back stop counting before the write is sent.
    void begin_write(const permit_document& next);
    /// The write had no effect.
    void abandon_write() { in_doubt_.reset(); }
    /// Delays further takes, after giving way to another shard or after a conflict.
    void hold_off_takes(timestamp until) { take_not_before_ = until; }

private:
    struct doubtful_return {
        store_revision base = 0; ///< The write can take effect only at this revision.
        std::int64_t count = 0;
    };
    struct waiter {
        std::int64_t wanted = 0;
        std::int64_t count = 0;
        timestamp since;
    };

    [[nodiscard]] std::int64_t target() const;
    [[nodiscard]] bool others_wait() const;
    /// True when other shards need more than what is free.
    [[nodiscard]] bool shortage() const;
    /// True when a shard waits that holds no permit at all.
    [[nodiscard]] bool others_starve() const;
    /// Part of the limit that is due to this shard when not all needs can be met.
    [[nodiscard]] std::int64_t fair_part() const;
    /// Permits that an idle shard keeps while no other shard needs them.
    [[nodiscard]] std::int64_t idle_floor() const;
    void watch_waiters(timestamp now);
    void adjust_count(permit_document& next, timestamp now);
    void adjust_wanted(permit_document& next) const;
    void update_ceiling();

    shard_id shard_;
    shard_epoch epoch_;
    team_id team_;
    permit_agent_settings settings_;

    std::int64_t limit_ = 0;
    std::uint64_t config_version_ = 0;
    std::int64_t wanted_ = 0;
    std::int64_t in_use_ = 0;
    bool demand_known_ = false;
    bool releasing_ = false;
    bool superseded_ = false;

    permit_document document_;
    bool exists_ = false;
    store_revision revision_ = 0;
    std::optional<timestamp> read_at_;
    std::optional<timestamp> surplus_since_;
    std::optional<doubtful_return> in_doubt_;
    std::map<shard_id, waiter> waiters_;
    std::map<shard_id, std::int64_t> active_needs_; ///< Needs of other shards that still wait.
    timestamp take_not_before_;
    timestamp keep_until_;
    std::int64_t ceiling_ = 0; ///< Upper bound from a lowered limit or from other shards' needs.
};

} // namespace mjm
