#include "jobs/job_scheduler.h"
#include "jobs/placement.h"

namespace mjm {

namespace {

// Tasks outside their data rack take twice as long, as specified by the platform's protocol.
constexpr int off_rack_factor = 2;

} // namespace

void job_scheduler::move_stragglers(scheduler_time time)
{
    for_tasks_with_runs([&](open_job& open, const task_position& p, task& t) {
        if (open.state->cancelled() || is_final(open.state->state()))
            return;
        if (!t.moved_as_straggler && t.run->phase == run_phase::running && is_stalled(open, p, *t.run, time))
            move_straggler(open, p, time);
    });
}

bool job_scheduler::is_stalled(const open_job& open, const task_position& p, const task_run& run,
                               scheduler_time time) const
{
    const step_spec& step = open.state->step(p.step);
    // Every kind of stalled run is older than this.
    if (step.permanent || step.gang || run.answered_at == timestamp{} ||
        time.now - run.answered_at <= settings_.stragglers.margin)
        return false;
    const auto target = targets_.find(run.target);
    if (target == targets_.end() || !target->second.reachable)
        return false;
    duration age = time.now - run.answered_at;
    if (step.rack_sensitive || (!step.data_rack.empty() && step.data_rack != target->second.info.rack.str()))
        age /= off_rack_factor;
    if (time.now < target->second.suspect_until && is_overdue(age, step.estimate, settings_.stragglers))
        return true;
    return is_straggler(age, open.times[p.step], step.tasks, settings_.stragglers);
}

void job_scheduler::move_straggler(open_job& open, const task_position& p, scheduler_time time)
{
    task& t = open.state->at(p);
    target_status& here = targets_.at(t.run->target);
    std::vector<target_status*> others;
    for (const auto& [id, other] : targets_by_service_[open.service]) {
        if (id != t.run->target)
            others.push_back(other);
    }
    if (choose_target(placement_of(open, p), others, time.now) == nullptr)
        return;
    t.moved_as_straggler = true;
    t.avoided_target = here.info.id;
    here.suspect_until = time.now + settings_.avoid_time;
    if (here.avoid_until < here.suspect_until) {
        here.avoid_until = here.suspect_until;
        log_event(scheduler_event::target_avoided, open.state->id(), nullptr, 0, here.info.id,
                  "a task is stalled");
    }
    stop_run(open, p, "task is stalled", time.now);
}

} // namespace mjm
