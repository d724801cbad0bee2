#include "jobs/job_scheduler.h"

#include <algorithm>

namespace mjm {

namespace {

resources times(const resources& r, std::int64_t n)
{
    return {r.milli_cpu * n, r.memory_mib * n, r.accelerators * n, r.slots * n};
}

} // namespace

void job_scheduler::set_cordons(host_cordons cordons)
{
    if (cordons == cordons_)
        return;
    cordons_ = std::move(cordons);
    for (auto& [id, t] : targets_) {
        t.cordon = cordons_.cordon_of(t.info.host);
        t.maintained_soon = cordons_.maintained_soon.contains(t.info.host);
    }
    plan_all_services();
}

void job_scheduler::on_host_order_confirmed(const target_id& id, scheduler_time time)
{
    target_status* t = find_target(id);
    if (t == nullptr)
        return;
    t->leaving = true;
    t->ordered_down_at = time.now;
    t->next_observation = time.now;
    // A target without runs is observed only until it has answered.
    t->synced = t->synced && !t->settled();
}

void job_scheduler::on_host_taken_down(const target_id& id, scheduler_time time)
{
    target_status* t = find_target(id);
    if (t != nullptr && (t->listed || !t->runs.empty()))
        on_host_down(*t, time);
}

void job_scheduler::end_ordered_predecessors(const target_info& successor, scheduler_time time)
{
    if (successor.host.empty())
        return;
    for (auto& [id, t] : targets_) {
        if (t.info.host == successor.host && t.ordered_down_at != timestamp{} &&
            t.info.incarnation < successor.incarnation)
            on_host_down(t, time);
    }
}

void job_scheduler::discard_runs_of_target(target_status& t, const char* reason, scheduler_time time)
{
    for_runs(t,
             [&](open_job& open, const task_position& p, task_run&) { discard_run(open, p, reason, time); });
}

void job_scheduler::on_host_down(target_status& t, scheduler_time time)
{
    discard_runs_of_target(t, "host was moved or maintained", time);
    given_up_.on_target_ended(t.info.id);
    t.listed = false;
    t.reachable = false;
    t.synced = false;
    t.lease_until = time.now;
    t.ordered_down_at = {};
}

pool_demand job_scheduler::demand_of_job(job& j) const
{
    pool_demand demand;
    const std::size_t steps = j.record().spec.steps.size();
    std::vector<std::int64_t> running(steps, 0);
    std::vector<std::int64_t> waiting(steps, 0);
    std::vector<std::int64_t> blocked(steps, 0);
    j.for_open_tasks([&](const task_position& p, const task& t) {
        // A run in an evacuated zone uses no host that counts for a pool.
        if (t.run)
            running[p.step] += runs_in_evacuated_zone(*t.run) ? 0 : 1;
        else if (j.step_ready(p.occurrence, p.step))
            ++waiting[p.step];
        else if (p.occurrence == 0)
            ++blocked[p.step];
    });
    resources now;
    resources later;
    for (std::size_t s = 0; s < steps; ++s) {
        const step_spec& step = j.step(static_cast<std::uint32_t>(s));
        const resources need = counted_need(step);
        if (waiting[s] > 0 && (!step.required_label.empty() || step.max_per_target != 0))
            demand.restricted = true;
        now += times(need, running[s] + waiting[s]);
        demand.waiting += times(need, waiting[s]);
        const resources width = times(need, blocked[s]);
        if (width.milli_cpu > later.milli_cpu)
            later = width;
    }
    demand.present = now;
    demand.total = later.milli_cpu > now.milli_cpu ? later : now;
    return demand;
}

pool_demand job_scheduler::demand_of(const service_id& service) const
{
    pool_demand demand;
    const auto queue = queues_.find(service);
    if (queue == queues_.end())
        return demand;
    for (const auto& [id, it] : queue->second.jobs) {
        if (it->state->cancelled())
            continue;
        if (!it->demand)
            it->demand = demand_of_job(*it->state);
        demand.total += it->demand->total;
        demand.present += it->demand->present;
        demand.waiting += it->demand->waiting;
        demand.restricted = demand.restricted || it->demand->restricted;
    }
    return demand;
}

bool job_scheduler::only_permanent_runs(const target_id& id) const
{
    return !any_step_on(id, [](const step_spec& step) { return !step.permanent; });
}

bool job_scheduler::has_permanent_runs(const target_id& id) const
{
    return any_step_on(id, [](const step_spec& step) { return step.permanent; });
}

std::set<target_id> job_scheduler::unknown_targets_with_runs() const
{
    std::set<target_id> out;
    for (const auto& [id, open] : jobs_with_runs_) {
        open->state->for_open_tasks([&](const task_position& /*position*/, const task& t) {
            if (t.run && !t.run->on_known_target)
                out.insert(t.run->target);
        });
    }
    return out;
}

bool job_scheduler::any_step_on(const target_id& id, bool (*predicate)(const step_spec&)) const
{
    const std::set<task_key>& runs = targets_.at(id).runs;
    return std::any_of(runs.begin(), runs.end(), [this, predicate](const task_key& key) {
        const auto it = jobs_.find(key.job);
        return it != jobs_.end() && predicate(it->second.state->step(key.position.step));
    });
}

bool job_scheduler::stays_available(const task& t) const
{
    if (!t.run || t.run->phase != run_phase::running || !t.run->at_full_pace)
        return false;
    const auto target = targets_.find(t.run->target);
    return target != targets_.end() && target->second.reachable && !target->second.leaving;
}

std::uint32_t job_scheduler::unavailable_tasks(job& j, std::uint32_t step, const target_id& except) const
{
    std::uint32_t away = 0;
    j.for_open_tasks([&](const task_position& p, const task& t) {
        const bool excepted = t.run && t.run->target == except;
        if (p.step == step && !excepted && !stays_available(t))
            ++away;
    });
    return away;
}

void job_scheduler::set_leaving(const target_id& id, bool leaving)
{
    target_status* t = find_target(id);
    if (t == nullptr)
        return;
    t->leaving = leaving;
    if (!leaving)
        t->ordered_down_at = {};
}

bool job_scheduler::has_place_elsewhere(const open_job& open, const task_position& p, timestamp now)
{
    const target_id& here = open.state->at(p).run->target;
    std::vector<target_status*> others;
    for (const auto& [id, t] : targets_by_service_[open.service]) {
        if (id != here && accepts_work(*t, now))
            others.push_back(t);
    }
    return choose_target(placement_of(open, p), others, now) != nullptr;
}

bool job_scheduler::move_excess_tasks(const target_id& id, scheduler_time time)
{
    target_status* t = find_target(id);
    // What else is unavailable can't be told from an old view, and a leader that may have been replaced can't
    // start the tasks elsewhere.
    if (t == nullptr || !may_start(time.now) || !leases_.may_grant(time.now))
        return false;
    bool moved = false;
    std::map<std::pair<job_id, std::uint32_t>, std::vector<task_position>> here;
    for (const task_key& key : t->runs) {
        const auto it = jobs_.find(key.job);
        if (it != jobs_.end() && it->second.state->step(key.position.step).max_unavailable != 0)
            here[{key.job, key.position.step}].push_back(key.position);
    }
    for (const auto& [where, positions] : here) {
        open_job& open = jobs_.at(where.first);
        const std::uint32_t allowed = open.state->step(where.second).max_unavailable;
        if (positions.size() <= allowed)
            continue;
        task& first = open.state->at(positions.front());
        if (unavailable_tasks(*open.state, where.second, {}) >= allowed || !first.run ||
            first.run->phase != run_phase::running || !has_place_elsewhere(open, positions.front(), time.now))
            continue;
        first.avoided_target = id;
        stop_run(open, positions.front(), "host will be maintained", time.now);
        moved = true;
    }
    return moved;
}

bool job_scheduler::can_lose(const target_id& id) const
{
    std::map<std::pair<job_id, std::uint32_t>, std::uint32_t> lost;
    for (const task_key& key : targets_.at(id).runs) {
        const auto it = jobs_.find(key.job);
        if (it == jobs_.end() || it->second.state->cancelled() ||
            it->second.state->step(key.position.step).max_unavailable == 0)
            continue;
        ++lost[{key.job, key.position.step}];
    }
    return std::all_of(lost.begin(), lost.end(), [this, &id](const auto& entry) {
        const auto& [where, here] = entry;
        job& j = *jobs_.at(where.first).state;
        return unavailable_tasks(j, where.second, id) + here <= j.step(where.second).max_unavailable;
    });
}

void job_scheduler::stop_resumable_runs(const target_id& id, scheduler_time time)
{
    target_status* t = find_target(id);
    if (t == nullptr)
        return;
    for_runs(*t, [&](open_job& open, const task_position& p, const task_run& run) {
        const step_spec& step = open.state->step(p.step);
        if (step.saves_progress && !step.permanent && run.phase == run_phase::running)
            stop_run(open, p, "host will be maintained", time.now);
    });
}

} // namespace mjm
