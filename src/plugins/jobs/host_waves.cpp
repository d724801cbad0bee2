#include "jobs/host_manager.h"

#include <algorithm>
#include <cmath>

namespace mjm {

void host_manager::choose_maintenance()
{
    for (auto& [name, w] : waves_) {
        if (!w.completed)
            choose_for(w);
    }
}

std::size_t host_manager::down_for(const std::string& wave) const
{
    return static_cast<std::size_t>(std::count_if(work_.begin(), work_.end(), [&wave](const auto& entry) {
        return entry.second.order.kind == host_order_kind::maintain && entry.second.order.wave == wave;
    }));
}

void host_manager::choose_for(wave_state& w)
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
            if (now - (seen == last_listed_.end() ? began_ : seen->second) > settings_.missing_time)
                continue; // it has left the fleet
        }
        ++left;
        if (host == hosts_.end() || work_.contains(id) || held_.contains(id) ||
            host->second.state != host_state::up)
            continue;
        const auto t = scheduler_.targets().find(target_of(id));
        candidates.push_back({id, t == scheduler_.targets().end()
                                      ? 0.0
                                      : t->second.used.dominant_fraction(t->second.info.capacity)});
    }
    if (left == 0) {
        w.completed = true;
        return;
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& a, const candidate& b) { return a.load < b.load; });
    // As many at a time as are needed to be done in time; idle hosts cost nobody anything and go at once.
    const double used = static_cast<double>(time_.unix_ms() - w.record.seen_ms) / 1000.0;
    const double time_left =
        settings_.wave_share * std::chrono::duration<double>(w.wave.time_limit).count() - used;
    const double rounds =
        std::max(1.0, std::floor(time_left / std::chrono::duration<double>(settings_.host_time).count()));
    const std::size_t needed = static_cast<std::size_t>(std::ceil(static_cast<double>(left) / rounds));
    for (const candidate& c : candidates) {
        const std::size_t down = down_for(w.wave.name);
        if (down >= w.wave.max_down)
            return;
        if (c.load > 0.0 && down >= needed)
            return;
        host_work work;
        work.order = {host_order_kind::maintain, w.wave.name, service_id{}, target_of(c.id)};
        work.chosen_at = now;
        work_[c.id] = work;
        log_.info("maintenance_chosen",
                  {{"host", c.id}, {"wave", w.wave.name}, {"load", c.load}, {"left", left}, {"down", down}});
    }
}

bool host_manager::ready_to_go_down(const std::string& host, host_work& work)
{
    const target_id target = target_of(host);
    const auto t = scheduler_.targets().find(target);
    if (t == scheduler_.targets().end() || t->second.settled())
        return true;
    // An end that only the target knows would be lost with it, and its task would run again.
    if (!t->second.unstored.empty())
        return false;
    if (work.order.kind == host_order_kind::move)
        return false;
    const timestamp now = time_.now();
    const scheduler_time at{now, time_.unix_ms()};
    if (!scheduler_.only_permanent_runs(target)) {
        if (now - work.chosen_at > settings_.patience)
            scheduler_.stop_resumable_runs(target, at);
        if (now - work.chosen_at < settings_.longest_patience)
            return false;
    }
    if (scheduler_.can_lose(target))
        return true;
    scheduler_.move_excess_tasks(target, at);
    return false;
}

void host_manager::report(wave_state& w)
{
    const std::string record = encode_wave_record(w.record);
    if (w.status_out || (record == w.reported && w.completed == w.completed_reported) || !certain_())
        return;
    w.status_out = true;
    operations_.report_wave(
        w.wave, w.completed, record, token_,
        [this, name = w.wave.name, completed = w.completed, record,
         alive = std::weak_ptr<bool>{alive_}](const tl::expected<void, host_errc>& result) {
            if (alive.expired())
                return;
            const auto it = waves_.find(name);
            if (it == waves_.end())
                return;
            it->second.status_out = false;
            if (!result) {
                log_.warn("wave_report_failed", {{"wave", name}, {"error", name_of(result.error())}});
                return;
            }
            it->second.reported = record;
            it->second.completed_reported = completed;
            log_.info("wave_reported",
                      {{"wave", name}, {"completed", completed}, {"done", it->second.record.done.size()}});
        });
}

} // namespace mjm
