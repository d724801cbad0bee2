#include "jobs/job_scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace mjm {

namespace {

bool has_waiting_tasks(const job& j, std::size_t active_runs)
{
    return !j.cancelled() && !is_final(j.state()) && j.open_tasks() != active_runs;
}

void lower_to(resources& least, const resources& other)
{
    least.milli_cpu = std::min(least.milli_cpu, other.milli_cpu);
    least.memory_mib = std::min(least.memory_mib, other.memory_mib);
    least.accelerators = std::min(least.accelerators, other.accelerators);
}

} // namespace

void job_scheduler::note_changed(open_job& open)
{
    open.demand.reset();
    if (std::exchange(open.changed, true))
        return;
    changed_jobs_.push_back(&open);
}

void job_scheduler::update_queues(scheduler_time time)
{
    for (open_job* open : std::exchange(changed_jobs_, {})) {
        open->changed = false;
        unrank(*open);
        if (has_waiting_tasks(*open->state, open->active_runs))
            rank(queues_[open->service], *open, time);
    }
}

void job_scheduler::rank(service_queue& queue, open_job& open, scheduler_time time)
{
    const job& j = *open.state;
    const job_objective objective =
        objective_of(j, j.record().accepted_ms, open.queue == nullptr ? 1.0 : open.queue->stretch,
                     open.queue == nullptr ? duration{0} : open.queue->objective_allowance);
    open.waiting_rank =
        rank_job(j, open.queue == nullptr ? 0 : open.queue->priority, objective, time.unix_ms);
    const std::int64_t valid_until = rank_valid_until(j, objective, time.unix_ms);
    if (queue.waiting.empty()) {
        queue.smallest_need = j.smallest_need();
        queue.ranks_valid_until_ms = valid_until;
    } else {
        lower_to(queue.smallest_need, j.smallest_need());
        queue.ranks_valid_until_ms = std::min(queue.ranks_valid_until_ms, valid_until);
    }
    queue.waiting.insert({*open.waiting_rank, &open});
}

void job_scheduler::unrank(open_job& open)
{
    if (!open.waiting_rank)
        return;
    queues_[open.service].waiting.erase({*open.waiting_rank, &open});
    open.waiting_rank.reset();
}

void job_scheduler::refresh_ranks(service_queue& queue, scheduler_time time)
{
    if (time.unix_ms <= queue.ranks_valid_until_ms || time.now < queue.next_ranking)
        return;
    queue.next_ranking = time.now + settings_.ranking_interval;
    for (const ranked_job& it : std::exchange(queue.waiting, {}))
        rank(queue, *it.open, time);
}

std::size_t job_scheduler::waiting_jobs(const queue_id& queue) const
{
    std::size_t n = 0;
    for (const auto& [service, it] : queues_) {
        n += static_cast<std::size_t>(std::count_if(it.jobs.begin(), it.jobs.end(), [&](const auto& entry) {
            const job& j = *entry.second->state;
            return j.record().queue == queue && !j.started() && !j.cancelled();
        }));
    }
    return n;
}

} // namespace mjm
