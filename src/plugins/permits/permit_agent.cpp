#include "permits/permit_agent.h"

#include "permits/team_permits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mjm {

namespace {

// A team in which nothing waits here is read less often. With a factor of 2 a holder of idle permits learns
// of a waiting shard early enough for urgent work to start within 4.2 s.
constexpr int quiet_poll_factor = 2;
// A write is planned only on a view at most a quarter of a poll old, as older ones mostly meet a conflict.
constexpr int write_freshness_divisor = 4;
// Bounds the wait after conflicts in a row to 4 poll intervals.
constexpr unsigned max_conflict_doublings = 5;

} // namespace

class permit_agent::impl : public std::enable_shared_from_this<permit_agent::impl> {
public:
    impl(const shard_id& shard, shard_epoch epoch, kv_store& store, random_source& random,
         const permit_agent_settings& settings)
        : shard_{shard}, epoch_{epoch}, store_{store}, random_{random}, settings_{settings}
    {
    }

    void set_limits(const std::map<team_id, std::int64_t>& limits, std::uint64_t config_version);
    void set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use);
    void tick(timestamp now);
    [[nodiscard]] std::int64_t held(const team_id& team) const;
    void on_gain(std::function<void()> callback) { on_gain_ = std::move(callback); }
    [[nodiscard]] std::uint64_t limit_version(const team_id& team) const;
    void release_all();
    [[nodiscard]] bool superseded() const { return superseded_; }
    [[nodiscard]] const permit_agent_counters& counters() const { return counters_; }

private:
    struct slot {
        team_permits state;
        bool in_flight = false;
        bool read_first = true; ///< The last write's effect or the present revision is not known.
        timestamp next_read;
        timestamp next_write;
        timestamp last_write;
        unsigned conflicts = 0; ///< In a row.
    };

    slot& slot_of(const team_id& team);
    [[nodiscard]] duration jitter(duration most);
    void start_read(const team_id& team, slot& it);
    void start_write(const team_id& team, slot& it, const permit_document& next);
    void finish_read(const team_id& team, const tl::expected<kv_read, store_errc>& result);
    void finish_write(const team_id& team, const permit_document& next,
                      const tl::expected<store_revision, store_errc>& result);
    void after_change(const slot& it, std::int64_t held_before);
    bool try_write();

    shard_id shard_;
    shard_epoch epoch_;
    kv_store& store_;
    random_source& random_;
    permit_agent_settings settings_;
    std::map<team_id, slot> slots_;
    std::map<team_id, std::int64_t> limits_;
    std::uint64_t config_version_ = 0;
    timestamp now_;
    timestamp next_write_;
    timestamp next_read_;
    bool releasing_ = false;
    bool superseded_ = false;
    std::function<void()> on_gain_;
    permit_agent_counters counters_;
};

permit_agent::impl::slot& permit_agent::impl::slot_of(const team_id& team)
{
    const auto found = slots_.find(team);
    if (found != slots_.end())
        return found->second;
    slot created{.state = team_permits{shard_, epoch_, team, settings_},
                 .next_read = {},
                 .next_write = {},
                 .last_write = {}};
    if (config_version_ > 0) {
        const auto it = limits_.find(team);
        created.state.set_limit(it == limits_.end() ? 0 : it->second, config_version_);
    }
    if (releasing_)
        created.state.release();
    return slots_.emplace(team, std::move(created)).first->second;
}

duration permit_agent::impl::jitter(duration most)
{
    return duration{static_cast<duration::rep>(random_.below(static_cast<std::uint64_t>(most.count()) + 1))};
}

void permit_agent::impl::set_limits(const std::map<team_id, std::int64_t>& limits,
                                    std::uint64_t config_version)
{
    if (config_version < config_version_)
        return;
    limits_ = limits;
    config_version_ = config_version;
    for (const auto& [team, limit] : limits_)
        slot_of(team);
    for (auto& [team, it] : slots_) {
        const auto limit = limits_.find(team);
        it.state.set_limit(limit == limits_.end() ? 0 : limit->second, config_version_);
        if (it.state.limit_is_new()) {
            // All agents learn of a version at about the same time; one of them has to write it.
            it.read_first = true;
            it.next_write = now_ + jitter(settings_.poll_interval);
            it.next_read = it.next_write;
        }
    }
}

void permit_agent::impl::set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use)
{
    slot_of(team).state.set_demand(wanted, in_use);
}

std::int64_t permit_agent::impl::held(const team_id& team) const
{
    const auto it = slots_.find(team);
    return superseded_ || it == slots_.end() ? 0 : it->second.state.held();
}

std::uint64_t permit_agent::impl::limit_version(const team_id& team) const
{
    const auto it = slots_.find(team);
    return it == slots_.end() ? 0 : it->second.state.limit_version();
}

void permit_agent::impl::release_all()
{
    releasing_ = true;
    for (auto& [team, it] : slots_)
        it.state.release();
}

void permit_agent::impl::tick(timestamp now)
{
    now_ = now;
    if (superseded_)
        return;
    const duration read_spacing{static_cast<duration::rep>(1e6 / std::max(0.01, settings_.max_reads_per_s))};
    if (now >= next_read_) {
        // The pressing team whose read is due longest goes first.
        std::pair<const team_id, slot>* best = nullptr;
        for (auto& entry : slots_) {
            slot& it = entry.second;
            const bool first = !it.state.read_at();
            if (it.in_flight || now < it.next_read || (!first && !it.state.concerned() && !it.read_first))
                continue;
            if (best == nullptr || std::pair{!it.state.pressing(), it.next_read} <
                                       std::pair{!best->second.state.pressing(), best->second.next_read})
                best = &entry;
        }
        if (best != nullptr) {
            next_read_ = now + read_spacing;
            start_read(best->first, best->second);
        }
    }
    if (now >= next_write_)
        try_write();
}

bool permit_agent::impl::try_write()
{
    // Teams whose work waits for permits first, then the one that has not written for longest.
    std::vector<std::pair<const team_id, slot>*> order;
    for (auto& entry : slots_) {
        const slot& it = entry.second;
        if (!it.in_flight && !it.read_first && it.state.read_at() && now_ >= it.next_write)
            order.push_back(&entry);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto* a, const auto* b) {
        return std::pair{!a->second.state.pressing(), a->second.last_write} <
               std::pair{!b->second.state.pressing(), b->second.last_write};
    });
    for (auto* entry : order) {
        const std::optional<permit_document> next = entry->second.state.plan(now_);
        if (!next)
            continue;
        if (now_ - *entry->second.state.read_at() > settings_.poll_interval / write_freshness_divisor) {
            // A conditional read costs less than a write that meets a conflict.
            entry->second.read_first = true;
            entry->second.next_read = now_;
            continue;
        }
        start_write(entry->first, entry->second, *next);
        return true;
    }
    return false;
}

void permit_agent::impl::start_read(const team_id& team, slot& it)
{
    it.in_flight = true;
    ++counters_.reads;
    store_.get(permit_key(team), it.state.revision(),
               [weak = weak_from_this(), team](const tl::expected<kv_read, store_errc>& result) {
                   if (const std::shared_ptr<impl> self = weak.lock())
                       self->finish_read(team, result);
               });
}

void permit_agent::impl::finish_read(const team_id& team, const tl::expected<kv_read, store_errc>& result)
{
    slot& it = slot_of(team);
    const std::int64_t before = it.state.held();
    it.in_flight = false;
    const duration interval =
        it.state.pressing() ? settings_.poll_interval : settings_.poll_interval * quiet_poll_factor;
    it.next_read = now_ + interval - interval / 4 + jitter(interval / 2);
    if (!result) {
        if (result.error() == store_errc::not_found) {
            it.read_first = false;
            it.state.confirm_absent(now_);
        }
        return;
    }
    if (result->unchanged) {
        it.read_first = false;
        it.state.confirm_unchanged(now_);
    } else {
        const std::optional<permit_document> document = permit_document::from_json(result->entry.value);
        if (!document) {
            ++counters_.bad_documents;
            return;
        }
        it.read_first = false;
        document->check(team);
        it.state.confirm(*document, result->entry.revision, now_);
    }
    after_change(it, before);
}

void permit_agent::impl::start_write(const team_id& team, slot& it, const permit_document& next)
{
    const duration spacing{static_cast<duration::rep>(1e6 / std::max(0.01, settings_.max_writes_per_s))};
    next.check(team);
    it.in_flight = true;
    it.last_write = now_;
    next_write_ = now_ + spacing;
    ++counters_.writes;
    it.state.begin_write(next);
    store_.put(kv_write{.key = permit_key(team), .value = next.to_json(), .expected = it.state.revision()},
               [weak = weak_from_this(), team, next](const tl::expected<store_revision, store_errc>& result) {
                   if (const std::shared_ptr<impl> self = weak.lock())
                       self->finish_write(team, next, result);
               });
}

void permit_agent::impl::finish_write(const team_id& team, const permit_document& next,
                                      const tl::expected<store_revision, store_errc>& result)
{
    slot& it = slot_of(team);
    const std::int64_t before = it.state.held();
    it.in_flight = false;
    if (result) {
        const bool gave_way = next.count_of(shard_) < it.state.count() && it.state.pressing();
        it.state.confirm(next, *result, now_);
        it.conflicts = 0;
        if (gave_way)
            it.state.hold_off_takes(now_ + settings_.poll_interval * 2 + jitter(settings_.poll_interval));
        after_change(it, before);
        return;
    }
    it.read_first = true;
    if (result.error() == store_errc::conflict) {
        ++counters_.conflicts;
        // The window doubles with each conflict in a row, so that many writers of one document spread out.
        it.conflicts = std::min(it.conflicts + 1, max_conflict_doublings);
        const duration wait = jitter(settings_.poll_interval / 8 * (1U << it.conflicts));
        it.next_read = now_ + wait;
        it.next_write = it.next_read;
        return;
    }
    if (!may_have_taken_effect(result.error()))
        it.state.abandon_write();
    it.next_read = now_ + jitter(settings_.poll_interval);
}

void permit_agent::impl::after_change(const slot& it, std::int64_t held_before)
{
    if (it.state.superseded())
        superseded_ = true;
    if (!superseded_ && it.state.held() > held_before && on_gain_)
        on_gain_();
}

permit_agent::permit_agent(const shard_id& shard, shard_epoch epoch, kv_store& store, random_source& random,
                           const permit_agent_settings& settings)
    : impl_{std::make_shared<impl>(shard, epoch, store, random, settings)}
{
}

permit_agent::~permit_agent() = default;

void permit_agent::set_limits(const std::map<team_id, std::int64_t>& limits, std::uint64_t config_version)
{
    impl_->set_limits(limits, config_version);
}

void permit_agent::set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use)
{
    impl_->set_demand(team, wanted, in_use);
}

void permit_agent::tick(timestamp now)
{
    impl_->tick(now);
}

std::int64_t permit_agent::held(const team_id& team) const
{
    return impl_->held(team);
}

void permit_agent::on_gain(std::function<void()> callback)
{
    impl_->on_gain(std::move(callback));
}

void permit_agent::release_all()
{
    impl_->release_all();
}

std::uint64_t permit_agent::limit_version(const team_id& team) const
{
    return impl_->limit_version(team);
}

bool permit_agent::superseded() const
{
    return impl_->superseded();
}

permit_agent_counters permit_agent::counters() const
{
    return impl_->counters();
}

} // namespace mjm
