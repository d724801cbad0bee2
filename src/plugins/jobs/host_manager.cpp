#include "jobs/host_manager.h"

#include "jobs/placement.h"

#include <algorithm>

namespace mjm {

namespace {

// Often enough to follow a queue through a burst, seldom enough to be a small part of the log.
constexpr std::chrono::seconds pool_log_interval{1};
// A burst is recognised within this time, which is half of the time that a host takes to join a pool.
constexpr std::chrono::milliseconds growth_window{1000};

} // namespace

host_manager::host_manager(host_manager_settings settings, host_manager_services services,
                           fencing_token token, std::function<bool()> certain)
    : settings_{settings}, scheduler_{services.scheduler}, operations_{services.operations},
      time_{services.time}, log_{services.log}, token_{token}, journal_{services.store, services.time,
                                                                        services.log, token,
                                                                        [this] { drive_orders(); }},
      certain_{std::move(certain)}, began_{time_.now()}
{
}

host_manager::~host_manager() = default;

void host_manager::restore(std::map<std::string, wave_record> waves,
                           const std::optional<host_order_record>& orders, store_revision orders_revision)
{
    journal_.open(orders_revision);
    restored_ = std::move(waves);
    restored_known_ = true;
    if (!orders)
        next_plan_ = began_ + settings_.handover;
    for (const auto& [host, order] : orders.value_or(host_order_record{})) {
        host_work work;
        work.order = order;
        work.chosen_at = began_;
        work.ordered_at = began_;
        work.ordered = true;
        work.restored = true;
        work_[host] = work;
        recent_orders_[host] = {order, began_};
        held_.insert(host);
    }
    log_.info("host_orders_restored", {{"hosts", work_.size()}, {"waves", restored_.size()}});
}

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
            w.record.seen_ms = time_.unix_ms();
        log_.info("wave_seen", {{"wave", name},
                                {"hosts", wave.hosts.size()},
                                {"done", w.record.done.size()},
                                {"max_down", wave.max_down},
                                {"time_limit_ms", to_ms(wave.time_limit)}});
    }
    std::erase_if(waves_, [&waves](const auto& entry) { return !waves.contains(entry.first); });
}

void host_manager::tick()
{
    const timestamp now = time_.now();
    if (now >= next_list_ && !listing_)
        refresh_hosts();
    if (now < next_plan_ || !listed_ || !restored_known_ || !config_)
        return;
    next_plan_ = now + settings_.plan_interval;
    if (now - began_ > settings_.handover)
        held_.clear();
    index_targets();
    choose_maintenance();
    choose_moves();
    update_cordons();
    store_orders();
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
        const bool new_life = host->second.target != work.order.target;
        if (work.restored)
            return new_life || asked_at - work.ordered_at > settings_.restored_doubt;
        if (work.confirmed)
            return new_life || asked_at - work.ordered_at > settings_.doubt_time;
        // Without an answer, only a new life or a long wait shows what became of the order.
        if (new_life && work.order.kind == host_order_kind::maintain)
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
        if (h.pool == service && h.capacity.milli_cpu > 0)
            return need.dominant_fraction(h.capacity);
    }
    return 0.0;
}

double host_manager::growth_of(const service_id& service, double present)
{
    const timestamp now = time_.now();
    std::deque<std::pair<timestamp, double>>& samples = demand_samples_[service];
    samples.emplace_back(now, present);
    while (now - samples.front().first > growth_window)
        samples.pop_front();
    const double seconds = std::chrono::duration<double>(now - samples.front().first).count();
    // Shorter spans show single jobs rather than a trend.
    if (seconds < std::chrono::duration<double>(growth_window).count() / 2.0)
        return 0.0;
    return std::max(0.0, (present - samples.front().second) / seconds);
}

std::vector<pool_state> host_manager::pool_states()
{
    const timestamp now = time_.now();
    std::map<service_id, pool_state> pools;
    std::map<service_id, std::vector<std::pair<double, std::string>>> busy; ///< With their load.
    for (const auto& [id, service] : config_->services) {
        pool_state& p = pools[id];
        p.service = id;
        p.standby = service.standby;
        const pool_demand demand = scheduler_.demand_of(id);
        p.needed = hosts_for(demand.total, id);
        p.present = hosts_for(demand.present, id);
        p.waiting = hosts_for(demand.waiting, id);
        p.growth = p.standby ? 0.0 : growth_of(id, p.present);
    }
    for (const auto& [id, h] : hosts_) {
        const auto work = work_.find(id);
        const bool moving = work != work_.end() && work->second.order.kind == host_order_kind::move;
        const auto pool = pools.find(moving ? work->second.order.pool : h.pool);
        if (pool == pools.end())
            continue;
        ++pool->second.hosts;
        if (work != work_.end() || h.state != host_state::up || held_.contains(id))
            continue;
        const auto idle = idle_since_.find(id);
        if (pool->second.standby)
            pool->second.idle.push_back({id, duration{0}});
        else if (idle != idle_since_.end())
            pool->second.idle.push_back({id, now - idle->second});
        else if (const auto t = scheduler_.targets().find(target_of(id));
                 t != scheduler_.targets().end() && accepts_work(t->second, now) &&
                 !scheduler_.has_permanent_runs(t->first))
            busy[pool->first].emplace_back(t->second.used.dominant_fraction(t->second.info.capacity), id);
    }
    for (auto& [service, hosts] : busy) {
        std::sort(hosts.begin(), hosts.end());
        for (const auto& [load, id] : hosts)
            pools[service].busy.push_back(id);
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
    const std::vector<pool_state> pools = pool_states();
    log_pools(pools);
    for (const host_move& move : plan_moves(pools, settings_.pools)) {
        host_work work;
        work.order.kind = host_order_kind::move;
        work.order.pool = move.to;
        work.order.target = target_of(move.host);
        work.chosen_at = now;
        work_[move.host] = work;
        log_.info("move_chosen", {{"host", move.host},
                                  {"from", move.from},
                                  {"to", move.to},
                                  {"list_age_ms", to_ms(now - last_listed_[move.host])}});
    }
}

void host_manager::log_pools(const std::vector<pool_state>& pools)
{
    const timestamp now = time_.now();
    if (now < next_pool_log_)
        return;
    next_pool_log_ = now + pool_log_interval;
    for (const pool_state& p : pools) {
        std::size_t usable = 0;
        double used = 0.0;
        for (const auto& [id, t] : scheduler_.targets()) {
            if (t.info.service != p.service || !accepts_work(t, now))
                continue;
            ++usable;
            used += t.used.dominant_fraction(t.info.capacity);
        }
        // A pool at rest says nothing new.
        if (p.needed > 0.0)
            log_.info("pool_load", {{"pool", p.service},
                                    {"hosts", p.hosts},
                                    {"usable", usable},
                                    {"used", used},
                                    {"needed", p.needed},
                                    {"waiting", p.waiting},
                                    {"growth", p.growth},
                                    {"idle", p.idle.size()}});
    }
}

void host_manager::mark_done(const host_work& work, const std::string& host)
{
    const auto w = waves_.find(work.order.wave);
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

void host_manager::store_orders()
{
    const timestamp now = time_.now();
    std::erase_if(recent_orders_, [&](const auto& entry) {
        return !work_.contains(entry.first) && now - entry.second.second > settings_.handover;
    });
    host_order_record orders;
    for (const auto& [id, sent] : recent_orders_)
        orders[id] = sent.first;
    for (auto& [id, work] : work_) {
        if (!work.ordered)
            work.order.target = target_of(id);
        orders[id] = work.order;
    }
    if (certain_())
        journal_.set(orders);
}

void host_manager::drive_orders()
{
    const timestamp now = time_.now();
    for (auto& [id, work] : work_) {
        if (work.restored || work.order_out || (work.ordered && work.confirmed) || now < work.not_before)
            continue;
        if (work.ordered && now - work.ordered_at < settings_.doubt_time)
            continue;
        const auto host = hosts_.find(id);
        if (host == hosts_.end() || host->second.state != host_state::up || !certain_() ||
            !journal_.has(id, work.order))
            continue;
        // A new life of the host is stored with the next decision.
        if (work.order.target == target_of(id) && ready_to_go_down(id, work))
            send_order(id, work);
    }
    // A move that could not begin in time makes room for a new decision.
    std::erase_if(work_, [&](const auto& entry) {
        const host_work& work = entry.second;
        return work.order.kind == host_order_kind::move && !work.ordered &&
               now - work.chosen_at > settings_.patience;
    });
}

void host_manager::send_order(const std::string& host, host_work& work)
{
    work.ordered = true;
    work.order_out = true;
    work.ordered_at = time_.now();
    recent_orders_[host] = {work.order, work.ordered_at};
    scheduler_.set_leaving(work.order.target, true);
    const host_operations::done_callback done =
        [this, host, alive = std::weak_ptr<bool>{alive_}](const tl::expected<void, host_errc>& answer) {
            if (!alive.expired())
                on_order_answer(host, answer);
        };
    if (work.order.kind == host_order_kind::move)
        operations_.move(host, work.order.pool, token_, done);
    else
        operations_.maintain(host, waves_[work.order.wave].wave.number, token_, done);
}

void host_manager::on_order_answer(const std::string& host, const tl::expected<void, host_errc>& answer)
{
    const auto it = work_.find(host);
    if (it == work_.end())
        return;
    host_work& work = it->second;
    work.order_out = false;
    log_.info("host_ordered", {{"host", host},
                               {"order", name_of(work.order.kind)},
                               {"pool", work.order.pool},
                               {"wave", work.order.wave},
                               {"outcome", answer ? std::string_view{"done"} : name_of(answer.error())},
                               {"waited_ms", to_ms(work.ordered_at - work.chosen_at)}});
    if (answer) {
        work.confirmed = true;
        if (work.order.kind == host_order_kind::maintain)
            mark_done(work, host);
        if (!work.order.target.empty())
            scheduler_.on_host_order_confirmed(work.order.target, {time_.now(), time_.unix_ms()});
        idle_since_.erase(host);
        return;
    }
    switch (answer.error()) {
    case host_errc::no_answer:
        return;
    case host_errc::not_of_wave:
    case host_errc::no_such_host:
        scheduler_.set_leaving(work.order.target, false);
        if (work.order.kind == host_order_kind::maintain)
            mark_done(work, host);
        work_.erase(it);
        return;
    default:
        scheduler_.set_leaving(work.order.target, false);
        work.ordered = false;
        work.not_before = time_.now() + settings_.retry;
        return;
    }
}

} // namespace mjm
