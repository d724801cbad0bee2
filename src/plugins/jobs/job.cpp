#include "jobs/job.h"

#include <algorithm>
#include <utility>

namespace mjm {

job::job(job_record record) : record_{std::move(record)}
{
    for (const step_spec& s : record_.spec.steps) {
        step_offsets_.push_back(tasks_per_occurrence_);
        tasks_per_occurrence_ += s.tasks;
        permanent_ = permanent_ || s.permanent;
        expected_run_times_.push_back(s.estimate);
    }
    tasks_.resize(tasks_per_occurrence_ * record_.spec.occurrences);
    open_ = tasks_.size();
    for (std::uint32_t k = 0; k < record_.spec.occurrences; ++k) {
        for (const step_spec& s : record_.spec.steps)
            open_tasks_by_step_.push_back(s.tasks);
    }
    critical_path_ = compute_critical_path(false);
    if (!record_.spec.steps.empty())
        smallest_need_ = counted_need(record_.spec.steps.front());
    for (const step_spec& s : record_.spec.steps) {
        const resources need = counted_need(s);
        smallest_need_.milli_cpu = std::min(smallest_need_.milli_cpu, need.milli_cpu);
        smallest_need_.memory_mib = std::min(smallest_need_.memory_mib, need.memory_mib);
        smallest_need_.accelerators = std::min(smallest_need_.accelerators, need.accelerators);
    }
    update_remaining_work();
}

bool job::contains(const task_position& p) const
{
    return p.occurrence < record_.spec.occurrences && p.step < record_.spec.steps.size() &&
           p.index < record_.spec.steps[p.step].tasks;
}

bool job::step_ready(std::uint32_t occurrence, std::uint32_t n) const
{
    const std::vector<std::uint32_t>& after = record_.spec.steps[n].after;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t s) {
        return open_tasks_by_step_[occurrence * record_.spec.steps.size() + s] == 0;
    });
}

bool job::due(std::uint32_t occurrence, std::int64_t unix_ms) const
{
    return !record_.spec.scheduled ||
           unix_ms >= record_.spec.first_due_ms + std::int64_t{occurrence} * record_.spec.interval_ms;
}

void job::finish_task(const task_position& p)
{
    task& t = at(p);
    if (t.done)
        return;
    t.done = true;
    t.run.reset();
    --open_;
    --open_tasks_by_step_[p.occurrence * record_.spec.steps.size() + p.step];
    update_remaining_work();
    if (open_ == 0 && !is_final(state_))
        state_ = job_state::completed;
}

void job::fail_task(const task_position& p, std::uint32_t max_attempts)
{
    task& t = at(p);
    ++t.failures;
    if (!record_.spec.steps[p.step].permanent && t.failures >= max_attempts && !is_final(state_))
        state_ = job_state::failed;
}

void job::give_up()
{
    if (!cancelled_ && !is_final(state_))
        state_ = job_state::failed;
}

void job::finish_cancellation()
{
    if (cancelled_ && !is_final(state_) && active_runs() == 0)
        state_ = job_state::cancelled;
}

void job::restore_progress(bool started)
{
    started_ = started;
    open_ = 0;
    std::fill(open_tasks_by_step_.begin(), open_tasks_by_step_.end(), 0);
    for_open_tasks([this](const task_position& p, const task&) {
        ++open_;
        ++open_tasks_by_step_[p.occurrence * record_.spec.steps.size() + p.step];
    });
    update_remaining_work();
    if (open_ == 0)
        state_ = job_state::completed;
    else if (started_)
        state_ = job_state::running;
}

job_state job::shown_state() const
{
    // A cancellation is stored when it is accepted, so it may be shown before the runs have stopped.
    if (cancelled_ && (!is_final(state_) || state_ == job_state::cancelled))
        return job_state::cancelled;
    const bool final_unstored = is_final(state_) && stored_change < final_change;
    if (final_unstored || (state_ == job_state::pending && started_))
        return job_state::running;
    return state_;
}

std::size_t job::active_runs() const
{
    return static_cast<std::size_t>(
        std::count_if(tasks_.begin(), tasks_.end(), [](const task& t) { return t.run.has_value(); }));
}

void job::set_expected_run_times(std::vector<duration> expected)
{
    expected_run_times_ = std::move(expected);
    critical_path_ = compute_critical_path(false);
    update_remaining_work();
}

void job::update_remaining_work()
{
    remaining_critical_path_ = compute_critical_path(true);
    open_work_core_seconds_ = compute_open_work();
}

double job::compute_open_work() const
{
    double work = 0.0;
    const std::size_t steps = record_.spec.steps.size();
    for (std::size_t i = 0; i < open_tasks_by_step_.size(); ++i) {
        const step_spec& s = record_.spec.steps[i % steps];
        work += static_cast<double>(open_tasks_by_step_[i]) * static_cast<double>(s.need.milli_cpu) / 1000.0 *
                std::chrono::duration<double>(expected_run_times_[i % steps]).count();
    }
    return work;
}

duration job::compute_critical_path(bool open_only) const
{
    const std::size_t steps = record_.spec.steps.size();
    std::vector<duration> path_end(steps, duration{0});
    duration longest{0};
    for (std::size_t s = 0; s < steps; ++s) {
        for (const std::uint32_t dependency : record_.spec.steps[s].after)
            path_end[s] = std::max(path_end[s], path_end[dependency]);
        if (!open_only || open_tasks_by_step_[s] > 0)
            path_end[s] += expected_run_times_[s];
        longest = std::max(longest, path_end[s]);
    }
    return longest;
}

} // namespace mjm
