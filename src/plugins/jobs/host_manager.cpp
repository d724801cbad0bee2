#include "jobs/host_manager.h"

#include <algorithm>

namespace mjm {

host_manager::host_manager(host_manager_settings settings, job_scheduler& scheduler,
                           host_operations& operations, const clock& time, logger log, fencing_token token,
                           std::function<bool()> certain)
    : settings_{settings}, scheduler_{scheduler}, operations_{operations}, time_{time}, log_{std::move(log)},
      token_{token}, certain_{std::move(certain)}, began_{time.now()}
{
}

host_manager::~host_manager() = default;

void host_manager::set_waves(const std::map<std::string, maintenance_wave>& waves)
{
    for (const auto& [name, wave] : waves) {
        if (waves_.contains(name))
            continue;
        wave_state& w = waves_[name];
        w.wave = wave;
        const auto restored = restored_.find(name);
        if (restored != restored_.end())
            w.record = restored->second;
        else
            w.record.seen_ms = time_.wall_now().time_since_epoch().count();
        log_.info("wave_seen", {{"wave", name},
                                {"hosts", wave.hosts.size()},
                                {"done", w.record.done.size()},
                                {"max_down", wave.max_down},
                                {"time_limit_ms", wave.time_limit.count() / 1000}});
    }
    std::erase_if(waves_, [&waves](const auto& entry) { return !waves.contains(entry.first); });
}

void host_manager::tick()
{
    const timestamp now = time_.now();
    if (now >= next_list_ && !listing_)
        refresh_hosts();
    if (now < next_plan_ || !listed_ || !config_)
        return;
    next_plan_ = now + settings_.plan_interval;
    if (now - began_ < settings_.handover)
        return;
    index_targets();
    choose_maintenance();
    choose_moves();
    update_cordons();
    drive_orders();
    for (auto& [name, w] : waves_)
        report(w);
}

void host_manager::refresh_hosts()
{
    listing_ = true;
    const timestamp asked_at = time_.now();
    next_list_ = asked_at + settings_.list_interval;
    operations_.list([this, asked_at, alive = std::weak_ptr<bool>{alive_}](
                         const tl::expected<std::vector<host_info>, host_errc>& hosts) {
        if (alive.expired())
            return;
        listing_ = false;
        if (hosts)
            on_hosts(*hosts, asked_at);
        else
            log_.warn("host_list_failed", {{"error", name_of(hosts.error())}});
    });
}

void host_manager::on_hosts(std::vector<host_info> hosts, timestamp asked_at)
{
    hosts_.clear();
    for (host_info& h : hosts) {
        last_listed_[h.id] = asked_at;
        hosts_[h.id] = std::move(h);
    }
    listed_ = true;
    finish_arrivals(asked_at);
}

/// Ends the work on hosts that the list, read after the order, shows up again.
void host_manager::finish_arrivals(timestamp asked_at)
{
    std::erase_if(work_, [&](const auto& entry) {
        const std::string& id = entry.first;
        const host_work& work = entry.second;
        const auto host = hosts_.find(id);
        if (host == hosts_.end())
            return asked_at - last_listed_[id] > settings_.missing_time;
        if (!work.ordered || work.order_out || asked_at <= work.ordered_at ||
            host->second.state != host_state::up)
            return false;
        const bool new_life = host->second.target != work.old_target;
        if (work.confirmed)
            return new_life || asked_at - work.ordered_at > settings_.doubt_time;
        // Without an answer, only a new life or a long wait shows what became of the order.
        if (new_life && work.kind == order_kind::maintain)
            mark_done(work, id);
        return new_life || asked_at - work.ordered_at > settings_.doubt_time;
    });
}

void host_manager::index_targets()
{
    target_by_host_.clear();
    for (const auto& [id, t] : scheduler_.targets()) {
        if (t.listed && !t.info.host.empty())
            target_by_host_[t.info.host] = id;
    }
}

target_id host_manager::target_of(const std::string& host) const
{
    const auto listed = target_by_host_.find(host);
    if (listed != target_by_host_.end())
        return listed->second;
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? target_id{} : it->second.target;
}

double host_manager::hosts_for(const resources& need, const service_id& service) const
{
    for (const auto& [id, h] : hosts_) {
        if (h.pool == service && h.capacity.milli_cpu > 0) {
            double most = 0.0;
            const auto part = [&most](std::int64_t used, std::int64_t all) {
                if (all > 0)
                    most = std::max(most, static_cast<double>(used) / static_cast<double>(all));
            };
            part(need.milli_cpu, h.capacity.milli_cpu);
            part(need.memory_mib, h.capacity.memory_mib);
            part(need.accelerators, h.capacity.accelerators);
            return most;
        }
    }
    return 0.0;
}

std::vector<pool_state> host_manager::pool_states() const
{
    const timestamp now = time_.now();
    std::map<service_id, pool_state> pools;
    for (const auto& [id, service] : config_->services) {
        pool_state& p = pools[id];
        p.service = id;
        p.standby = service.standby;
        const pool_demand demand = scheduler_.demand_of(id);
        p.needed = hosts_for(demand.total, id);
        p.waiting = hosts_for(demand.waiting, id);
    }
    for (const auto& [id, h] : hosts_) {
        const auto work = work_.find(id);
        const bool moving = work != work_.end() && work->second.kind == order_kind::move;
        const auto pool = pools.find(moving ? work->second.pool : h.pool);
        if (pool == pools.end())
            continue;
        ++pool->second.hosts;
        if (work != work_.end() || h.state != host_state::up)
            continue;
        const auto idle = idle_since_.find(id);
        if (pool->second.standby)
            pool->second.idle.push_back({id, duration{0}});
        else if (idle != idle_since_.end())
            pool->second.idle.push_back({id, now - idle->second});
    }
    std::vector<pool_state> out;
    out.reserve(pools.size());
    for (auto& [id, p] : pools)
        out.push_back(std::move(p));
    return out;
}

void host_manager::choose_moves()
{
    const timestamp now = time_.now();
    for (const auto& [id, h] : hosts_) {
        const target_id target = target_of(id);
        const auto t = scheduler_.targets().find(target);
        const bool idle = t != scheduler_.targets().end() && t->second.settled() &&
                          t->second.info.state == target_state::ready && t->second.reachable &&
                          t->second.synced;
        if (idle)
            idle_since_.try_emplace(id, now);
        else
            idle_since_.erase(id);
    }
    for (const host_move& move : plan_moves(pool_states(), settings_.pools)) {
        host_work work;
        work.kind = order_kind::move;
        work.pool = move.to;
        work.chosen_at = now;
        work_[move.host] = work;
        log_.info("move_chosen", {{"host", move.host},
                                  {"from", move.from},
                                  {"to", move.to},
                                  {"list_age_ms", (now - last_listed_[move.host]).count() / 1000}});
    }
}

void host_manager::mark_done(const host_work& work, const std::string& host)
{
    const auto w = waves_.find(work.wave);
    if (w != waves_.end())
        w->second.record.done.insert(host);
}

void host_manager::update_cordons()
{
    std::set<std::string> cordons;
    for (const auto& [id, work] : work_)
        cordons.insert(id);
    std::set<std::string> pending;
    for (const auto& [name, w] : waves_) {
        for (const std::string& host : w.wave.hosts) {
            if (!w.record.done.contains(host))
                pending.insert(host);
        }
    }
    scheduler_.set_cordons(cordons, pending);
}

void host_manager::drive_orders()
{
    const timestamp now = time_.now();
    for (auto& [id, work] : work_) {
        if (work.order_out || (work.ordered && work.confirmed) || now < work.not_before)
            continue;
        if (work.ordered && now - work.ordered_at < settings_.doubt_time)
            continue;
        const auto host = hosts_.find(id);
        if (host == hosts_.end() || host->second.state != host_state::up || !certain_())
            continue;
        if (ready_to_go_down(id, work))
            send_order(id, work);
    }
    // A move that could not begin in time makes room for a new decision.
    std::erase_if(work_, [&](const auto& entry) {
        const host_work& work = entry.second;
        return work.kind == order_kind::move && !work.ordered && now - work.chosen_at > settings_.patience;
    });
}

void host_manager::send_order(const std::string& host, host_work& work)
{
    work.ordered = true;
    work.order_out = true;
    work.ordered_at = time_.now();
    work.old_target = target_of(host);
    scheduler_.set_leaving(work.old_target, true);
    const host_operations::done_callback done =
        [this, host, alive = std::weak_ptr<bool>{alive_}](const tl::expected<void, host_errc>& answer) {
            if (!alive.expired())
                on_order_answer(host, answer);
        };
    if (work.kind == order_kind::move)
        operations_.move(host, work.pool, token_, done);
    else
        operations_.maintain(host, waves_[work.wave].wave.number, token_, done);
}

void host_manager::on_order_answer(const std::string& host, const tl::expected<void, host_errc>& answer)
{
    const auto it = work_.find(host);
    if (it == work_.end())
        return;
    host_work& work = it->second;
    work.order_out = false;
    log_.info("host_ordered", {{"host", host},
                               {"order", work.kind == order_kind::move ? "move" : "maintain"},
                               {"pool", work.pool},
                               {"wave", work.wave},
                               {"outcome", answer ? std::string_view{"done"} : name_of(answer.error())},
                               {"waited_ms", (work.ordered_at - work.chosen_at).count() / 1000}});
    if (answer) {
        work.confirmed = true;
        if (work.kind == order_kind::maintain)
            mark_done(work, host);
        if (!work.old_target.empty())
            scheduler_.expect_end(work.old_target,
                                  {time_.now(), time_.wall_now().time_since_epoch().count()});
        idle_since_.erase(host);
        return;
    }
    switch (answer.error()) {
    case host_errc::no_answer:
        return;
    case host_errc::not_of_wave:
    case host_errc::no_such_host:
        scheduler_.set_leaving(work.old_target, false);
        if (work.kind == order_kind::maintain)
            mark_done(work, host);
        work_.erase(it);
        return;
    default:
        scheduler_.set_leaving(work.old_target, false);
        work.ordered = false;
        work.not_before = time_.now() + settings_.retry;
        return;
    }
}

} // namespace mjm
