#include "jobs/job_scheduler.h"
#include "jobs/placement.h"

#include <algorithm>
#include <chrono>

namespace mjm {

namespace {

// Tasks outside their data rack take twice as long, as specified by the platform's protocol.
constexpr int off_rack_factor = 2;

} // namespace

bool job_scheduler::may_be_moved(const open_job& open, const task_position& p) const
{
    const step_spec& step = open.state->step(p.step);
    const task& t = open.state->at(p);
    return t.run && t.run->phase == run_phase::running && t.run->answered_at != timestamp{} &&
           !t.moved_as_straggler && !step.permanent && !step.gang && !open.state->cancelled() &&
           !is_final(open.state->state());
}

std::optional<duration> job_scheduler::stall_bound(const open_job& open, const task_position& p,
                                                   const target_status& t, timestamp now) const
{
    const step_spec& step = open.state->step(p.step);
    std::optional<duration> bound = straggler_bound(open.times[p.step], step.tasks, settings_.stragglers);
    if (now < t.suspect_until) {
        const std::optional<duration> overdue =
            overdue_bound(expected_at_most(open, p.step), settings_.stragglers);
        if (overdue && (!bound || *overdue < *bound))
            bound = overdue;
    }
    if (bound && (step.rack_sensitive || (!step.data_rack.empty() && step.data_rack != t.info.rack.str())))
        *bound *= off_rack_factor;
    // How much slower a cold target is isn't known, so its time as such doesn't count.
    const std::optional<task_run>& run = open.state->at(p).run;
    if (bound && run && t.info.warm_at > run->answered_at)
        *bound += t.info.warm_at - run->answered_at;
    return bound;
}

void job_scheduler::move_if_stalled(open_job& open, const task_position& p, std::int64_t clock_ms,
                                    scheduler_time time)
{
    const task_run& run = *open.state->at(p).run;
    // The target's clock tells when it sent the report, which may have been on its way for long. The age on
    // this host's clock is the limit, so that a clock that jumps makes no run old.
    const duration age = std::min<duration>(std::chrono::milliseconds{clock_ms - run.confirmed_clock_ms},
                                            time.now - run.answered_at);
    // Every kind of stalled run is older than this.
    if (age <= settings_.stragglers.margin || !may_be_moved(open, p))
        return;
    const std::optional<duration> bound = stall_bound(open, p, targets_.at(run.target), time.now);
    if (bound && age > *bound)
        move_straggler(open, p, time);
}

duration job_scheduler::time_to_next_report(const open_job& open, const task_position& p,
                                            const target_status& t, timestamp now) const
{
    const task& it = open.state->at(p);
    // The report tells that the target can be reached again.
    if (it.run && stop_failed(*it.run, duration{0}, now))
        return settings_.stop_retry;
    if (!may_be_moved(open, p))
        return settings_.observation_wait;
    const duration age = now - it.run->answered_at;
    std::optional<duration> bound = stall_bound(open, p, t, now);
    const step_spec& step = open.state->step(p.step);
    if (!bound && step.tasks > 1)
        bound = expected_straggler_bound(age, open.state->expected_run_time(p.step), open.times[p.step],
                                         settings_.stragglers);
    if (!bound)
        return settings_.observation_wait;
    // A target with a slow clock shows the age later.
    const duration left = duration{static_cast<std::int64_t>(static_cast<double>(bound->count()) *
                                                             (1.0 + settings_.leases.clock_drift))} -
                          age;
    if (left.count() <= 0)
        return settings_.stall_recheck;
    // An answer shortly before the bound would be followed by one that is a whole round trip late.
    const bool two_observations = left > settings_.observation_wait && left < 2 * settings_.observation_wait;
    return std::max(two_observations ? left / 2 : left, settings_.observation_gap);
}

duration job_scheduler::observation_wait(const target_status& t, timestamp now) const
{
    duration wait = std::min(settings_.observation_wait, leases_.longest_observation(now));
    if (t.suspected_runs > 0)
        wait = std::min(wait, settings_.crashes.probation / 2);
    const auto paces = paces_.find(t.info.id);
    if (paces != paces_.end())
        wait = std::min(wait, paces->second.next_report().value_or(wait));
    if (!t.unknown_runs.empty())
        wait = std::min(wait, settings_.stop_retry);
    for (const task_key& key : t.runs) {
        const auto open = jobs_.find(key.job);
        if (open != jobs_.end())
            wait = std::min(wait, time_to_next_report(open->second, key.position, t, now));
    }
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
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
    // A leader that may have been replaced can't start the task elsewhere.
    if (!leases_.may_grant(time.now) || choose_target(placement_of(open, p), others, time.now) == nullptr)
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
