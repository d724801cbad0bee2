#include "maintenance/wave_controller.h"

#include "core/invariant.h"
#include "maintenance/availability_budget.h"
#include "maintenance/controller_role.h"
#include "maintenance/host_watch.h"
#include "maintenance/maintenance_codec.h"
#include "membership/member_records.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mjm {

namespace {

template <typename Document>
struct versioned {
    Document value;
    store_revision revision = 0;
};

/// Hosts of one wave that are out of service, by failure domain.
struct out_counts {
    std::int64_t hosts = 0;
    std::map<pool_id, std::int64_t> pools;
    std::map<std::pair<zone_id, rack_id>, std::int64_t> racks;
    std::map<zone_id, std::int64_t> zones;
};

bool takes_hosts(const wave_document& wave)
{
    return wave.state == wave_state::running;
}

/// Hosts that have not rebooted yet are given back.
bool gives_back(const wave_document& wave)
{
    return wave.state == wave_state::aborting || wave.state == wave_state::stopped;
}

bool needs_cordon(const wave_host& host)
{
    return is_out(host.stage) && !host.cleared;
}

} // namespace

class wave_controller::impl : public std::enable_shared_from_this<wave_controller::impl> {
public:
    impl(kv_store& store, host_power& power, host_probe& probe, const wave_controller_settings& settings)
        : store_{store}, power_{power}, probe_{probe}, settings_{settings},
          role_{store, {settings.scope, settings.holder, settings.lease_ttl, settings.renew_interval}},
          watch_{settings.down_after}
    {
    }

    void set_config(const fleet_config& config);
    void tick(timestamp now);
    [[nodiscard]] host_watch& watch() { return watch_; }
    [[nodiscard]] const controller_role& role() const { return role_; }
    [[nodiscard]] const std::set<std::string>& unreadable() const { return unreadable_; }

private:
    /// Owners that must obey a version of the cordons for one host.
    struct requirement {
        std::uint64_t version = 0;
        std::map<shard_id, shard_epoch> owners;
    };
    struct local_host {
        std::string wave;
        host_stage stage = host_stage::waiting;
        bool cleared = false;
        timestamp since; ///< When this controller first saw the stage.
        std::optional<timestamp> asked;
        std::optional<host_power_state> power;
        bool probe_succeeded = false;
        std::uint64_t uncordoned = 0; ///< Version of the cordons without the host.
        std::optional<requirement> required;
    };

    void next();
    void load();
    void load_budgets();
    void load_cordons();
    void read_failed();
    void put(const std::string& key, store_revision expected, const std::string& value,
             const std::function<void(store_revision)>& applied);
    bool superseded_by(std::uint64_t epoch);

    bool put_wave(const wave_document& wave);
    bool put_budget(const pool_id& pool, budget_document document);
    bool put_cordons(cordon_document document);

    bool stamp();
    bool sync_down();
    bool sync_permits();
    bool sync_cordons();
    bool advance(const std::string& id);
    bool take(const std::string& id);
    bool read_owners();

    void advance_host(wave_document& wave, const target_id& id, wave_host& host);
    void stop_on_failures(wave_document& wave);
    void track_hosts();
    void serve_hosts();
    void ask_power(const target_id& id, const std::string& reboot);
    void ask_probe(const target_id& id);

    [[nodiscard]] const target_record* record_of(const target_id& id) const;
    [[nodiscard]] budget_document budget_of(const pool_id& pool) const;
    [[nodiscard]] bool has_permit(const std::string& wave, const target_id& id) const;
    [[nodiscard]] bool cordoned(const target_id& id) const { return cordons_.value.hosts.contains(id); }
    [[nodiscard]] std::uint64_t wanted_version(const target_id& id, const local_host& seen) const;
    [[nodiscard]] wait_reason take_refusal(const wave_document& wave, const target_id& id,
                                           const out_counts& out) const;
    [[nodiscard]] out_counts count_out(const wave_document& wave) const;
    [[nodiscard]] std::int64_t count_down(const wave_document& wave) const;
    [[nodiscard]] bool may_forget(const std::string& wave, const target_id& id) const;
    [[nodiscard]] local_host& local(const target_id& id) { return hosts_[id]; }

    kv_store& store_;
    host_power& power_;
    host_probe& probe_;
    wave_controller_settings settings_;
    controller_role role_;
    host_watch watch_;
    fleet_config config_;
    std::map<pool_id, std::vector<target_id>> pools_;
    timestamp now_;
    bool busy_ = false;
    bool loaded_ = false;
    timestamp read_at_;
    timestamp retry_at_;
    std::map<std::string, versioned<wave_document>> waves_;
    std::map<pool_id, versioned<budget_document>> budgets_;
    versioned<cordon_document> cordons_;
    std::set<std::string> unreadable_; ///< Waves and budgets that cannot be decoded; they are left alone.
    std::set<std::string> uncertain_;  ///< Keys whose last write may still take effect.
    std::map<target_id, local_host> hosts_;
    std::map<std::string, timestamp> reasons_written_;
    std::uint64_t seen_epoch_ = 0; ///< Role epoch of the loaded documents.
};

void wave_controller::impl::set_config(const fleet_config& config)
{
    if (config.version < config_.version)
        return;
    config_ = config;
    pools_.clear();
    for (const auto& [id, record] : config_.targets)
        pools_[record.pool].push_back(id);
    watch_.set_config(config_);
}

void wave_controller::impl::tick(timestamp now)
{
    now_ = now;
    role_.tick(now);
    if (!role_.held())
        return;
    if (seen_epoch_ != role_.epoch()) {
        seen_epoch_ = role_.epoch();
        loaded_ = false;
        hosts_.clear();
    }
    next();
    if (loaded_) {
        track_hosts();
        serve_hosts();
    }
}

void wave_controller::impl::next()
{
    if (busy_ || !role_.held() || seen_epoch_ != role_.epoch() || now_ < retry_at_)
        return;
    if (!loaded_ || now_ - read_at_ >= settings_.poll_interval) {
        load();
        return;
    }
    track_hosts();
    if (stamp() || sync_down() || sync_cordons() || sync_permits())
        return;
    for (const auto& [id, wave] : waves_) {
        if (wave.value.state != wave_state::finished && (advance(id) || take(id)))
            return;
    }
    read_owners();
}

void wave_controller::impl::read_failed()
{
    busy_ = false;
    loaded_ = false;
    retry_at_ = now_ + settings_.retry_interval;
}

void wave_controller::impl::load()
{
    busy_ = true;
    store_.list("waves/",
                [self = weak_from_this()](const tl::expected<std::vector<kv_entry>, store_errc>& result) {
                    const std::shared_ptr<impl> me = self.lock();
                    if (!me)
                        return;
                    if (!result) {
                        me->read_failed();
                        return;
                    }
                    me->waves_.clear();
                    me->unreadable_.clear();
                    for (const kv_entry& it : *result) {
                        std::optional<wave_document> wave = maintenance_codec::wave(it.value);
                        if (wave && wave_key(wave->id) == it.key)
                            me->waves_[wave->id] = {*wave, it.revision};
                        else
                            me->unreadable_.insert(it.key);
                    }
                    me->load_budgets();
                });
}

void wave_controller::impl::load_budgets()
{
    store_.list("budgets/",
                [self = weak_from_this()](const tl::expected<std::vector<kv_entry>, store_errc>& result) {
                    const std::shared_ptr<impl> me = self.lock();
                    if (!me)
                        return;
                    if (!result) {
                        me->read_failed();
                        return;
                    }
                    me->budgets_.clear();
                    for (const kv_entry& it : *result) {
                        const pool_id pool{it.key.substr(std::string_view{"budgets/"}.size())};
                        std::optional<budget_document> budget = maintenance_codec::budget(it.value);
                        if (budget)
                            me->budgets_[pool] = {std::move(*budget), it.revision};
                        else
                            me->unreadable_.insert(it.key);
                    }
                    me->load_cordons();
                });
}

void wave_controller::impl::load_cordons()
{
    store_.get(cordon_key(settings_.scope), 0,
               [self = weak_from_this()](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<impl> me = self.lock();
                   if (!me)
                       return;
                   me->cordons_ = {};
                   if (result) {
                       const std::optional<cordon_document> cordons =
                           maintenance_codec::cordons(result->entry.value);
                       if (!cordons) {
                           me->read_failed();
                           return;
                       }
                       me->cordons_ = {*cordons, result->entry.revision};
                   } else if (result.error() != store_errc::not_found) {
                       me->read_failed();
                       return;
                   }
                   me->busy_ = false;
                   me->loaded_ = true;
                   me->read_at_ = me->now_;
                   me->next();
               });
}

void wave_controller::impl::put(const std::string& key, store_revision expected, const std::string& value,
                                const std::function<void(store_revision)>& applied)
{
    busy_ = true;
    store_.put({key, value, expected, 0}, [self = weak_from_this(), key,
                                           applied](const tl::expected<store_revision, store_errc>& result) {
        const std::shared_ptr<impl> me = self.lock();
        if (!me)
            return;
        me->busy_ = false;
        if (result) {
            me->uncertain_.erase(key);
            applied(*result);
        } else {
            // What the store holds is not known any more, so nothing is decided before it is read again.
            me->loaded_ = false;
            if (may_have_taken_effect(result.error()))
                me->uncertain_.insert(key);
            if (result.error() != store_errc::conflict)
                me->retry_at_ = me->now_ + me->settings_.retry_interval;
            // Bounds the calls of two controllers that write the same document to one attempt each tick.
            return;
        }
        me->next();
    });
}

bool wave_controller::impl::superseded_by(std::uint64_t epoch)
{
    if (epoch <= role_.epoch())
        return false;
    role_.supersede();
    return true;
}

bool wave_controller::impl::put_wave(const wave_document& wave)
{
    if (superseded_by(wave.epoch))
        return true;
    wave_document next_value = wave;
    next_value.epoch = role_.epoch();
    put(wave_key(wave.id), waves_[wave.id].revision, maintenance_codec::encode(next_value),
        [this, next_value](store_revision revision) {
            waves_[next_value.id] = {next_value, revision};
        });
    return true;
}

bool wave_controller::impl::put_budget(const pool_id& pool, budget_document document)
{
    if (superseded_by(document.epoch))
        return true;
    document.epoch = role_.epoch();
    const auto it = budgets_.find(pool);
    put(budget_key(pool), it == budgets_.end() ? 0 : it->second.revision, maintenance_codec::encode(document),
        [this, pool, document](store_revision revision) {
            budgets_[pool] = {document, revision};
        });
    return true;
}

bool wave_controller::impl::put_cordons(cordon_document document)
{
    if (superseded_by(document.epoch))
        return true;
    document.epoch = role_.epoch();
    put(cordon_key(settings_.scope), cordons_.revision, maintenance_codec::encode(document),
        [this, document](store_revision revision) {
            cordons_ = {document, revision};
        });
    return true;
}

/// Rewrites each document that an earlier controller, or an own call with a lost answer, may still change
/// before anything is decided by it: a late write then meets a conflict.
bool wave_controller::impl::stamp()
{
    const auto open = [this](const std::string& key, std::uint64_t epoch) {
        return epoch != role_.epoch() || uncertain_.contains(key);
    };
    for (const auto& [id, wave] : waves_) {
        if (wave.value.state != wave_state::finished && open(wave_key(id), wave.value.epoch))
            return put_wave(wave.value);
    }
    for (const auto& [pool, budget] : budgets_) {
        // A late permit in a document without permits is found by the next read.
        if (!budget.value.taken.empty() && open(budget_key(pool), budget.value.epoch))
            return put_budget(pool, budget.value);
    }
    return open(cordon_key(settings_.scope), cordons_.value.epoch) && put_cordons(cordons_.value);
}

const target_record* wave_controller::impl::record_of(const target_id& id) const
{
    const auto it = config_.targets.find(id);
    return it == config_.targets.end() ? nullptr : &it->second;
}

budget_document wave_controller::impl::budget_of(const pool_id& pool) const
{
    const auto it = budgets_.find(pool);
    return it == budgets_.end() ? budget_document{} : it->second.value;
}

bool wave_controller::impl::has_permit(const std::string& wave, const target_id& id) const
{
    const target_record* record = record_of(id);
    if (record == nullptr)
        return false;
    const auto budget = budgets_.find(record->pool);
    if (budget == budgets_.end())
        return false;
    const auto permit = budget->second.value.taken.find(id);
    return permit != budget->second.value.taken.end() && permit->second.wave == wave;
}

/// Records hosts that are out of service without a permit of a wave.
bool wave_controller::impl::sync_down()
{
    if (!watch_.ready())
        return false;
    for (const auto& [pool, members] : pools_) {
        if (unreadable_.contains(budget_key(pool)))
            continue;
        budget_document document = budget_of(pool);
        std::set<target_id> down;
        for (const target_id& id : members) {
            const bool was_down = document.down.contains(id);
            const bool bad = was_down ? watch_.bad_since(id).has_value() : watch_.down(id, now_);
            if (!document.taken.contains(id) && (bad || cordoned(id)))
                down.insert(id);
        }
        if (down != document.down) {
            document.down = std::move(down);
            return put_budget(pool, document);
        }
    }
    return false;
}

/// True when the wave has nothing to do with the host any more, so that its permit or cordon is left over.
bool wave_controller::impl::may_forget(const std::string& wave, const target_id& id) const
{
    if (unreadable_.contains(wave_key(wave)))
        return false;
    const auto it = waves_.find(wave);
    if (it == waves_.end())
        return true;
    const auto host = it->second.value.hosts.find(id);
    if (host == it->second.value.hosts.end() || is_final(host->second.stage))
        return true;
    return host->second.stage == host_stage::waiting && !takes_hosts(it->second.value);
}

bool wave_controller::impl::sync_permits()
{
    for (const auto& [pool, budget] : budgets_) {
        budget_document document = budget.value;
        std::erase_if(document.taken, [this, &owner = pool](const auto& it) {
            const target_record* record = record_of(it.first);
            const bool moved = record == nullptr || record->pool != owner;
            return !cordoned(it.first) && (may_forget(it.second.wave, it.first) || moved);
        });
        if (document != budget.value)
            return put_budget(pool, document);
    }
    return false;
}

bool wave_controller::impl::sync_cordons()
{
    cordon_document document = cordons_.value;
    std::erase_if(document.hosts, [this](const auto& it) {
        const std::string& wave = it.second.wave;
        if (unreadable_.contains(wave_key(wave)))
            return false;
        const auto found = waves_.find(wave);
        const auto host = found == waves_.end() ? std::map<target_id, wave_host>::const_iterator{}
                                                : found->second.value.hosts.find(it.first);
        return found == waves_.end() || host == found->second.value.hosts.end() ||
               !needs_cordon(host->second);
    });
    for (const auto& [id, wave] : waves_) {
        for (const auto& [target, host] : wave.value.hosts) {
            if (needs_cordon(host) && !document.hosts.contains(target) && has_permit(id, target))
                document.hosts[target] = {id, document.version + 1};
        }
    }
    if (document.hosts == cordons_.value.hosts)
        return false;
    ++document.version;
    return put_cordons(document);
}

std::int64_t wave_controller::impl::count_down(const wave_document& wave) const
{
    std::set<pool_id> pools;
    for (const auto& [id, host] : wave.hosts) {
        if (const target_record* record = record_of(id))
            pools.insert(record->pool);
    }
    std::int64_t n = 0;
    for (const pool_id& pool : pools) {
        if (const auto it = budgets_.find(pool); it != budgets_.end())
            n += static_cast<std::int64_t>(it->second.value.down.size());
    }
    return n;
}

void wave_controller::impl::stop_on_failures(wave_document& wave)
{
    const std::int64_t down = count_down(wave);
    if (wave.failure_baseline < 0 || down < wave.failure_baseline)
        wave.failure_baseline = down;
    if (wave.state != wave_state::running && wave.state != wave_state::paused)
        return;
    if (wave.count(host_stage::failed) - wave.accepted_failures >= settings_.failed_limit)
        wave.stopped_by = stop_reason::verification_failures;
    else if (down - wave.failure_baseline >= settings_.unplanned_limit)
        wave.stopped_by = stop_reason::unplanned_failures;
    else
        return;
    wave.state = wave_state::stopped;
}

bool wave_controller::impl::advance(const std::string& id)
{
    const wave_document& before = waves_.at(id).value;
    wave_document wave = before;
    stop_on_failures(wave);
    const out_counts out = count_out(wave);
    for (auto& [target, host] : wave.hosts) {
        host.reason =
            is_final(host.stage) || host.stage == host_stage::failed ? host.reason : wait_reason::none;
        if (host.stage == host_stage::waiting)
            host.reason = take_refusal(wave, target, out);
        advance_host(wave, target, host);
    }
    if (std::all_of(wave.hosts.begin(), wave.hosts.end(),
                    [](const auto& it) { return is_final(it.second.stage); }))
        wave.state = wave_state::finished;

    if (wave == before)
        return false;
    wave_document unexplained = wave;
    for (auto& [target, host] : unexplained.hosts)
        host.reason = before.hosts.at(target).reason;
    timestamp& written = reasons_written_[id];
    // Changed reasons alone are written less often, as every task that ends may change them.
    if (unexplained == before && now_ - written < settings_.reason_interval)
        return false;
    written = now_;
    return put_wave(wave);
}

void wave_controller::impl::advance_host(wave_document& wave, const target_id& id, wave_host& host)
{
    local_host& seen = local(id);
    const bool mine = seen.wave == wave.id && seen.stage == host.stage && seen.cleared == host.cleared;
    const duration in_stage = mine ? now_ - seen.since : duration{0};
    if (record_of(id) == nullptr && !is_final(host.stage)) {
        host = {host_stage::skipped, wait_reason::not_configured, {}, false};
        return;
    }
    switch (host.stage) {
    case host_stage::waiting:
        if (wave.state == wave_state::aborting) {
            host.stage = host_stage::skipped;
        } else if (takes_hosts(wave) && has_permit(wave.id, id)) {
            host.stage = host_stage::cordoned;
            host.reason = wait_reason::cordon_not_in_force;
        } else if (takes_hosts(wave) && watch_.bad_since(id) &&
                   now_ - *watch_.bad_since(id) >= settings_.skip_down_after) {
            host.stage = host_stage::skipped;
            host.reason = wait_reason::host_down;
        }
        break;
    case host_stage::cordoned:
    case host_stage::draining: {
        if (gives_back(wave)) {
            host = {host_stage::verifying, wait_reason::return_not_in_force, {}, true};
            break;
        }
        const bool known = mine && cordoned(id) && seen.required &&
                           seen.required->version == cordons_.value.hosts.at(id).version;
        host.reason = wait_reason::cordon_not_in_force;
        if (!known || !watch_.in_force(id, seen.required->version, seen.required->owners))
            break;
        if (host.stage == host_stage::cordoned) {
            host.stage = host_stage::draining;
            host.reason = wait_reason::tasks_running;
            break;
        }
        host.reason = wait_reason::tasks_running;
        if (!watch_.drained(id, seen.required->version, seen.required->owners))
            break;
        host.reason = wait_reason::power_unknown;
        if (!seen.power || seen.power->boot.empty())
            break;
        host.stage = host_stage::rebooting;
        host.reason = wait_reason::reboot_pending;
        host.boot = seen.power->boot;
        break;
    }
    case host_stage::rebooting:
        host.reason = wait_reason::reboot_pending;
        if (mine && seen.power && seen.power->up && seen.power->boot != host.boot) {
            host.stage = host_stage::verifying;
            host.reason = wait_reason::probe_pending;
        } else if (in_stage >= settings_.reboot_deadline) {
            host.stage = host_stage::failed;
            host.reason = wait_reason::reboot_deadline;
        }
        break;
    case host_stage::verifying:
        if (host.cleared) {
            host.reason = wait_reason::return_not_in_force;
            if (!mine || cordoned(id) || !seen.required || seen.required->version != seen.uncordoned ||
                !watch_.in_force(id, seen.uncordoned, seen.required->owners))
                break;
            if (!host.boot.empty())
                host = {host_stage::returned, wait_reason::none, host.boot, false};
            else if (wave.state == wave_state::aborting)
                host = {host_stage::skipped, wait_reason::wave_not_running, {}, false};
            else
                host = {host_stage::waiting, wait_reason::none, {}, false};
            break;
        }
        host.reason = watch_.listed_live(id) ? wait_reason::probe_pending : wait_reason::host_not_listed;
        if (mine && watch_.listed_live(id) && seen.probe_succeeded) {
            host.cleared = true;
            host.reason = wait_reason::return_not_in_force;
        } else if (in_stage >= settings_.verify_deadline) {
            host.stage = host_stage::failed;
            host.reason = wait_reason::verify_deadline;
        }
        break;
    case host_stage::returned:
    case host_stage::failed:
    case host_stage::skipped:
        break;
    }
}

out_counts wave_controller::impl::count_out(const wave_document& wave) const
{
    out_counts out;
    for (const auto& [id, host] : wave.hosts) {
        const target_record* record = record_of(id);
        if (record == nullptr || !is_out(host.stage))
            continue;
        ++out.hosts;
        ++out.pools[record->pool];
        ++out.racks[{record->zone, record->rack}];
        ++out.zones[record->zone];
    }
    return out;
}

wait_reason wave_controller::impl::take_refusal(const wave_document& wave, const target_id& id,
                                                const out_counts& out) const
{
    const auto count = [](const auto& counts, const auto& key) {
        const auto it = counts.find(key);
        return it == counts.end() ? 0 : it->second;
    };
    if (!takes_hosts(wave))
        return wait_reason::wave_not_running;
    const target_record* record = record_of(id);
    if (record == nullptr)
        return wait_reason::not_configured;
    if (watch_.bad_since(id))
        return wait_reason::host_down;
    if (out.hosts >= wave.speed.hosts || count(out.pools, record->pool) >= wave.speed.per_pool ||
        count(out.racks, std::pair{record->zone, record->rack}) >= wave.speed.per_rack ||
        count(out.zones, record->zone) >= wave.speed.per_zone)
        return wait_reason::speed_limit;
    return availability_budget{config_, record->pool}.refusal(budget_of(record->pool), id, wave.id);
}

bool wave_controller::impl::take(const std::string& id)
{
    const wave_document& wave = waves_.at(id).value;
    if (!takes_hosts(wave) || !watch_.ready())
        return false;
    const out_counts out = count_out(wave);
    for (const auto& [target, host] : wave.hosts) {
        const target_record* record = record_of(target);
        if (host.stage != host_stage::waiting || record == nullptr ||
            unreadable_.contains(budget_key(record->pool)) ||
            take_refusal(wave, target, out) != wait_reason::none)
            continue;
        budget_document document = budget_of(record->pool);
        document.taken[target] = {id, role_.epoch()};
        document.config_version = config_.version;
        if (availability_budget{config_, record->pool}.check(document))
            return put_budget(record->pool, document);
    }
    return false;
}

std::uint64_t wave_controller::impl::wanted_version(const target_id& id, const local_host& seen) const
{
    if (const auto it = cordons_.value.hosts.find(id); it != cordons_.value.hosts.end())
        return seen.stage == host_stage::cordoned || seen.stage == host_stage::draining ? it->second.version
                                                                                        : 0;
    return seen.cleared ? seen.uncordoned : 0;
}

/// Reads the ownership of a zone in which a host's cordon was set or removed. The read begins after the
/// change was confirmed, so that every later owner reads the cordons at this version or a later one.
bool wave_controller::impl::read_owners()
{
    std::map<target_id, std::uint64_t> wanted;
    std::optional<zone_id> zone;
    for (const auto& [id, seen] : hosts_) {
        const std::uint64_t version = wanted_version(id, seen);
        const target_record* record = record_of(id);
        if (version == 0 || record == nullptr || (seen.required && seen.required->version == version) ||
            (zone && *zone != record->zone))
            continue;
        zone = record->zone;
        wanted[id] = version;
    }
    if (!zone)
        return false;
    busy_ = true;
    store_.get(ownership_key(*zone), 0,
               [self = weak_from_this(), wanted](const tl::expected<kv_read, store_errc>& result) {
                   const std::shared_ptr<impl> me = self.lock();
                   if (!me)
                       return;
                   me->busy_ = false;
                   const bool missing = !result && result.error() == store_errc::not_found;
                   const std::optional<ownership_document> owners =
                       missing ? ownership_document{}
                               : (result ? ownership_from_json(result->entry.value) : std::nullopt);
                   if (!owners) {
                       me->retry_at_ = me->now_ + me->settings_.retry_interval;
                       return;
                   }
                   for (const auto& [id, version] : wanted) {
                       requirement needed{version, {}};
                       for (const shard_id& shard : me->watch_.shards_of(id)) {
                           const auto it = owners->find(shard);
                           needed.owners[shard] = it == owners->end() ? 1 : it->second.epoch;
                       }
                       me->local(id).required = needed;
                   }
                   me->next();
               });
    return true;
}

/// Follows the stages of the documents: what was observed in an earlier stage does not count in a later one.
void wave_controller::impl::track_hosts()
{
    std::set<target_id> out;
    for (const auto& [id, wave] : waves_) {
        for (const auto& [target, host] : wave.value.hosts) {
            if (!is_out(host.stage))
                continue;
            out.insert(target);
            local_host& seen = local(target);
            if (seen.wave != id || seen.stage != host.stage || seen.cleared != host.cleared) {
                const std::optional<requirement> required = seen.required;
                seen = {};
                seen.wave = id;
                seen.stage = host.stage;
                seen.cleared = host.cleared;
                seen.since = now_;
                seen.required = required;
            }
            if (host.cleared && !cordoned(target) && seen.uncordoned == 0)
                seen.uncordoned = cordons_.value.version;
        }
    }
    std::erase_if(hosts_, [&out](const auto& it) { return !out.contains(it.first); });
}

void wave_controller::impl::serve_hosts()
{
    for (const auto& [id, wave] : waves_) {
        for (const auto& [target, host] : wave.value.hosts) {
            const auto it = hosts_.find(target);
            if (it == hosts_.end() || it->second.wave != id || !is_out(host.stage))
                continue;
            local_host& seen = it->second;
            if (seen.asked && now_ - *seen.asked < settings_.host_interval)
                continue;
            seen.asked = now_;
            const bool overdue = now_ - seen.since >= wave.value.drain_deadline;
            if (host.stage == host_stage::draining) {
                ask_power(target, {});
                if (overdue && wave.value.drain != drain_policy::wait)
                    probe_.end_tasks(target, wave.value.drain);
            } else if (host.stage == host_stage::rebooting) {
                ask_power(target, host.boot);
            } else if (host.stage == host_stage::verifying && !host.cleared) {
                ask_probe(target);
            }
        }
    }
}

void wave_controller::impl::ask_power(const target_id& id, const std::string& reboot)
{
    const std::weak_ptr<impl> self = weak_from_this();
    const timestamp since = local(id).since;
    power_.state(id, [self, id, since](const tl::expected<host_power_state, power_errc>& result) {
        const std::shared_ptr<impl> me = self.lock();
        if (!me || !result)
            return;
        const auto it = me->hosts_.find(id);
        if (it != me->hosts_.end() && it->second.since == since)
            it->second.power = *result;
    });
    // The stage `rebooting` of a boot is confirmed in the store; it ends only when another boot is seen.
    if (!reboot.empty())
        power_.request_reboot(id, reboot, [](const tl::expected<void, power_errc>&) {});
}

void wave_controller::impl::ask_probe(const target_id& id)
{
    const std::weak_ptr<impl> self = weak_from_this();
    const timestamp since = local(id).since;
    probe_.run_probe(id, [self, id, since](bool succeeded) {
        const std::shared_ptr<impl> me = self.lock();
        if (!me || !succeeded)
            return;
        const auto it = me->hosts_.find(id);
        if (it != me->hosts_.end() && it->second.since == since)
            it->second.probe_succeeded = true;
    });
}

wave_controller::wave_controller(kv_store& store, host_power& power, host_probe& probe,
                                 const wave_controller_settings& settings)
    : impl_{std::make_shared<impl>(store, power, probe, settings)}
{
}

wave_controller::~wave_controller() = default;

void wave_controller::set_config(const fleet_config& config)
{
    impl_->set_config(config);
}

void wave_controller::observe_hosts(const std::vector<listed_host>& hosts, timestamp now)
{
    impl_->watch().observe_hosts(hosts, now);
}

void wave_controller::observe_report(const shard_report& report, timestamp now)
{
    impl_->watch().observe_report(report, now);
}

void wave_controller::tick(timestamp now)
{
    impl_->tick(now);
}

bool wave_controller::active() const
{
    return impl_->role().held();
}

const std::set<std::string>& wave_controller::unreadable() const
{
    return impl_->unreadable();
}

std::uint64_t wave_controller::epoch() const
{
    return impl_->role().epoch();
}

} // namespace mjm
