#include "jobs/job_scheduler.h"

#include <algorithm>

namespace mjm {

void job_scheduler::adjust_pace(target_status& t, const target_report& report, timestamp now)
{
    std::vector<paced_run> backfill;
    std::optional<double> latency;
    for (const listed_run& r : report.running) {
        const open_job* open = find_open(r.task.job);
        if (open == nullptr || !open->state->contains(r.task.position))
            continue;
        const step_spec& step = open->state->step(r.task.position.step);
        const std::optional<task_run>& run = open->state->at(r.task.position).run;
        if (step.latency_objective.count() > 0)
            latency =
                std::max(latency.value_or(0.0), r.load / static_cast<double>(to_ms(step.latency_objective)));
        else if (step.backfill && run && run->number == r.run && run->phase == run_phase::running)
            backfill.push_back({r.task, r.run, r.pace_percent});
    }
    auto paces = paces_.find(t.info.id);
    if (paces == paces_.end()) {
        if (backfill.empty())
            return;
        paces = paces_.emplace(t.info.id, backfill_pace{settings_.pace}).first;
    }
    const bool was_limited = paces->second.limited();
    for (const paced_run& order : paces->second.on_report(backfill, latency, now))
        send_pace(t, order);
    t.pace_limited = paces->second.limited();
    if (was_limited && !t.pace_limited)
        plan_needed_.insert(t.info.service);
    if (backfill.empty() && !t.pace_limited)
        paces_.erase(paces);
}

void job_scheduler::pace_started_run(target_status& t, const open_job& open, const task_key& key,
                                     run_number run, timestamp now)
{
    const auto paces = paces_.find(t.info.id);
    if (paces == paces_.end() || !open.state->step(key.position.step).backfill)
        return;
    if (const std::optional<paced_run> order = paces->second.on_start(key, run, now))
        send_pace(t, *order);
}

void job_scheduler::send_pace(const target_status& t, const paced_run& order)
{
    commands_.emplace_back(pace_command{ref_of(t.info.id), order.task, order.run, order.percent});
}

} // namespace mjm
