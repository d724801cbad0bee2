#include "permits/team_permits.h"

#include "permits/permit_allocation.h"

#include <algorithm>
#include <limits>

namespace mjm {

namespace {

constexpr std::int64_t unlimited = std::numeric_limits<std::int64_t>::max();

// A quarter more than the demand is requested. With less headroom, a steadily rising demand needs a store
// write for nearly every task start.
constexpr std::int64_t headroom_divisor = 4;
// A shard returns permits to waiting shards only if it holds more than its part by over this fraction, so
// that small changes of the needs don't move permits back and forth.
constexpr std::int64_t return_tolerance_divisor = 8;
// A recorded need is rewritten if the actual need deviates from it by more than this fraction.
constexpr std::int64_t wanted_tolerance_divisor = 4;
// A waiting shard that leaves free permits untaken for this many polls is taken to have no owner, and its
// need is ignored.
constexpr int waiter_timeout_polls = 10;

} // namespace

team_permits::team_permits(const shard_id& shard, shard_epoch epoch, const team_id& team,
                           const permit_agent_settings& settings)
    : shard_{shard}, epoch_{epoch}, team_{team}, settings_{settings}
{
}

void team_permits::set_limit(std::int64_t limit, std::uint64_t config_version)
{
    if (config_version < config_version_)
        return;
    limit_ = std::max<std::int64_t>(0, limit);
    config_version_ = config_version;
    update_ceiling();
}

void team_permits::set_demand(std::int64_t wanted, std::int64_t in_use)
{
    const bool changed = !demand_known_ || wanted != wanted_;
    wanted_ = std::max({wanted, in_use, std::int64_t{0}});
    in_use_ = std::max<std::int64_t>(0, in_use);
    demand_known_ = true;
    if (changed)
        update_ceiling();
}

void team_permits::confirm(const permit_document& document, store_revision revision, timestamp now)
{
    read_at_ = now;
    if (exists_ && revision < revision_)
        return;
    if (unconfirmed_return_ && revision > unconfirmed_return_->base)
        unconfirmed_return_.reset();
    if (document.count_of(shard_) > document_.count_of(shard_)) {
        // Permits just acquired are kept for one poll interval. Otherwise, with fewer permits than shards,
        // each shard would return its permits before it has started a task.
        keep_all_until_ = now + settings_.poll_interval;
    }
    document_ = document;
    exists_ = true;
    revision_ = revision;
    const auto it = document_.grants.find(shard_);
    superseded_ = superseded_ || (it != document_.grants.end() && it->second.epoch > epoch_);
    update_waiters(now);
    update_ceiling();
}

void team_permits::confirm_unchanged(timestamp now)
{
    read_at_ = now;
    update_waiters(now);
    update_ceiling();
}

void team_permits::confirm_absent(timestamp now)
{
    read_at_ = now;
}

std::int64_t team_permits::held() const
{
    const auto it = document_.grants.find(shard_);
    if (superseded_ || it == document_.grants.end() || it->second.epoch != epoch_)
        return 0;
    std::int64_t usable = std::min(document_.usable_by(shard_), ceiling_);
    if (unconfirmed_return_)
        usable = std::min(usable, unconfirmed_return_->count);
    return releasing_ ? std::min(usable, in_use_) : usable;
}

bool team_permits::relevant() const
{
    return wanted_ > 0 || in_use_ > 0 || unconfirmed_return_ || document_.count_of(shard_) > 0 ||
           document_.wanted.contains(shard_);
}

bool team_permits::needs_prompt_update() const
{
    return unconfirmed_return_ || limit_update_due() || (!releasing_ && wanted_ > held());
}

bool team_permits::limit_update_due() const
{
    return exists_ && config_version_ > document_.limit_version && limit_ != document_.limit;
}

std::int64_t team_permits::desired_count() const
{
    if (releasing_)
        return in_use_;
    return wanted_ == 0 ? 0 : wanted_ + std::max<std::int64_t>(1, wanted_ / headroom_divisor);
}

bool team_permits::others_waiting() const
{
    return !active_needs_.empty();
}

bool team_permits::shortage() const
{
    std::int64_t unmet = 0;
    for (const auto& [shard, need] : active_needs_)
        unmet += need - document_.count_of(shard);
    return unmet > document_.free();
}

bool team_permits::others_without_permits() const
{
    return std::any_of(active_needs_.begin(), active_needs_.end(),
                       [this](const auto& it) { return document_.count_of(it.first) == 0; });
}

std::int64_t team_permits::fair_part() const
{
    std::map<shard_id, std::int64_t> needs;
    for (const auto& [shard, grant] : document_.grants)
        needs[shard] = grant.count;
    for (const auto& [shard, need] : active_needs_)
        needs[shard] = need;
    needs[shard_] = demand_known_ ? wanted_ : document_.count_of(shard_);

    const auto shards_in_need =
        std::count_if(needs.begin(), needs.end(), [](const auto& it) { return it.second > 0; });
    if (shards_in_need > document_.limit) {
        // With fewer permits than shards with work, the shards take turns: a holder returns its permits while
        // a shard without any waits, and shards without any take the free ones.
        return others_without_permits() && document_.count_of(shard_) > 0 ? 0 : 1;
    }
    return divide_in_proportion(document_.limit, needs)[shard_];
}

void team_permits::update_waiters(timestamp now)
{
    std::map<shard_id, waiter> seen;
    active_needs_.clear();
    for (const auto& [shard, need] : document_.wanted) {
        const std::int64_t count = document_.count_of(shard);
        if (shard == shard_ || need <= count)
            continue;
        const auto it = waiters_.find(shard);
        const bool same = it != waiters_.end() && it->second.wanted == need && it->second.count == count;
        const timestamp since = same && document_.free() > 0 ? it->second.since : now;
        seen[shard] = {need, count, since};
        if (now - since < settings_.poll_interval * waiter_timeout_polls)
            active_needs_[shard] = need;
    }
    waiters_ = std::move(seen);
}

void team_permits::update_ceiling()
{
    ceiling_ = unlimited;
    if (limit_update_due() && limit_ < document_.limit) {
        // A lowered limit blocks starts at once, before the document is rewritten. Scaling the own grant by
        // the ratio of the limits and rounding down keeps the sum of all shards within the new limit,
        // whatever the other shards have read.
        ceiling_ = document_.usable_by(shard_) * limit_ / document_.limit;
    }
    if (exists_ && demand_known_ && shortage() && *read_at_ >= keep_all_until_) {
        const std::int64_t part = fair_part();
        const std::int64_t tolerance = others_without_permits() ? 0 : part / return_tolerance_divisor;
        if (document_.count_of(shard_) > part + tolerance)
            ceiling_ = std::min(ceiling_, part);
    }
}

std::int64_t team_permits::idle_floor() const
{
    // A shard keeps some permits that no other shard needs, so that it can start tasks during a store outage.
    constexpr std::int64_t floor_divisor = 2;
    const std::int64_t shards = static_cast<std::int64_t>(std::max<std::size_t>(1, document_.grants.size()));
    return document_.limit / (floor_divisor * shards);
}

void team_permits::adjust_count(permit_document& next, timestamp now)
{
    const std::int64_t count = next.count_of(shard_);
    const std::int64_t desired = desired_count();

    if (!releasing_ && wanted_ > count) {
        surplus_since_.reset();
        std::int64_t upper = desired;
        if (others_waiting())
            upper = std::min(upper, fair_part());
        const std::int64_t take = std::min(upper - count, next.free());
        if (take > 0 && now >= no_acquisition_before_ && !next.caps.contains(shard_))
            next.set_count(shard_, count + take);
        // A waiting shard may also hold more than its part; it then returns permits below.
    }

    if (next.count_of(shard_) != count || !demand_known_)
        return;

    std::int64_t keep = count;
    const auto cap = next.caps.find(shard_);
    if (cap != next.caps.end())
        keep = std::min(keep, cap->second);
    if (ceiling_ < keep)
        keep = ceiling_;
    if (releasing_) {
        keep = in_use_;
    } else if (shortage()) {
        keep = std::min(keep, wanted_);
    } else if (count > desired) {
        if (!surplus_since_)
            surplus_since_ = now;
        if (now - *surplus_since_ >= settings_.idle_return_delay)
            keep = std::min(keep, std::max(desired, idle_floor()));
    } else {
        surplus_since_.reset();
    }
    keep = std::max(keep, in_use_);
    if (keep < count) {
        surplus_since_.reset();
        next.set_count(shard_, keep);
    }
}

void team_permits::adjust_wanted(permit_document& next) const
{
    const std::int64_t count = next.count_of(shard_);
    const auto it = next.wanted.find(shard_);
    if (releasing_ || wanted_ <= count) {
        if (it != next.wanted.end())
            next.wanted.erase(it);
        return;
    }
    const std::int64_t recorded = it == next.wanted.end() ? 0 : it->second;
    const std::int64_t deviation = recorded > wanted_ ? recorded - wanted_ : wanted_ - recorded;
    if (recorded <= count || deviation > recorded / wanted_tolerance_divisor)
        next.wanted[shard_] = wanted_;
}

std::optional<permit_document> team_permits::plan(timestamp now)
{
    if (superseded_ || config_version_ == 0)
        return std::nullopt;
    if (!exists_) {
        if (wanted_ == 0 || limit_ == 0 || releasing_)
            return std::nullopt;
        permit_document created;
        created.set_limit(limit_, config_version_);
        adjust_count(created, now);
        created.grants[shard_].epoch = epoch_;
        adjust_wanted(created);
        return created;
    }

    permit_document next = document_;
    if (limit_update_due())
        next.set_limit(limit_, config_version_);
    const auto it = next.grants.find(shard_);
    const bool epoch_recorded = it != next.grants.end() && it->second.epoch == epoch_;
    adjust_count(next, now);
    if (demand_known_)
        adjust_wanted(next);
    const bool uses_grant = next.count_of(shard_) > 0 || next.wanted.contains(shard_);
    if (epoch_recorded || uses_grant || it != next.grants.end())
        next.grants[shard_].epoch = epoch_;
    if (next == document_) {
        // A write that returns permits and whose answer was lost may still take effect at this revision.
        // Writing the document unchanged creates a new revision, after which the permits can be used again.
        if (unconfirmed_return_ && !releasing_ && wanted_ > held())
            return next;
        return std::nullopt;
    }
    if (config_version_ > next.limit_version && limit_ == next.limit)
        next.limit_version = config_version_;
    return next;
}

void team_permits::begin_write(const permit_document& next)
{
    const std::int64_t before = unconfirmed_return_ ? unconfirmed_return_->count : unlimited;
    if (next.count_of(shard_) < document_.count_of(shard_) || unconfirmed_return_)
        unconfirmed_return_ = {revision_, std::min(before, next.count_of(shard_))};
}

} // namespace mjm
