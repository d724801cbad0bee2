#include "jobs/host_manager.h"

#include "jobs/placement.h"

#include <algorithm>

namespace mjm {

namespace {

// Short enough to follow a queue through a burst, long enough to remain a small part of the log.
constexpr std::chrono::seconds pool_log_interval{1};
// Time over which the growth of demand is computed: half of the time that a host takes to join a pool, so
// that a burst is recognised within it.
constexpr std::chrono::milliseconds growth_window{1000};

} // namespace

host_manager::host_manager(host_manager_settings settings, host_manager_services services,
                           fencing_token token, std::function<timestamp()> lease_until)
    : settings_{settings}, scheduler_{services.scheduler}, operations_{services.operations},
      time_{services.time}, log_{services.log}, token_{token}, journal_{services.store, services.time,
                                                                        services.log, token,
                                                                        [this] { process_orders(); }},
      lease_until_{std::move(lease_until)}, started_at_{time_.now()}
{
}

host_manager::~host_manager() = default;

void host_manager::restore(std::map<std::string, wave_record> waves,
                           const std::optional<host_order_record>& orders, store_revision orders_revision)
{
    journal_.open(orders_revision);
    restored_waves_ = std::move(waves);
    restore_done_ = true;
    if (!orders)
        next_plan_ = started_at_ + settings_.handover;
    for (const auto& [host, order] : orders.value_or(host_order_record{})) {
        pending_order pending;
        pending.order = order;
        pending.chosen_at = started_at_;
        pending.sent_at = started_at_;
        pending.outcome = order_outcome::unknown;
        pending.restored = true;
        pending_orders_[host] = pending;
        recent_orders_[host] = {order, started_at_};
        held_hosts_.insert(host);
    }
    log_.info("host_orders_restored", {{"hosts", pending_orders_.size()}, {"waves", restored_waves_.size()}});
}

void host_manager::set_waves(const std::map<std::string, maintenance_wave>& waves)
{
    for (const auto& [name, wave] : waves) {
        if (waves_.contains(name))
            continue;
        wave_state& w = waves_[name];
        w.wave = wave;
        const auto restored = restored_waves_.find(name);
        if (restored != restored_waves_.end())
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
    if (now >= next_list_ && !list_in_flight_)
        refresh_hosts();
    if (now < next_plan_ || !hosts_listed_ || !restore_done_ || !config_)
        return;
    next_plan_ = now + settings_.plan_interval;
    if (now - started_at_ > settings_.handover)
        held_hosts_.clear();
    index_targets();
    update_awaited_targets();
    choose_maintenance();
    choose_moves();
    update_cordons();
    store_orders();
    process_orders();
    for (auto& [name, w] : waves_)
        report(w);
}

void host_manager::refresh_hosts()
{
    list_in_flight_ = true;
    const timestamp requested_at = time_.now();
    next_list_ = requested_at + settings_.list_interval;
    operations_.list([this, requested_at, alive = std::weak_ptr<bool>{alive_}](
                         const tl::expected<std::vector<host_info>, host_errc>& hosts) {
        if (alive.expired())
            return;
        list_in_flight_ = false;
        if (hosts)
            on_hosts(*hosts, requested_at);
        else
            log_.warn("host_list_failed", {{"error", name_of(hosts.error())}});
    });
}

void host_manager::on_hosts(std::vector<host_info> hosts, timestamp requested_at)
{
    hosts_.clear();
    for (host_info& h : hosts) {
        last_listed_[h.id] = requested_at;
        hosts_[h.id] = std::move(h);
    }
    hosts_listed_ = true;
    finish_orders(requested_at);
}

/// Drops the orders of hosts that a list requested after the order shows as up, and of hosts that have left
/// the fleet.
void host_manager::finish_orders(timestamp requested_at)
{
    std::erase_if(pending_orders_, [&](const auto& entry) {
        const std::string& id = entry.first;
        const auto host = hosts_.find(id);
        if (host == hosts_.end())
            return requested_at - last_listed_[id] > settings_.missing_timeout;
        const pending_order& pending = entry.second;
        if (pending.outcome != order_outcome::not_done && requested_at > pending.sent_at &&
            host->second.state != host_state::up)
            scheduler_.on_host_taken_down(pending.order.target, {time_.now(), time_.unix_ms()});
        if (!is_over(pending, host->second, requested_at))
            return false;
        if (host->second.target == pending.order.target) {
            scheduler_.set_leaving(pending.order.target, false);
            no_move_until_[id] = time_.now() + settings_.move_pause;
        }
        return true;
    });
}

bool host_manager::is_over(const pending_order& pending, const host_info& host, timestamp requested_at) const
{
    if (pending.in_flight || requested_at <= pending.sent_at || host.state != host_state::up)
        return false;
    const bool new_target = host.target != pending.order.target;
    const duration age = requested_at - pending.sent_at;
    switch (pending.outcome) {
    case order_outcome::not_done:
        return false;
    case order_outcome::unknown:
        // A new target does not show that the order was carried out, since a crash leads to one, too. The
        // order is dropped, so that maintenance is chosen again until the platform answers.
        return new_target ||
               age > (pending.restored ? settings_.restored_order_timeout : settings_.order_timeout);
    case order_outcome::done: {
        // If the target answers after the order, the platform has confirmed an earlier one.
        const auto target = scheduler_.targets().find(pending.order.target);
        const bool still_runs = target != scheduler_.targets().end() && target->second.reachable &&
                                target->second.synced && !target->second.leaving;
        return new_target || still_runs || age > settings_.order_timeout;
    }
    }
    return false;
}

void host_manager::index_targets()
{
    target_by_host_.clear();
    for (const auto& [id, t] : scheduler_.targets()) {
        if (!t.listed || t.info.host.empty())
            continue;
        // The entry of a former target may remain beside that of its successor.
        target_id& current = target_by_host_[t.info.host];
        const auto other = scheduler_.targets().find(current);
        if (other == scheduler_.targets().end() || other->second.info.incarnation <= t.info.incarnation)
            current = id;
    }
}

void host_manager::update_awaited_targets()
{
    const timestamp now = time_.now();
    if (!scheduler_.may_start(now))
        view_recent_since_.reset();
    else if (!view_recent_since_)
        view_recent_since_ = now;
    awaited_targets_.clear();
    if (!view_recent_since_ || now - *view_recent_since_ <= settings_.registration_return)
        awaited_targets_ = scheduler_.unknown_targets_with_runs();
}

target_id host_manager::target_of(const std::string& host) const
{
    const auto listed = target_by_host_.find(host);
    if (listed != target_by_host_.end())
        return listed->second;
    const auto it = hosts_.find(host);
    return it == hosts_.end() ? target_id{} : it->second.target;
}

bool host_manager::awaits_target(const host_info& host) const
{
    if (awaited_targets_.empty() || scheduler_.targets().contains(host.target))
        return false;
    // The hosts of a standby pool are off and need not have a target.
    const auto service = config_->services.find(host.pool);
    const bool standby = service != config_->services.end() && service->second.standby;
    return !standby || awaited_targets_.contains(host.target);
}

double host_manager::demand_growth(const service_id& service, double present)
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
    std::map<service_id, std::vector<std::pair<double, std::string>>> busy; // load and host
    std::map<service_id, std::vector<resources>> capacities;
    for (const auto& [id, h] : hosts_) {
        if (!is_evacuated(h))
            capacities[h.pool].push_back(h.capacity);
    }
    for (const auto& [id, service] : config_->services) {
        pool_state& p = pools[id];
        p.service = id;
        p.standby = service.standby;
        const pool_demand demand = scheduler_.demand_of(id);
        p.needed = hosts_needed(demand.total, capacities[id]);
        p.present = hosts_needed(demand.present, capacities[id]);
        p.waiting = hosts_needed(demand.waiting, capacities[id]);
        p.restricted = demand.restricted;
        p.growth = p.standby ? 0.0 : demand_growth(id, p.present);
    }
    for (const auto& [id, h] : hosts_) {
        const auto pending = pending_orders_.find(id);
        const bool moving =
            pending != pending_orders_.end() && pending->second.order.kind == host_order_kind::move;
        const auto pool = pools.find(moving ? pending->second.order.pool : h.pool);
        if (pool == pools.end() || is_evacuated(h))
            continue;
        ++pool->second.hosts;
        if (pending != pending_orders_.end() || h.state != host_state::up || held_hosts_.contains(id) ||
            no_move_until_.contains(id) || awaits_target(h))
            continue;
        const auto idle = idle_since_.find(id);
        if (pool->second.standby)
            pool->second.idle.push_back({id, duration{0}});
        else if (idle != idle_since_.end())
            pool->second.idle.push_back({id, now - idle->second});
        else if (const auto t = scheduler_.targets().find(target_of(id));
                 t != scheduler_.targets().end() && accepts_work(t->second, now) &&
                 !scheduler_.has_permanent_runs(t->first))
            busy[pool->first].emplace_back(t->second.fill_level(), id);
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

bool host_manager::is_evacuated(const host_info& host) const
{
    const std::set<zone_id>& zones = scheduler_.evacuation().zones;
    if (zones.empty())
        return false;
    if (!host.zone.empty())
        return zones.contains(host.zone);
    const auto t = scheduler_.targets().find(target_of(host.id));
    return t != scheduler_.targets().end() && t->second.evacuated;
}

void host_manager::update_idle_hosts()
{
    const timestamp now = time_.now();
    std::int64_t returned = 0;
    for (const auto& [id, h] : hosts_) {
        if (is_evacuated(h)) {
            idle_since_.erase(id);
            evacuated_hosts_.insert(id);
            continue;
        }
        const bool returns = evacuated_hosts_.erase(id) > 0;
        const auto t = scheduler_.targets().find(target_of(id));
        const bool idle = t != scheduler_.targets().end() && t->second.settled() &&
                          t->second.info.state == target_state::ready && t->second.reachable &&
                          t->second.synced;
        if (idle)
            idle_since_.try_emplace(id, returns ? now + settings_.return_interval * returned++ : now);
        else
            idle_since_.erase(id);
    }
}

void host_manager::choose_moves()
{
    update_idle_hosts();
    std::erase_if(no_move_until_, [now = time_.now()](const auto& entry) { return entry.second <= now; });
    choose_replacements();
    const std::vector<pool_state> pools = pool_states();
    log_pools(pools);
    for (const host_move& move : plan_moves(pools, settings_.pools))
        choose_move(move.host, move.from, move.to);
}

void host_manager::choose_replacements()
{
    const auto standby = std::find_if(config_->services.begin(), config_->services.end(),
                                      [](const auto& entry) { return entry.second.standby; });
    if (standby == config_->services.end())
        return;
    for (const auto& [id, h] : hosts_) {
        const auto t = scheduler_.targets().find(target_of(id));
        if (t == scheduler_.targets().end() || !t->second.retired() || !t->second.settled() ||
            h.state != host_state::up || h.pool == standby->first || pending_orders_.contains(id) ||
            held_hosts_.contains(id) || no_move_until_.contains(id) || is_evacuated(h))
            continue;
        choose_move(id, h.pool, standby->first);
    }
}

void host_manager::choose_move(const std::string& host, const service_id& from, const service_id& to)
{
    const timestamp now = time_.now();
    pending_order pending;
    pending.order.kind = host_order_kind::move;
    pending.order.pool = to;
    pending.order.target = target_of(host);
    pending.chosen_at = now;
    pending_orders_[host] = pending;
    log_.info("move_chosen",
              {{"host", host}, {"from", from}, {"to", to}, {"list_age_ms", to_ms(now - last_listed_[host])}});
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
            used += t.fill_level();
        }
        // A pool without work is not logged.
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

void host_manager::mark_done(const pending_order& pending, const std::string& host)
{
    const auto w = waves_.find(pending.order.wave);
    if (w != waves_.end())
        w->second.record.done.insert(host);
}

void host_manager::update_cordons()
{
    host_cordons cordons;
    for (const auto& [id, pending] : pending_orders_)
        (pending.is_planned() ? cordons.planned : cordons.ordered).insert(id);
    for (const auto& [name, w] : waves_) {
        for (const std::string& host : w.wave.hosts) {
            if (!w.record.done.contains(host))
                cordons.maintained_soon.insert(host);
        }
    }
    scheduler_.set_cordons(std::move(cordons));
}

void host_manager::store_orders()
{
    const timestamp now = time_.now();
    std::erase_if(recent_orders_, [&](const auto& entry) {
        return !pending_orders_.contains(entry.first) && now - entry.second.second > settings_.handover;
    });
    host_order_record orders;
    for (const auto& [id, recent] : recent_orders_)
        orders[id] = recent.first;
    for (auto& [id, pending] : pending_orders_) {
        if (pending.outcome == order_outcome::not_done)
            pending.order.target = target_of(id);
        orders[id] = pending.order;
    }
    if (lease_valid())
        journal_.set(orders);
}

void host_manager::process_orders()
{
    const timestamp now = time_.now();
    for (auto& [id, pending] : pending_orders_) {
        const bool waits_for_retry =
            pending.outcome == order_outcome::unknown && now - pending.sent_at < settings_.order_timeout;
        if (pending.restored || pending.in_flight || pending.outcome == order_outcome::done ||
            waits_for_retry || now < pending.not_before)
            continue;
        const auto host = hosts_.find(id);
        if (host == hosts_.end() || host->second.state != host_state::up || !lease_valid() ||
            !journal_.is_stored(id, pending.order))
            continue;
        // A host that can take no work is not moved for it.
        if (pending.order.kind == host_order_kind::move && is_evacuated(host->second))
            continue;
        // If the host has a new target, the next planning round stores the order with it before it is sent.
        if (pending.order.target == target_of(id) && can_take_down(host->second, pending))
            send_order(id, pending);
    }
    // The host works on while an order can't be sent, and is planned anew.
    std::erase_if(pending_orders_, [&](const auto& entry) {
        const pending_order& pending = entry.second;
        const bool move = pending.order.kind == host_order_kind::move;
        const timestamp waits_since = move ? pending.chosen_at : pending.refused_since.value_or(now);
        const bool dropped = pending.is_planned() && now - waits_since > settings_.drain_timeout;
        if (dropped && pending.refused_since)
            (move ? no_move_until_ : no_maintenance_until_)[entry.first] = now + settings_.move_pause;
        return dropped;
    });
}

void host_manager::send_order(const std::string& host, pending_order& pending)
{
    pending.outcome = order_outcome::unknown;
    pending.in_flight = true;
    pending.sent_at = time_.now();
    recent_orders_[host] = {pending.order, pending.sent_at};
    scheduler_.set_leaving(pending.order.target, true);
    const host_operations::done_callback done =
        [this, host, alive = std::weak_ptr<bool>{alive_}](const tl::expected<void, host_errc>& answer) {
            if (!alive.expired())
                on_order_answer(host, answer);
        };
    if (pending.order.kind == host_order_kind::move)
        operations_.move(host, pending.order.pool, token_, send_limit(pending), done);
    else
        operations_.maintain(host, waves_[pending.order.wave].wave.number, token_, send_limit(pending), done);
}

timestamp host_manager::send_limit(const pending_order& pending) const
{
    const auto t = scheduler_.targets().find(pending.order.target);
    const bool ends_runs = t != scheduler_.targets().end() && !t->second.settled();
    // Whether the runs on the host may end was told by the views of the targets.
    return ends_runs ? std::min(lease_until_(), scheduler_.views_recent_until()) : lease_until_();
}

void host_manager::on_order_answer(const std::string& host, const tl::expected<void, host_errc>& answer)
{
    const auto it = pending_orders_.find(host);
    if (it == pending_orders_.end())
        return;
    pending_order& pending = it->second;
    pending.in_flight = false;
    log_.info("host_ordered", {{"host", host},
                               {"order", name_of(pending.order.kind)},
                               {"pool", pending.order.pool},
                               {"wave", pending.order.wave},
                               {"outcome", answer ? std::string_view{"done"} : name_of(answer.error())},
                               {"waited_ms", to_ms(pending.sent_at - pending.chosen_at)}});
    if (answer) {
        pending.outcome = order_outcome::done;
        if (pending.order.kind == host_order_kind::maintain)
            mark_done(pending, host);
        if (!pending.order.target.empty())
            scheduler_.on_host_order_confirmed(pending.order.target, {time_.now(), time_.unix_ms()});
        idle_since_.erase(host);
        return;
    }
    switch (answer.error()) {
    case host_errc::no_answer:
        return;
    case host_errc::not_of_wave:
    case host_errc::no_such_host:
        scheduler_.set_leaving(pending.order.target, false);
        if (pending.order.kind == host_order_kind::maintain)
            mark_done(pending, host);
        else
            no_move_until_[host] = time_.now() + settings_.refused_move_pause;
        pending_orders_.erase(it);
        return;
    default:
        scheduler_.set_leaving(pending.order.target, false);
        pending.outcome = order_outcome::not_done;
        if (!pending.refused_since)
            pending.refused_since = time_.now();
        pending.not_before = time_.now() + settings_.retry;
        return;
    }
}

} // namespace mjm
