#include "jobs/host_manager.h"

#include <algorithm>
#include <cmath>

namespace mjm {

void host_manager::choose_maintenance()
{
    std::erase_if(no_maintenance_until_,
                  [now = time_.now()](const auto& entry) { return entry.second <= now; });
    withdraw_maintenance();
    for (auto& [name, w] : waves_) {
        if (!w.completed)
            choose_hosts(w);
    }
}

void host_manager::withdraw_maintenance()
{
    // What else is unavailable can't be told from an old view, with which nothing is started either.
    if (!scheduler_.may_start(time_.now()))
        return;
    std::erase_if(pending_orders_, [this](const auto& entry) {
        const auto& [id, pending] = entry;
        const auto host = hosts_.find(id);
        if (pending.order.kind != host_order_kind::maintain || !pending.is_planned() ||
            host == hosts_.end() || can_lose(host->second))
            return false;
        log_.info(
            "maintenance_withdrawn",
            {{"host", id}, {"wave", pending.order.wave}, {"reason", "tasks of its steps are unavailable"}});
        return true;
    });
}

std::size_t host_manager::hosts_down(const std::string& wave) const
{
    return static_cast<std::size_t>(
        std::count_if(pending_orders_.begin(), pending_orders_.end(), [&wave](const auto& entry) {
            return entry.second.order.kind == host_order_kind::maintain && entry.second.order.wave == wave;
        }));
}

void host_manager::choose_hosts(wave_state& w)
{
    const timestamp now = time_.now();
    struct candidate {
        std::string id;
        double load = 0.0;
    };
    std::vector<candidate> candidates;
    std::size_t left = 0;
    for (const std::string& id : w.wave.hosts) {
        if (w.record.done.contains(id))
            continue;
        const auto host = hosts_.find(id);
        if (host == hosts_.end()) {
            const auto seen = last_listed_.find(id);
            if (now - (seen == last_listed_.end() ? started_at_ : seen->second) > settings_.missing_timeout)
                continue; // The host has left the fleet.
        }
        ++left;
        if (host == hosts_.end() || pending_orders_.contains(id) || held_hosts_.contains(id) ||
            no_maintenance_until_.contains(id) || host->second.state != host_state::up ||
            awaits_target(host->second))
            continue;
        const auto t = scheduler_.targets().find(target_of(id));
        candidates.push_back({id, t == scheduler_.targets().end() ? 0.0 : t->second.fill_level()});
    }
    if (left == 0) {
        w.completed = true;
        return;
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b) { return a.load < b.load; });
    // Takes down as many hosts at a time as the time limit requires. Idle hosts are taken down at once, up to
    // the wave's limit, since no work is lost.
    const double elapsed = static_cast<double>(time_.unix_ms() - w.record.seen_ms) / 1000.0;
    const double time_left =
        settings_.wave_time_share * std::chrono::duration<double>(w.wave.time_limit).count() - elapsed;
    const double rounds = std::max(
        1.0, std::floor(time_left / std::chrono::duration<double>(settings_.maintenance_time).count()));
    const std::size_t needed = static_cast<std::size_t>(std::ceil(static_cast<double>(left) / rounds));
    std::size_t prepared = 0;
    for (const candidate& c : candidates) {
        const std::size_t down = hosts_down(w.wave.name);
        if (down >= w.wave.max_down)
            return;
        if (c.load > 0.0 && down + prepared >= needed)
            return;
        // A host is kept from work only while its order waits for what runs on it. Until then it works, and
        // its tasks move to others as these have room.
        if (!can_lose(hosts_.at(c.id))) {
            prepared += scheduler_.move_excess_tasks(target_of(c.id), {now, time_.unix_ms()}) ? 1 : 0;
            continue;
        }
        pending_order pending;
        pending.order = {host_order_kind::maintain, w.wave.name, service_id{}, target_of(c.id)};
        pending.chosen_at = now;
        pending_orders_[c.id] = pending;
        log_.info("maintenance_chosen",
                  {{"host", c.id}, {"wave", w.wave.name}, {"load", c.load}, {"left", left}, {"down", down}});
    }
}

bool host_manager::can_take_down(const host_info& host, const pending_order& pending)
{
    if (awaits_target(host))
        return false;
    // The platform's list may name a newer target than service discovery, and the reverse.
    const target_id target = target_of(host.id);
    return can_take_down(target, pending) && (host.target == target || can_take_down(host.target, pending));
}

bool host_manager::can_take_down(const target_id& target, const pending_order& pending)
{
    const auto t = scheduler_.targets().find(target);
    if (t == scheduler_.targets().end() || t->second.settled())
        return true;
    // If the target went down before the store has the end of a run, the end would be lost and the task would
    // run again.
    if (!t->second.unstored.empty())
        return false;
    if (pending.order.kind == host_order_kind::move)
        return false;
    const timestamp now = time_.now();
    // What else is unavailable can't be told from an old view.
    if (!scheduler_.may_start(now))
        return false;
    const scheduler_time at{now, time_.unix_ms()};
    if (!scheduler_.only_permanent_runs(target)) {
        if (now - pending.chosen_at > settings_.drain_timeout)
            scheduler_.stop_resumable_runs(target, at);
        if (now - pending.chosen_at < settings_.max_drain_time)
            return false;
    }
    return scheduler_.can_lose(target);
}

bool host_manager::can_lose(const host_info& host) const
{
    const target_id target = target_of(host.id);
    return can_lose(target) && (host.target == target || can_lose(host.target));
}

bool host_manager::can_lose(const target_id& target) const
{
    return !scheduler_.targets().contains(target) || scheduler_.can_lose(target);
}

void host_manager::report(wave_state& w)
{
    const std::string record = encode_wave_record(w.record);
    if (w.report_in_flight || (record == w.reported_record && w.completed == w.completed_reported) ||
        !lease_valid())
        return;
    w.report_in_flight = true;
    operations_.report_wave(
        w.wave, w.completed, record, token_,
        [this, name = w.wave.name, completed = w.completed, record,
         alive = std::weak_ptr<bool>{alive_}](const tl::expected<void, host_errc>& result) {
            if (alive.expired())
                return;
            const auto it = waves_.find(name);
            if (it == waves_.end())
                return;
            it->second.report_in_flight = false;
            if (!result) {
                log_.warn("wave_report_failed", {{"wave", name}, {"error", name_of(result.error())}});
                return;
            }
            it->second.reported_record = record;
            it->second.completed_reported = completed;
            log_.info("wave_reported",
                      {{"wave", name}, {"completed", completed}, {"done", it->second.record.done.size()}});
        });
}

} // namespace mjm
