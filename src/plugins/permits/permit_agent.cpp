#include "permits/permit_agent.h"

#include "permits/team_permits.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace mjm {

namespace {

// The document of a team whose permits this shard doesn't wait for is read less often. With a factor of 2 a
// holder of idle permits learns of a waiting shard early enough for urgent work to start within 4.2 s.
constexpr int idle_poll_factor = 2;
// A write is sent only if the last read is at most a quarter of a poll interval old; writes based on
// older reads mostly end in a conflict.
constexpr int write_freshness_divisor = 4;
// Limits the wait after consecutive conflicts to 4 poll intervals.
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
    struct team_state {
        team_permits permits;
        bool in_flight = false;
        bool must_read = true; ///< The current revision or the effect of the last write is unknown.
        timestamp next_read;
        timestamp next_write;
        timestamp last_write;
        unsigned conflicts = 0; ///< Consecutive conflicts.
    };

    team_state& state_of(const team_id& team);
    [[nodiscard]] duration jitter(duration max_delay);
    void start_read(const team_id& team, team_state& it);
    void start_write(const team_id& team, team_state& it, const permit_document& next);
    void finish_read(const team_id& team, const tl::expected<kv_read, store_errc>& result);
    void finish_write(const team_id& team, const permit_document& next,
                      const tl::expected<store_revision, store_errc>& result);
    void handle_confirmation(const team_state& it, std::int64_t held_before);
    bool try_write();

    shard_id shard_;
    shard_epoch epoch_;
    kv_store& store_;
    random_source& random_;
    permit_agent_settings settings_;
    std::map<team_id, team_state> team_states_;
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

permit_agent::impl::team_state& permit_agent::impl::state_of(const team_id& team)
{
    const auto found = team_states_.find(team);
    if (found != team_states_.end())
        return found->second;
    team_state created{.permits = team_permits{shard_, epoch_, team, settings_},
                       .next_read = {},
                       .next_write = {},
                       .last_write = {}};
    if (config_version_ > 0) {
        const auto it = limits_.find(team);
        created.permits.set_limit(it == limits_.end() ? 0 : it->second, config_version_);
    }
    if (releasing_)
        created.permits.release();
    return team_states_.emplace(team, std::move(created)).first->second;
}

duration permit_agent::impl::jitter(duration max_delay)
{
    return duration{
        static_cast<duration::rep>(random_.below(static_cast<std::uint64_t>(max_delay.count()) + 1))};
}

void permit_agent::impl::set_limits(const std::map<team_id, std::int64_t>& limits,
                                    std::uint64_t config_version)
{
    if (config_version < config_version_)
        return;
    limits_ = limits;
    config_version_ = config_version;
    for (const auto& [team, limit] : limits_)
        state_of(team);
    for (auto& [team, it] : team_states_) {
        const auto limit = limits_.find(team);
        it.permits.set_limit(limit == limits_.end() ? 0 : limit->second, config_version_);
        if (it.permits.limit_update_due()) {
            // All agents learn of a version at about the same time, but only one has to write its limit. The
            // random delay lets the others read the limit first.
            it.must_read = true;
            it.next_write = now_ + jitter(settings_.poll_interval);
            it.next_read = it.next_write;
        }
    }
}

void permit_agent::impl::set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use)
{
    state_of(team).permits.set_demand(wanted, in_use);
}

std::int64_t permit_agent::impl::held(const team_id& team) const
{
    const auto it = team_states_.find(team);
    return superseded_ || it == team_states_.end() ? 0 : it->second.permits.held();
}

std::uint64_t permit_agent::impl::limit_version(const team_id& team) const
{
    const auto it = team_states_.find(team);
    return it == team_states_.end() ? 0 : it->second.permits.limit_version();
}

void permit_agent::impl::release_all()
{
    releasing_ = true;
    for (auto& [team, it] : team_states_)
        it.permits.release();
}

void permit_agent::impl::tick(timestamp now)
{
    now_ = now;
    if (superseded_)
        return;
    const duration read_spacing{static_cast<duration::rep>(1e6 / std::max(0.01, settings_.max_reads_per_s))};
    if (now >= next_read_) {
        // Teams that need a prompt update go first, and among equals the one whose read is overdue longest.
        std::pair<const team_id, team_state>* best = nullptr;
        for (auto& entry : team_states_) {
            team_state& it = entry.second;
            const bool never_read = !it.permits.read_at();
            if (it.in_flight || now < it.next_read ||
                (!never_read && !it.permits.relevant() && !it.must_read))
                continue;
            if (best == nullptr ||
                std::pair{!it.permits.needs_prompt_update(), it.next_read} <
                    std::pair{!best->second.permits.needs_prompt_update(), best->second.next_read})
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
    // Teams that need a prompt update go first, and among equals the one whose last write is longest ago.
    std::vector<std::pair<const team_id, team_state>*> candidates;
    for (auto& entry : team_states_) {
        const team_state& it = entry.second;
        if (!it.in_flight && !it.must_read && it.permits.read_at() && now_ >= it.next_write)
            candidates.push_back(&entry);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto* a, const auto* b) {
        return std::pair{!a->second.permits.needs_prompt_update(), a->second.last_write} <
               std::pair{!b->second.permits.needs_prompt_update(), b->second.last_write};
    });
    for (auto* entry : candidates) {
        const std::optional<permit_document> next = entry->second.permits.plan(now_);
        if (!next)
            continue;
        if (now_ - *entry->second.permits.read_at() > settings_.poll_interval / write_freshness_divisor) {
            // A conditional read costs less than a write that ends in a conflict.
            entry->second.must_read = true;
            entry->second.next_read = now_;
            continue;
        }
        start_write(entry->first, entry->second, *next);
        return true;
    }
    return false;
}

void permit_agent::impl::start_read(const team_id& team, team_state& it)
{
    it.in_flight = true;
    ++counters_.reads;
    store_.get(permit_key(team), it.permits.revision(),
               [weak = weak_from_this(), team](const tl::expected<kv_read, store_errc>& result) {
                   if (const std::shared_ptr<impl> self = weak.lock())
                       self->finish_read(team, result);
               });
}

void permit_agent::impl::finish_read(const team_id& team, const tl::expected<kv_read, store_errc>& result)
{
    team_state& it = state_of(team);
    const std::int64_t before = it.permits.held();
    it.in_flight = false;
    const duration interval = it.permits.needs_prompt_update() ? settings_.poll_interval
                                                               : settings_.poll_interval * idle_poll_factor;
    it.next_read = now_ + interval - interval / 4 + jitter(interval / 2);
    if (!result) {
        if (result.error() == store_errc::not_found) {
            it.must_read = false;
            it.permits.confirm_absent(now_);
        }
        return;
    }
    if (result->unchanged) {
        it.must_read = false;
        it.permits.confirm_unchanged(now_);
    } else {
        const std::optional<permit_document> document = permit_document::from_json(result->entry.value);
        if (!document) {
            ++counters_.invalid_documents;
            return;
        }
        it.must_read = false;
        document->check_limit(team);
        it.permits.confirm(*document, result->entry.revision, now_);
    }
    handle_confirmation(it, before);
}

void permit_agent::impl::start_write(const team_id& team, team_state& it, const permit_document& next)
{
    const duration spacing{static_cast<duration::rep>(1e6 / std::max(0.01, settings_.max_writes_per_s))};
    next.check_limit(team);
    it.in_flight = true;
    it.last_write = now_;
    next_write_ = now_ + spacing;
    ++counters_.writes;
    it.permits.begin_write(next);
    store_.put(kv_write{.key = permit_key(team), .value = next.to_json(), .expected = it.permits.revision()},
               [weak = weak_from_this(), team, next](const tl::expected<store_revision, store_errc>& result) {
                   if (const std::shared_ptr<impl> self = weak.lock())
                       self->finish_write(team, next, result);
               });
}

void permit_agent::impl::finish_write(const team_id& team, const permit_document& next,
                                      const tl::expected<store_revision, store_errc>& result)
{
    team_state& it = state_of(team);
    const std::int64_t before = it.permits.held();
    it.in_flight = false;
    if (result) {
        const bool returned_permits =
            next.count_of(shard_) < it.permits.count() && it.permits.needs_prompt_update();
        it.permits.confirm(next, *result, now_);
        it.conflicts = 0;
        if (returned_permits)
            it.permits.delay_acquisition(now_ + settings_.poll_interval * 2 +
                                         jitter(settings_.poll_interval));
        handle_confirmation(it, before);
        return;
    }
    it.must_read = true;
    if (result.error() == store_errc::conflict) {
        ++counters_.conflicts;
        // The range of the delay doubles with each consecutive conflict, so that many writers of one document
        // spread out.
        it.conflicts = std::min(it.conflicts + 1, max_conflict_doublings);
        const duration wait = jitter(settings_.poll_interval / 8 * (1U << it.conflicts));
        it.next_read = now_ + wait;
        it.next_write = it.next_read;
        return;
    }
    if (!may_have_taken_effect(result.error()))
        it.permits.abandon_write();
    it.next_read = now_ + jitter(settings_.poll_interval);
}

void permit_agent::impl::handle_confirmation(const team_state& it, std::int64_t held_before)
{
    if (it.permits.superseded())
        superseded_ = true;
    if (!superseded_ && it.permits.held() > held_before && on_gain_)
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
