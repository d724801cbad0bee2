#include "jobs/job_scheduler.h"

#include <algorithm>
#include <utility>

namespace mjm {

namespace {

std::int64_t cap_or_unlimited(std::int64_t cap)
{
    return cap > 0 ? cap : std::numeric_limits<std::int64_t>::max();
}

} // namespace

/// Needs for which no target of a pool has free capacity. Free capacity only shrinks while a pool is planned,
/// so a search for the same or a larger need can be skipped. In an overload, this skips nearly every search.
class job_scheduler::unsatisfiable_needs {
public:
    explicit unsatisfiable_needs(const std::vector<target_status*>& pool)
    {
        for (const target_status* t : pool) {
            const resources left = t->free();
            most_free_.milli_cpu = std::max(most_free_.milli_cpu, left.milli_cpu);
            most_free_.memory_mib = std::max(most_free_.memory_mib, left.memory_mib);
            most_free_.accelerators = std::max(most_free_.accelerators, left.accelerators);
        }
    }

    [[nodiscard]] bool covers(const resources& need) const
    {
        return !need.fits_in(most_free_) ||
               std::any_of(needs_.begin(), needs_.end(),
                           [&need](const resources& known) { return known.fits_in(need); });
    }

    void add(const resources& need)
    {
        std::erase_if(needs_, [&need](const resources& known) { return need.fits_in(known); });
        needs_.push_back(need);
    }

    /// The same for tasks that may not run beside other suspects of crashes.
    [[nodiscard]] bool covers_suspected(const resources& need) const
    {
        return std::any_of(suspected_needs_.begin(), suspected_needs_.end(),
                           [&need](const resources& known) { return known.fits_in(need); });
    }

    void add_suspected(const resources& need) { suspected_needs_.push_back(need); }

private:
    resources most_free_;
    std::vector<resources> needs_; ///< No need in it fits in another one.
    std::vector<resources> suspected_needs_;
};

void job_scheduler::plan(scheduler_time time)
{
    update_queues(time);
    update_isolation(time);
    if (!may_start(time.now) || !leases_.may_grant(time.now))
        return;
    const std::set<service_id> services = std::exchange(plan_needed_, {});
    for (const service_id& service : services) {
        const auto queue = queues_.find(service);
        if (queue != queues_.end() && !queue->second.waiting.empty())
            plan_pool(service, queue->second, time);
    }
}

void job_scheduler::plan_all_services()
{
    for (const auto& [service, queue] : queues_) {
        if (!queue.jobs.empty())
            plan_needed_.insert(service);
    }
}

timestamp job_scheduler::views_recent_until() const
{
    return std::min({known_at_.targets + settings_.max_target_view_age,
                     known_at_.cancellations + settings_.max_cancel_view_age,
                     known_at_.configuration + settings_.max_config_view_age,
                     known_at_.configuration + settings_.max_evacuation_view_age});
}

void job_scheduler::plan_pool(const service_id& service, service_queue& queue, scheduler_time time)
{
    std::vector<target_status*> pool;
    std::vector<target_status*> retired;
    std::vector<target_status*> cordoned;
    for (const auto& [id, t] : targets_by_service_[service]) {
        if (accepts_work(*t, time.now))
            pool.push_back(t);
        else if (accepts_expiring_run(*t, time.now))
            retired.push_back(t);
        else if (accepts_permanent_tasks(*t, time.now))
            cordoned.push_back(t);
    }
    if (pool.empty() && retired.empty() && cordoned.empty())
        return;
    pool.insert(pool.end(), retired.begin(), retired.end());
    plan_isolated_tasks(service, pool, time);
    // Free capacity only shrinks from here on.
    for (std::vector<target_status*>* targets : {&pool, &cordoned})
        std::erase_if(*targets,
                      [&queue](const target_status* t) { return !queue.smallest_need.fits_in(t->free()); });
    if (pool.empty() && cordoned.empty())
        return;
    refresh_ranks(queue, time);
    plan_waiting_tasks(queue, {std::move(pool), false}, time);
    // An order for a host may wait for a task that has no place but on this host, or on one whose order waits
    // for another task in turn.
    plan_waiting_tasks(queue, {std::move(cordoned), true}, time);
}

void job_scheduler::plan_waiting_tasks(const service_queue& queue, const candidate_targets& pool,
                                       scheduler_time time)
{
    if (pool.targets.empty())
        return;
    unsatisfiable_needs unsatisfiable{pool.targets};
    // Planning a job changes its rank only at the next `update_queues`.
    for (const ranked_job& it : queue.waiting) {
        if (unsatisfiable.covers(queue.smallest_need))
            return;
        if (!unsatisfiable.covers(it.open->state->smallest_need()))
            plan_job(*it.open, pool, unsatisfiable, time);
    }
}

void job_scheduler::plan_job(open_job& open, const candidate_targets& pool,
                             unsatisfiable_needs& unsatisfiable, scheduler_time time)
{
    job& j = *open.state;
    for (std::uint32_t k = 0; k < j.record().spec.occurrences; ++k) {
        if (!j.due(k, time.unix_ms))
            break;
        for (std::uint32_t s = 0; s < j.record().spec.steps.size(); ++s) {
            if (j.step_ready(k, s) && (j.step(s).permanent || !pool.permanent_tasks_only))
                plan_step(open, k, s, pool, unsatisfiable, time);
        }
    }
}

void job_scheduler::plan_step(open_job& open, std::uint32_t occurrence, std::uint32_t number,
                              const candidate_targets& pool, unsatisfiable_needs& unsatisfiable,
                              scheduler_time time)
{
    const step_spec& step = open.state->step(number);
    const resources need = counted_need(step);
    if (unsatisfiable.covers(need))
        return;
    for (std::uint32_t n = 0; n < step.tasks; ++n) {
        const task_position p{occurrence, number, n};
        const task& t = open.state->at(p);
        if (t.done || t.run || time.now < t.not_before || must_be_isolated(t))
            continue;
        if (is_suspected(t) && unsatisfiable.covers_suspected(need))
            continue;
        if (!within_cap(open, step))
            return;
        target_status* target = choose_target(placement_of(open, p), pool.targets, time.now);
        if (target == nullptr) {
            // The step's own conditions may be the cause, which tells nothing about other steps.
            const bool lacks_capacity =
                step.required_label.empty() && step.max_per_target == 0 && !step.backfill;
            if (is_suspected(t)) {
                if (lacks_capacity)
                    unsatisfiable.add_suspected(need);
                continue; // Other tasks have fewer conditions.
            }
            if (lacks_capacity)
                unsatisfiable.add(need);
            return;
        }
        plan_task(open, p, *target, time);
    }
}

placement_request job_scheduler::placement_of(const open_job& open, const task_position& p) const
{
    const task& t = open.state->at(p);
    placement_request request;
    request.step = &open.state->step(p.step);
    request.step_runs = &open.step_runs[p.step];
    request.avoided_target = t.avoided_target;
    request.preferred_rack = rack_of_step(open, p.step);
    request.suspected = is_suspected(t);
    return request;
}

std::string job_scheduler::rack_of_step(const open_job& open, std::uint32_t step) const
{
    if (!open.state->step(step).rack_sensitive || open.step_runs[step].empty())
        return {};
    const auto target = targets_.find(open.step_runs[step].begin()->first);
    return target == targets_.end() ? std::string{} : target->second.info.rack.str();
}

bool job_scheduler::within_cap(const open_job& open, const step_spec& step) const
{
    const team_id& team = open.state->record().team;
    const auto config = config_->teams.find(team);
    if (config == config_->teams.end())
        return true;
    const auto used = team_use_.find(team);
    const resources after = (used == team_use_.end() ? resources{} : used->second) + step.need;
    const resources& cap = config->second.cap;
    return after.milli_cpu <= cap_or_unlimited(cap.milli_cpu) &&
           after.memory_mib <= cap_or_unlimited(cap.memory_mib) &&
           after.accelerators <= cap_or_unlimited(cap.accelerators);
}

void job_scheduler::plan_task(open_job& open, const task_position& p, target_status& target,
                              scheduler_time time)
{
    job& j = *open.state;
    task& t = j.at(p);
    task_run run;
    run.number = ++t.last_run;
    run.target = target.info.id;
    run.incarnation = target.info.incarnation;
    run.ordered_at = time.now;
    run.suspected = is_suspected(t);
    t.run = std::move(run);
    reserve_capacity(open, p, *t.run);
    // From now on observations would extend the lease.
    target.expiring = target.may_expire(time.now);
    mark_changed(j);
    t.run->planned_change = j.last_change;
    // Each start begins at full pace, so several in a row would keep the latencies high.
    if (j.step(p.step).backfill && target.pace_limited)
        target.next_backfill_start = time.now + settings_.pace.start_interval;
    const task_key key{j.id(), p};
    log_event(scheduler_event::run_planned, j.id(), &key, t.last_run, target.info.id, {},
              time.unix_ms - j.record().accepted_ms);
}

void job_scheduler::order_start(open_job& open, const task_position& p, scheduler_time time)
{
    job& j = *open.state;
    task& t = j.at(p);
    if (const char* obstacle = obstacle_to_start(*t.run, time.now)) {
        discard_run(open, p, obstacle, time);
        return;
    }
    target_status* target = find_target(t.run->target);
    const std::optional<granted_lease> lease =
        target->expiring ? leases_.grant_expiring(*target->clock, time.now, target->late_expiring_starts)
                         : leases_.grant(*target->clock, time.now);
    if (!lease) {
        discard_run(open, p, "another host may lead", time);
        return;
    }
    start_order order;
    order.task = {j.id(), p};
    order.run = t.run->number;
    order.payload = j.record().spec.payload;
    order.deadline_ms = lease->deadline_ms;
    order.token = target->fence.raise(latest_token_, time.now);
    if (j.step(p.step).saves_progress)
        order.checkpoint = t.checkpoint;
    const timestamp planned_at = std::exchange(t.run->ordered_at, time.now);
    t.run->phase = run_phase::ordered;
    t.run->order_pending = true;
    note_lease(*target, *lease, time.now);
    commands_.emplace_back(start_command{ref_of(t.run->target), std::move(order), planned_at});
}

const char* job_scheduler::obstacle_to_start(const task_run& run, timestamp now) const
{
    const auto it = targets_.find(run.target);
    if (it == targets_.end())
        return "target changed before the start";
    const target_status& target = it->second;
    if (!target.reachable || !target.clock || !target.listed || target.info.state != target_state::ready ||
        target.info.incarnation != run.incarnation)
        return "target changed before the start";
    if (target.evacuated)
        return "zone is evacuated";
    if (target.leaving)
        return "host is being moved or maintained";
    if (!target.capacity_known())
        return "capacity of the restarted target is unknown";
    if (target.has_unknown_need())
        return "target runs an unknown task";
    if (target.lease_wait_stored)
        return "the store has a wait for the target's lease";
    if (!leases_.may_grant(now))
        return "another host may lead";
    return may_start(now) ? nullptr : "the view of targets, cancellations or the configuration is too old";
}

const char* job_scheduler::obstacle_to_sending(const start_command& start, timestamp now) const
{
    const auto it = jobs_.find(start.order.task.job);
    if (it == jobs_.end())
        return "job removed before the start";
    const std::optional<task_run>& run = it->second.state->at(start.order.task.position).run;
    if (!run || run->number != start.order.run)
        return "run ended before the start";
    if (run->phase != run_phase::ordered)
        return "stopped before the start";
    return obstacle_to_start(*run, now);
}

std::map<target_id, resources> job_scheduler::capacity_for_starts() const
{
    std::map<target_id, resources> out;
    std::set<task_key> unsent;
    for (const target_command& command : commands_) {
        const start_command* start = std::get_if<start_command>(&command);
        if (start == nullptr)
            continue;
        unsent.insert(start->order.task);
        const auto t = targets_.find(start->target.id);
        if (t != targets_.end() && !resources{}.fits_in(t->second.free()))
            out.emplace(t->first, t->second.free());
    }
    for (auto& [id, left] : out) {
        for (const task_key& key : targets_.at(id).runs) {
            const job& j = *jobs_.at(key.job).state;
            const std::optional<task_run>& run = j.at(key.position).run;
            if (run && (run->phase == run_phase::planned || unsent.contains(key)))
                left += counted_need(j.step(key.position.step));
        }
    }
    return out;
}

void job_scheduler::withdraw_starts(scheduler_time time)
{
    std::map<std::pair<task_key, run_number>, const char*> withdrawn;
    std::map<target_id, resources> left = capacity_for_starts();
    for (const target_command& command : commands_) {
        const start_command* start = std::get_if<start_command>(&command);
        if (start == nullptr)
            continue;
        const char* obstacle = obstacle_to_sending(*start, time.now);
        const auto limited = left.find(start->target.id);
        if (obstacle == nullptr && limited != left.end()) {
            const task_key& key = start->order.task;
            const resources need = counted_need(jobs_.at(key.job).state->step(key.position.step));
            if (need.fits_in(limited->second))
                limited->second -= need;
            else
                obstacle = "target lacks capacity";
        }
        if (obstacle != nullptr)
            withdrawn.emplace(std::pair{start->order.task, start->order.run}, obstacle);
    }
    if (withdrawn.empty())
        return;
    // A run whose start was not sent needs no stop.
    std::erase_if(commands_, [&withdrawn](const target_command& command) {
        if (const start_command* start = std::get_if<start_command>(&command))
            return withdrawn.contains({start->order.task, start->order.run});
        const stop_command* stop = std::get_if<stop_command>(&command);
        return stop != nullptr && withdrawn.contains({stop->task, stop->run});
    });
    for (const auto& [run, obstacle] : withdrawn) {
        open_job* open = find_open(run.first.job);
        if (open == nullptr)
            continue;
        const std::optional<task_run>& current = open->state->at(run.first.position).run;
        if (current && current->number == run.second)
            discard_run(*open, run.first.position, obstacle, time);
    }
}

} // namespace mjm
