#include "jobs/job_scheduler.h"

namespace mjm {

void job_scheduler::expect_run_times(open_job& open) const
{
    if (!settings_.learn_run_times)
        return;
    job& j = *open.state;
    std::vector<duration> expected;
    for (const step_spec& step : j.record().spec.steps)
        expected.push_back(step.permanent
                               ? step.estimate
                               : run_times_.expect(class_of(j.record().queue, step), step.estimate).typical);
    j.set_expected_run_times(std::move(expected));
}

duration job_scheduler::expected_at_most(const open_job& open, std::uint32_t step) const
{
    const step_spec& it = open.state->step(step);
    if (!settings_.learn_run_times)
        return it.estimate;
    return run_times_.expect(class_of(open.state->record().queue, it), it.estimate).late;
}

void job_scheduler::learn_run_time(const open_job& open, const task_position& p, timestamp now)
{
    const step_spec& step = open.state->step(p.step);
    const task& it = open.state->at(p);
    target_status* t = find_target(it.run->target);
    // A run that goes on from a checkpoint, away from its data or on a cold target tells little about a whole
    // one.
    const bool away = step.rack_sensitive ||
                      (!step.data_rack.empty() && t != nullptr && t->info.rack.str() != step.data_rack);
    const bool cold = t != nullptr && it.run->ordered_at < t->info.warm_at;
    if (!settings_.learn_run_times || step.permanent || step.backfill || t == nullptr || away || cold ||
        !it.checkpoint.empty())
        return;
    run_times_.record(class_of(open.state->record().queue, step), t->info.service, it.run->target,
                      step.estimate, now - it.run->ordered_at);
    t->slowness = run_times_.slowness(it.run->target);
}

} // namespace mjm
