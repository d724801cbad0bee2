#pragma once

#include "core/time_types.h"
#include "permits/permit_agent.h"
#include "permits/permit_document.h"

#include <cstdint>
#include <map>
#include <optional>

namespace mjm {

/// One shard's view of one team's permit document. Decides what to write next, but makes no store calls.
class team_permits {
public:
    team_permits(const shard_id& shard, shard_epoch epoch, const team_id& team,
                 const permit_agent_settings& settings);

    /// Ignored if a newer configuration version is already known.
    void set_limit(std::int64_t limit, std::uint64_t config_version);
    /// Sets how many permits the shard could use now and how many it uses.
    void set_demand(std::int64_t wanted, std::int64_t in_use);
    /// Returns all permits that are not in use, and the others as their tasks end.
    void release() { releasing_ = true; }

    /// Takes over the document that the store has confirmed at `revision`, unless a newer one is known.
    void confirm(const permit_document& document, store_revision revision, timestamp now);
    /// Records that the store has confirmed the document at `revision()` as current.
    void confirm_unchanged(timestamp now);
    /// Records that the store has no document for the team.
    void confirm_absent(timestamp now);
    /// Whether a higher epoch of the shard, and so a newer owner, was seen.
    [[nodiscard]] bool superseded() const { return superseded_; }

    /// Permits that the shard may use.
    [[nodiscard]] std::int64_t held() const;
    /// Permits granted to the shard in the last confirmed document.
    [[nodiscard]] std::int64_t count() const { return document_.count_of(shard_); }
    [[nodiscard]] std::uint64_t limit_version() const { return document_.limit_version; }
    [[nodiscard]] store_revision revision() const { return revision_; }
    /// Returns std::nullopt before the first confirmation.
    [[nodiscard]] std::optional<timestamp> read_at() const { return read_at_; }
    /// Whether the shard needs, uses or holds permits of the team, or the document records a need of it.
    [[nodiscard]] bool relevant() const;
    /// Whether the shard waits for permits, the limit must be updated or the effect of a write is unknown.
    [[nodiscard]] bool needs_prompt_update() const;
    /// Whether a newer configuration version has another limit than the last read document.
    [[nodiscard]] bool limit_update_due() const;

    /// Returns the document to write at `revision()`, or std::nullopt if there is nothing to change.
    [[nodiscard]] std::optional<permit_document> plan(timestamp now);

    /// Called before `next` is sent: the permits that it returns stop counting as held.
    void begin_write(const permit_document& next);
    /// Called if the write had no effect.
    void abandon_write() { unconfirmed_return_.reset(); }
    /// Takes no further permits before `until`, after permits were returned to another shard.
    void delay_acquisition(timestamp until) { no_acquisition_before_ = until; }

private:
    /// A write that returned permits and whose effect is unknown.
    struct unconfirmed_return {
        store_revision base = 0; ///< The write can take effect only at this revision.
        std::int64_t count = 0;  ///< Permits left to the shard if the write takes effect.
    };
    /// Another shard that needs more permits than it holds.
    struct waiter {
        std::int64_t wanted = 0;
        std::int64_t count = 0;
        timestamp since;
    };

    /// Permits that the shard should hold: its need with headroom, or those in use while it releases its
    /// permits.
    [[nodiscard]] std::int64_t desired_count() const;
    [[nodiscard]] bool others_waiting() const;
    /// Whether the other shards need more permits than are free.
    [[nodiscard]] bool shortage() const;
    /// Whether another waiting shard holds no permit at all.
    [[nodiscard]] bool others_without_permits() const;
    /// Part of the limit that is due to this shard if not all needs can be met.
    [[nodiscard]] std::int64_t fair_part() const;
    /// Permits that an idle shard keeps as long as no other shard needs them.
    [[nodiscard]] std::int64_t idle_floor() const;
    void update_waiters(timestamp now);
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
    std::optional<unconfirmed_return> unconfirmed_return_;
    std::map<shard_id, waiter> waiters_;
    /// Needs of the other shards that wait for permits, without those that have timed out.
    std::map<shard_id, std::int64_t> active_needs_;
    timestamp no_acquisition_before_;
    timestamp keep_all_until_;
    std::int64_t ceiling_ = 0; ///< Upper bound from a lowered limit or from other shards' needs.
};

} // namespace mjm
