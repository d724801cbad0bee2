#include "maintenance_fleet.h"

#include "maintenance/availability_budget.h"
#include "membership/member_records.h"

#include <algorithm>

namespace mjm::test {

namespace {

constexpr std::uint64_t steps_per_second = 5;

template <typename Document>
std::optional<Document> decoded(const kv_entry* entry, std::optional<Document> (*decode)(std::string_view))
{
    return entry == nullptr ? std::nullopt : decode(entry->value);
}

/// Decodes a document again only when its revision has changed.
template <typename Document>
void follow(const kv_entry* entry, std::optional<Document> (*decode)(std::string_view), Document& value,
            store_revision& revision)
{
    if (entry == nullptr || entry->revision == revision)
        return;
    revision = entry->revision;
    value = decode(entry->value).value_or(Document{});
}

} // namespace

fleet_config make_config(int pools, int per_zone, std::int64_t min_available)
{
    fleet_config config;
    config.version = 1;
    for (int p = 0; p < pools; ++p) {
        const pool_id pool{"p" + std::to_string(p)};
        config.pools[pool] = {pool, min_available, false};
        const service_id service{"s" + std::to_string(p)};
        config.services[service] = {service, pool, false};
        for (int n = 0; n < 3 * per_zone; ++n) {
            target_record record;
            const int zone = n / per_zone;
            const int place = n % per_zone;
            record.endpoint.id =
                target_id{pool.str() + "-z" + std::to_string(zone) + "-" + std::to_string(place)};
            record.zone = zone_id{"z" + std::to_string(zone)};
            record.rack = rack_id{"r" + std::to_string(place / 2)};
            record.pool = pool;
            config.targets[record.endpoint.id] = record;
        }
    }
    return config;
}

maintenance_fleet::maintenance_fleet(const fleet_config& fleet, std::uint64_t seed)
    : config{fleet}, random{seed}, store{seed + 1}, operators{store.connect()}, commands{*operators}
{
    for (const auto& [id, record] : config.targets)
        hosts[id] = {};
    for (const shard_id& shard : config.shards())
        owners[shard] = {};
}

void maintenance_fleet::start_controller(const wave_controller_settings& settings)
{
    wave_controller_settings own = settings;
    own.holder = "h" + std::to_string(++started_);
    process added;
    added.client = store.connect();
    added.client->faults = faults;
    added.unconditional = std::make_unique<unconditional_store>(*added.client);
    kv_store& used = unconditional ? static_cast<kv_store&>(*added.unconditional) : *added.client;
    added.controller = std::make_unique<wave_controller>(used, *this, *this, own);
    added.controller->set_config(config);
    processes.push_back(std::move(added));
}

void maintenance_fleet::kill_controller(std::size_t n)
{
    processes.erase(processes.begin() + static_cast<std::ptrdiff_t>(n));
}

void maintenance_fleet::pause_controller(std::size_t n, duration length)
{
    processes[n].client->pause();
    processes[n].paused_until = now + length;
}

void maintenance_fleet::create(const wave_document& wave)
{
    commands.create(wave, [](const tl::expected<wave_document, wave_command_errc>&) {});
}

void maintenance_fleet::set_outage(bool on)
{
    faults.unreachable = on;
    owners_follow = !on;
    for (process& it : processes)
        it.client->faults = faults;
}

void maintenance_fleet::step()
{
    now += step_length;
    ++steps_;
    store.advance(now);
    while (!events_.empty() && events_.begin()->first <= now) {
        const std::function<void()> action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    move_hosts();
    if (steps_ % steps_per_second == 0)
        move_owners();
    for (process& it : processes) {
        if (it.paused_until > now)
            continue;
        it.client->resume();
        it.controller->tick(now);
    }
    check();
}

void maintenance_fleet::run(duration length)
{
    for (const timestamp end = now + length; now < end;)
        step();
}

bool maintenance_fleet::run_until_finished(const std::string& id, duration limit)
{
    store_revision seen = 0;
    for (const timestamp end = now + limit; now < end;) {
        step();
        const kv_entry* entry = store.find(wave_key(id));
        if (entry == nullptr || entry->revision == seen)
            continue;
        seen = entry->revision;
        if (wave(id)->state == wave_state::finished)
            return true;
    }
    return false;
}

void maintenance_fleet::move_hosts()
{
    for (auto& [id, host] : hosts) {
        if (host.down_until && *host.down_until <= now) {
            host.down_until.reset();
            host.by_wave = false;
            ++host.boot;
        }
        if (!is_up(id))
            continue;
        if (!owner_cordons(id) && random.chance(task_rate))
            ++host.tasks;
        if (host.tasks > 0 && random.chance(task_end_rate))
            --host.tasks;
    }
}

void maintenance_fleet::move_owners()
{
    std::vector<listed_host> listed;
    for (const auto& [id, host] : hosts) {
        if (is_up(id))
            listed.push_back({id, host_state::live});
    }
    // The list is 4 s old when it is read.
    after(4s, [this, listed] {
        for (process& it : processes) {
            if (it.paused_until <= now)
                it.controller->observe_hosts(listed, now);
        }
    });
    for (auto& [shard, owner] : owners) {
        if (owners_follow)
            owner.cordons = cordons();
        shard_report report{shard, owner.epoch, ++owner.sequence, owner.cordons.version, {}, {}};
        for (const target_record& record : config.targets_of(shard)) {
            const target_id& id = record.endpoint.id;
            if (is_up(id))
                report.running[id] = hosts.at(id).tasks;
            else
                report.unreachable.insert(id);
        }
        after(duration{static_cast<duration::rep>(random.below(1'000'000))}, [this, report] {
            for (process& it : processes) {
                if (it.paused_until <= now)
                    it.controller->observe_report(report, now);
            }
        });
    }
}

void maintenance_fleet::change_owner(const shard_id& shard)
{
    ownership_document document;
    for (const auto& [id, owner] : owners) {
        if (id.zone == shard.zone)
            document[id] = {host_id{"e1"}, owner.epoch + (id == shard ? 1 : 0), 1};
    }
    operators->put({ownership_key(shard.zone), ownership_to_json(document), std::nullopt, 0},
                   [this, shard](const tl::expected<store_revision, store_errc>& result) {
                       if (!result)
                           return;
                       // The new owner reads the cordons after it gained the shard.
                       owners[shard] = {owners[shard].epoch + 1, 0, cordons()};
                   });
}

void maintenance_fleet::fail_host(const target_id& id, duration length)
{
    fleet_host& host = hosts.at(id);
    host.tasks = 0;
    host.down_until = std::max(host.down_until.value_or(now), now + length);
}

bool maintenance_fleet::owner_cordons(const target_id& id) const
{
    // The owners of other pools may hold an older list of cordons; they start nothing on this host.
    const target_record& record = config.targets.at(id);
    return std::any_of(owners.begin(), owners.end(), [&](const auto& it) {
        return config.services.at(it.first.service).pool == record.pool && it.first.zone == record.zone &&
               it.second.cordons.hosts.contains(id);
    });
}

bool maintenance_fleet::is_up(const target_id& id) const
{
    return !hosts.at(id).down_until;
}

std::optional<wave_document> maintenance_fleet::wave(const std::string& id) const
{
    return decoded<wave_document>(store.find(wave_key(id)), maintenance_codec::wave);
}

budget_document maintenance_fleet::budget(const pool_id& pool) const
{
    return decoded<budget_document>(store.find(budget_key(pool)), maintenance_codec::budget)
        .value_or(budget_document{});
}

cordon_document maintenance_fleet::cordons() const
{
    return decoded<cordon_document>(store.find(cordon_key("fleet")), maintenance_codec::cordons)
        .value_or(cordon_document{});
}

std::size_t maintenance_fleet::active_controllers() const
{
    return static_cast<std::size_t>(std::count_if(processes.begin(), processes.end(),
                                                  [](const process& it) { return it.controller->active(); }));
}

void maintenance_fleet::request_reboot(const target_id& id, const std::string& boot, request_callback done)
{
    const duration delay = random.chance(late_power) ? duration{random.below(60) * 1'000'000} : duration{1};
    after(delay, [this, id, boot] {
        fleet_host& host = hosts.at(id);
        if (!is_up(id) || std::to_string(host.boot) != boot)
            return;
        if (host.tasks > 0)
            found(id.str() + " rebooted with running tasks");
        ++host.reboots;
        host.by_wave = true;
        fail_host(id, std::chrono::seconds{30 + random.below(60)});
    });
    after(delay, [done] { done({}); });
}

void maintenance_fleet::state(const target_id& id, state_callback done)
{
    after(duration{1}, [this, id, done] {
        done(host_power_state{is_up(id), std::to_string(hosts.at(id).boot)});
    });
}

void maintenance_fleet::run_probe(const target_id& id, std::function<void(bool)> done)
{
    after(1s, [this, id, done] { done(is_up(id) && !hosts.at(id).broken); });
}

void maintenance_fleet::end_tasks(const target_id& id, drain_policy)
{
    ended_by_policy += hosts.at(id).tasks;
    hosts.at(id).tasks = 0;
}

void maintenance_fleet::check()
{
    follow<cordon_document>(store.find(cordon_key("fleet")), maintenance_codec::cordons, cordons_,
                            cordon_revision_);
    for (const auto& [pool, record] : config.pools)
        check_pool(pool);
}

void maintenance_fleet::check_pool(const pool_id& pool)
{
    auto& [present, revision] = budgets_[pool];
    follow<budget_document>(store.find(budget_key(pool)), maintenance_codec::budget, present, revision);
    const std::string name = "pool " + pool.str();
    budget_document& before = checked_[pool];
    for (const auto& [id, permit] : present.taken) {
        // Several writes may lie between two steps, so failures recorded since count as known before.
        if (before.taken.contains(id) || present.down != before.down)
            continue;
        budget_document without = present;
        without.taken.erase(id);
        if (availability_budget{config, pool}.refusal(without, id, permit.wave) != wait_reason::none)
            found(name + ": permit against the budget for " + id.str());
    }
    if (before != present)
        before = present;

    std::int64_t left = 0;
    std::set<zone_id> zones;
    std::set<std::pair<zone_id, rack_id>> racks;
    for (const auto& [id, record] : config.targets) {
        if (record.pool != pool)
            continue;
        bool out = cordons_.hosts.contains(id) || (!is_up(id) && hosts.at(id).by_wave);
        out = out || owner_cordons(id);
        if (out && !present.taken.contains(id))
            found(name + ": " + id.str() + " is out without a permit, " +
                  (cordons_.hosts.contains(id) ? "cordoned" : "not cordoned") +
                  (is_up(id) ? ", up" : ", down"));
        if (!out) {
            ++left;
            continue;
        }
        zones.insert(record.zone);
        racks.emplace(record.zone, record.rack);
    }
    if (zones.size() > 1)
        found(name + ": hosts of two zones out");
    if (racks.size() > 1)
        found(name + ": hosts of two racks out");
    if (left < config.pools.at(pool).min_available)
        found(name + ": too few hosts left by waves");
}

} // namespace mjm::test
