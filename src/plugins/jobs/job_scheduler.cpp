#include "jobs/job_scheduler.h"

#include "jobs/job_codec.h"

#include <algorithm>

namespace mjm {

job_scheduler::job_scheduler(scheduler_settings settings, fencing_token token, scheduler_time time,
                             note_handler note)
    : settings_{settings}, token_{token}, began_{time.now}, note_{std::move(note)},
      config_{std::make_shared<fleet_config>()}
{
}

void job_scheduler::note(scheduler_event event, const job_id& id, const task_key* task, run_number run,
                         const target_id& target, std::string reason, std::int64_t age_ms)
{
    if (note_)
        note_({event, id, task == nullptr ? std::string{} : to_string(*task), run, target, std::move(reason),
               age_ms});
}

const queue_config* job_scheduler::queue_of(const job& j) const
{
    return config_->find_queue(j.record().queue);
}

void job_scheduler::resolve_service(open_job& open)
{
    // A queue that has been removed leaves its accepted jobs with the service they were accepted for.
    const queue_config* queue = queue_of(*open.state);
    const service_id service = queue == nullptr ? open.state->record().service : queue->service;
    if (service == open.service)
        return;
    open_by_service_[open.service].erase(open.state->id());
    open.service = service;
    if (!is_final(open.state->state()))
        open_by_service_[service].insert(open.state->id());
}

void job_scheduler::insert_job(std::unique_ptr<job> j)
{
    const job_id id = j->id();
    open_job& open = jobs_[id];
    open.step_runs.resize(j->record().spec.steps.size());
    open.times.resize(j->record().spec.steps.size());
    open.state = std::move(j);
    resolve_service(open);
    open.state->for_open_tasks([&](const task_position& p, task& t) {
        if (t.run)
            take_room(open, p, *t.run);
    });
    plan_needed_.insert(open.service);
}

void job_scheduler::add_job(job_record record, scheduler_time time)
{
    if (jobs_.contains(record.id))
        return;
    const std::int64_t age = time.unix_ms - record.accepted_ms;
    const job_id id = record.id;
    const std::string queue = record.queue.str();
    insert_job(std::make_unique<job>(std::move(record)));
    note(scheduler_event::job_added, id, nullptr, 0, {}, "queue " + queue, age);
}

bool job_scheduler::restore_job(job_record record, std::string_view progress, scheduler_time time)
{
    std::unique_ptr<job> j = std::make_unique<job>(std::move(record));
    const bool readable = restore_progress(*j, progress);
    const job_id id = j->id();
    const std::string state{name_of(j->state())};
    insert_job(std::move(j));
    note(scheduler_event::job_added, id, nullptr, 0, {}, "restored as " + state,
         time.unix_ms - jobs_.at(id).state->record().accepted_ms);
    return readable;
}

void job_scheduler::restore_finished(const job_id& id, job_state state)
{
    if (jobs_.contains(id))
        return;
    job_record record;
    record.id = id;
    open_job& open = jobs_[id];
    open.state = std::make_unique<job>(std::move(record));
    open.state->restore_final(state);
}

void job_scheduler::cancel_job(const job_id& id, scheduler_time time)
{
    open_job* open = find_open(id);
    if (open == nullptr || open->state->cancelled() || is_final(open->state->state()))
        return;
    open->state->cancel();
    note(scheduler_event::job_cancelled, id, nullptr, 0, {}, "caller",
         time.unix_ms - open->state->record().accepted_ms);
    mark_changed(*open->state);
    after_change(*open, time);
}

void job_scheduler::forget_job(const job_id& id)
{
    open_job* open = find_open(id);
    if (open == nullptr)
        return;
    open_by_service_[open->service].erase(id);
    with_runs_.erase(id);
    dirty_.erase(id);
    jobs_.erase(id);
}

const job* job_scheduler::find_job(const job_id& id) const
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.state.get();
}

std::vector<job_id> job_scheduler::finished_jobs() const
{
    std::vector<job_id> out;
    for (const auto& [id, open] : jobs_) {
        if (is_final(open.state->state()) && !dirty_.contains(id) && !with_runs_.contains(id))
            out.push_back(id);
    }
    return out;
}

std::size_t job_scheduler::waiting_jobs(const queue_id& queue) const
{
    std::size_t n = 0;
    for (const auto& [service, open] : open_by_service_) {
        n += static_cast<std::size_t>(std::count_if(open.begin(), open.end(), [&](const job_id& id) {
            const job& j = *jobs_.at(id).state;
            return j.record().queue == queue && !j.started() && !j.cancelled();
        }));
    }
    return n;
}

void job_scheduler::set_config(std::shared_ptr<const fleet_config> config)
{
    config_ = std::move(config);
    for (auto& [id, open] : jobs_)
        resolve_service(open);
    plan_all_services();
}

void job_scheduler::set_target(const target_info& info, scheduler_time time)
{
    const bool added = !targets_.contains(info.id);
    target_status& t = targets_[info.id];
    if (added) {
        t.lease_until =
            began_ +
            duration{static_cast<std::int64_t>(static_cast<double>(settings_.longest_lease.count()) *
                                               (1.0 + settings_.clock_drift))} +
            settings_.lease_margin;
        t.next_observation = time.now;
        t.info.id = info.id;
        adopt_restored_runs(t);
        note(scheduler_event::target_added, {}, nullptr, 0, info.id, info.service.str());
    } else if (t.info.state != info.state || t.info.service != info.service || !t.listed) {
        note(scheduler_event::target_changed, {}, nullptr, 0, info.id,
             info.state == target_state::draining ? "draining" : "ready");
    }
    const target_incarnation known = t.info.incarnation;
    t.info = info;
    if (!added) {
        t.info.incarnation = known;
        if (info.incarnation > known) {
            begin_life(t, info.incarnation, time);
            t.synced = false;
            t.next_observation = time.now;
        }
    }
    t.listed = true;
    t.cordoned = cordons_.contains(info.host);
    t.maintained_soon = maintained_soon_.contains(info.host);
    plan_needed_.insert(info.service);
}

void job_scheduler::adopt_restored_runs(target_status& t)
{
    for (const job_id& id : with_runs_) {
        job& j = *jobs_.at(id).state;
        j.for_open_tasks([&t, &j](const task_position& p, const task& it) {
            if (!it.run || it.run->target != t.info.id)
                return;
            t.used += counted_need(j.step(p.step));
            t.runs.insert({j.id(), p});
        });
    }
}

void job_scheduler::unlist_target(const target_id& id, scheduler_time time)
{
    target_status* t = find_target(id);
    if (t == nullptr || !t->listed)
        return;
    t->listed = false;
    t->next_observation = time.now;
    note(scheduler_event::target_unlisted, {}, nullptr, 0, id, "discovery");
}

target_status* job_scheduler::find_target(const target_id& id)
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : &it->second;
}

job_scheduler::open_job* job_scheduler::find_open(const job_id& id)
{
    const auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void job_scheduler::mark_changed(job& j)
{
    ++j.change;
    dirty_.insert(j.id());
}

void job_scheduler::take_room(open_job& open, const task_position& p, const task_run& run)
{
    const step_spec& step = open.state->step(p.step);
    team_use_[open.state->record().team] += step.need;
    with_runs_.insert(open.state->id());
    ++open.active_runs;
    ++open.step_runs[p.step][run.target];
    if (target_status* t = find_target(run.target)) {
        t->used += counted_need(step);
        t->runs.insert({open.state->id(), p});
    }
}

void job_scheduler::release_room(open_job& open, const task_position& p, const task_run& run)
{
    const step_spec& step = open.state->step(p.step);
    team_use_[open.state->record().team] -= step.need;
    if (--open.active_runs == 0)
        with_runs_.erase(open.state->id());
    std::map<target_id, std::uint32_t>& by_target = open.step_runs[p.step];
    const auto it = by_target.find(run.target);
    if (it != by_target.end() && --it->second == 0)
        by_target.erase(it);
    if (target_status* t = find_target(run.target)) {
        if (t->runs.erase({open.state->id(), p}) > 0)
            t->used -= counted_need(step);
        plan_needed_.insert(t->info.service);
    }
    plan_needed_.insert(open.service);
}

void job_scheduler::void_run(open_job& open, const task_position& p, const char* reason, scheduler_time time)
{
    task& t = open.state->at(p);
    if (!t.run)
        return;
    const task_run run = *t.run;
    const task_key key{open.state->id(), p};
    release_room(open, p, run);
    t.run.reset();
    note(scheduler_event::run_void, key.job, &key, run.number, run.target, reason);
    after_change(open, time);
}

void job_scheduler::after_change(open_job& open, scheduler_time time)
{
    job& j = *open.state;
    if (is_final(j.state()) || j.cancelled()) {
        j.for_open_tasks([&](const task_position& p, task& t) {
            if (!t.run)
                return;
            if (t.run->phase == run_phase::planned) {
                release_room(open, p, *t.run);
                t.run.reset();
            } else if (t.run->phase != run_phase::stopping) {
                stop_run(open, p, j.cancelled() ? "cancelled" : "job ended", time.now);
            }
        });
    }
    if (j.cancelled() && !is_final(j.state())) {
        j.settle_cancel();
        if (is_final(j.state()))
            mark_changed(j);
    }
    if (is_final(j.state()) && open_by_service_[open.service].erase(j.id()) > 0) {
        j.final_change = j.change;
        note(scheduler_event::job_finished, j.id(), nullptr, 0, {}, std::string{name_of(j.state())},
             time.unix_ms - j.record().accepted_ms);
    }
}

void job_scheduler::stop_run(open_job& open, const task_position& p, const char* reason, timestamp now)
{
    task& t = open.state->at(p);
    const task_key key{open.state->id(), p};
    t.run->phase = run_phase::stopping;
    note(scheduler_event::run_stop_requested, key.job, &key, t.run->number, t.run->target, reason);
    send_stop(key, *t.run, now);
}

void job_scheduler::send_stop(const task_key& key, task_run& run, timestamp now)
{
    run.ordered_at = now;
    run.answered_at = {};
    run.order_out = true;
    commands_.emplace_back(stop_command{ref_of(run.target), key, run.number});
}

target_ref job_scheduler::ref_of(const target_id& target) const
{
    const auto it = targets_.find(target);
    return {target, it == targets_.end() ? http_endpoint{} : it->second.info.endpoint};
}

std::vector<progress_write> job_scheduler::unstored(std::size_t most) const
{
    std::vector<progress_write> out;
    for (const job_id& id : dirty_) {
        if (out.size() >= most)
            break;
        const job& j = *jobs_.at(id).state;
        out.push_back({id, j.change, encode_progress(j)});
    }
    return out;
}

void job_scheduler::on_stored(const std::vector<progress_write>& writes, scheduler_time time)
{
    for (const progress_write& w : writes) {
        open_job* open = find_open(w.job);
        if (open == nullptr)
            continue;
        job& j = *open->state;
        j.stored = std::max(j.stored, w.change);
        if (j.stored == j.change)
            dirty_.erase(w.job);
        j.for_open_tasks([&](const task_position& p, task& t) {
            if (t.run && t.run->phase == run_phase::planned && t.run->planned_change <= j.stored)
                order_start(*open, p, time);
        });
    }
    for (auto& [id, t] : targets_) {
        if (!t.unstored.empty())
            note_stored_ends(t);
    }
}

std::vector<target_command> job_scheduler::take_commands()
{
    std::vector<target_command> out;
    out.swap(commands_);
    return out;
}

void job_scheduler::void_runs_of_target(target_status& t, const char* reason, scheduler_time time)
{
    for_runs(t, [&](open_job& open, const task_position& p, task_run&) { void_run(open, p, reason, time); });
}

void job_scheduler::leave_draining_targets(scheduler_time time)
{
    // A draining target ends with everything on it, so that work that does not end by itself moves now.
    for (auto& [id, t] : targets_) {
        if (t.info.state != target_state::draining || !t.reachable)
            continue;
        for_runs(t, [&](open_job& open, const task_position& p, const task_run& run) {
            if (open.state->step(p.step).permanent && run.phase == run_phase::running)
                stop_run(open, p, "target is draining", time.now);
        });
    }
}

void job_scheduler::tick(scheduler_time time)
{
    for (auto& [id, t] : targets_) {
        if (!t.runs.empty() && !t.reachable && time.now > t.lease_until) {
            note(scheduler_event::target_lost, {}, nullptr, 0, id, "lease over",
                 to_ms(time.now - t.lease_until));
            void_runs_of_target(t, "target lost", time);
            t.synced = false;
        }
    }
    std::erase_if(targets_, [&](const auto& entry) {
        const target_status& t = entry.second;
        return !t.listed && t.runs.empty() && !t.observing && time.now > t.lease_until;
    });
    leave_draining_targets(time);
    for_tasks_with_runs([&](open_job& open, const task_position& p, task& t) {
        if (t.run->order_out)
            return;
        // Runs restored from the store whose target is in no listing.
        if (!targets_.contains(t.run->target)) {
            if (time.now > began_ + settings_.longest_lease + settings_.lease_margin * 2)
                void_run(open, p, "target unknown", time);
            return;
        }
        // An answered stop waits for the next report, which shows what became of the run.
        if (t.run->phase == run_phase::stopping && t.run->answered_at == timestamp{} &&
            time.now - t.run->ordered_at > settings_.stop_retry)
            send_stop({open.state->id(), p}, *t.run, time.now);
    });
    if (time.now >= next_straggler_look_) {
        next_straggler_look_ = time.now + settings_.straggler_interval;
        move_stragglers(time);
    }
    // Waits of failed tasks, pauses of targets and due times end without an event.
    if (time.now >= next_full_plan_) {
        next_full_plan_ = time.now + settings_.full_plan_interval;
        plan_all_services();
    }
}

void job_scheduler::plan_all_services()
{
    for (const auto& [service, open] : open_by_service_) {
        if (!open.empty())
            plan_needed_.insert(service);
    }
}

} // namespace mjm
