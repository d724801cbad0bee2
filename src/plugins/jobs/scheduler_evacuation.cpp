#include "jobs/job_scheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mjm {

namespace {

/// Tells which steps only targets in evacuated zones could run. Steps with equal conditions are looked up
/// once, since there are far fewer kinds of steps than waiting jobs.
class evacuated_only_steps {
public:
    explicit evacuated_only_steps(const std::map<target_id, target_status*>& pool) : pool_{pool} {}

    [[nodiscard]] bool contains(const step_spec& step)
    {
        const auto known = std::find_if(known_.begin(), known_.end(), [&step](const auto& entry) {
            return entry.first->required_label == step.required_label &&
                   counted_need(*entry.first) == counted_need(step);
        });
        if (known != known_.end())
            return known->second;
        const bool result = could_run_on(step, true) && !could_run_on(step, false);
        known_.emplace_back(&step, result);
        return result;
    }

private:
    [[nodiscard]] bool could_run_on(const step_spec& step, bool evacuated) const
    {
        placement_request request;
        request.step = &step;
        return std::any_of(pool_.begin(), pool_.end(), [&](const auto& entry) {
            const target_status& t = *entry.second;
            return t.listed && t.evacuated == evacuated && could_run(t, request);
        });
    }

    const std::map<target_id, target_status*>& pool_;
    std::vector<std::pair<const step_spec*, bool>> known_;
};

bool has_waiting_task(const job& j, std::uint32_t occurrence, std::uint32_t step)
{
    for (std::uint32_t n = 0; n < j.step(step).tasks; ++n) {
        const task& t = j.at({occurrence, step, n});
        if (!t.done && !t.run)
            return true;
    }
    return false;
}

/// Whether a step that could start waits for a target in an evacuated zone.
bool awaits_zone(const job& j, evacuated_only_steps& steps, std::int64_t unix_ms)
{
    for (std::uint32_t k = 0; k < j.record().spec.occurrences && j.due(k, unix_ms); ++k) {
        for (std::uint32_t s = 0; s < j.record().spec.steps.size(); ++s) {
            if (steps.contains(j.step(s)) && j.step_ready(k, s) && has_waiting_task(j, k, s))
                return true;
        }
    }
    return false;
}

} // namespace

void job_scheduler::set_evacuated_zones(const std::set<zone_id>& zones, scheduler_time time)
{
    if (zones == evacuation_.zones)
        return;
    const std::set<zone_id> former = std::exchange(evacuation_.zones, zones);
    std::set<zone_id> changed;
    std::set_symmetric_difference(former.begin(), former.end(), zones.begin(), zones.end(),
                                  std::inserter(changed, changed.end()));
    for (const zone_id& zone : changed) {
        std::size_t targets = 0;
        std::size_t runs = 0;
        for (auto& [id, t] : targets_) {
            if (t.info.zone != zone)
                continue;
            t.evacuated = zones.contains(zone);
            targets += t.listed ? 1 : 0;
            runs += t.runs.size();
        }
        log_event(zones.contains(zone) ? scheduler_event::evacuation_started
                                       : scheduler_event::evacuation_ended,
                  {}, nullptr, 0, {},
                  "zone " + zone.str() + ", " + std::to_string(targets) + " targets, " +
                      std::to_string(runs) + " runs");
    }
    for (auto& [id, open] : jobs_)
        open.demand.reset(); // Runs in evacuated zones don't count in it.
    evacuation_.next_check = {};
    check_evacuation(time);
    plan_all_services();
}

bool job_scheduler::runs_in_evacuated_zone(const task_run& run) const
{
    if (evacuation_.zones.empty())
        return false;
    const auto t = targets_.find(run.target);
    return t != targets_.end() && t->second.evacuated;
}

void job_scheduler::check_evacuation(scheduler_time time)
{
    if (time.now < evacuation_.next_check ||
        (evacuation_.zones.empty() && evacuation_.runs == 0 && evacuation_.waiting_jobs.empty()))
        return;
    evacuation_.next_check = time.now + settings_.evacuation_check_interval;
    evacuation_.runs = 0;
    for (const auto& [id, t] : targets_) {
        if (t.evacuated)
            evacuation_.runs += t.runs.size();
    }
    std::set<job_id> waiting = jobs_awaiting_zones(time);
    for (const job_id& id : waiting) {
        if (!evacuation_.waiting_jobs.contains(id))
            log_event(scheduler_event::job_awaits_zone, id, nullptr, 0, {},
                      "only targets in evacuated zones could run it",
                      time.unix_ms - jobs_.at(id).state->record().accepted_ms);
    }
    evacuation_.waiting_jobs = std::move(waiting);
}

std::set<job_id> job_scheduler::jobs_awaiting_zones(scheduler_time time) const
{
    std::set<job_id> out;
    if (evacuation_.zones.empty())
        return out;
    for (const auto& [service, queue] : queues_) {
        const auto pool = targets_by_service_.find(service);
        if (pool == targets_by_service_.end())
            continue;
        evacuated_only_steps steps{pool->second};
        for (const ranked_job& it : queue.waiting) {
            if (awaits_zone(*it.open->state, steps, time.unix_ms))
                out.insert(it.open->state->id());
        }
    }
    return out;
}

} // namespace mjm
