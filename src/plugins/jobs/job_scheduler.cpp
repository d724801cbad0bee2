#include "jobs/job_scheduler.h"

#include "jobs/job_codec.h"

#include <algorithm>

namespace mjm {

namespace {

// Limits the interval between two stops without an answer to 8 times the first one, 2.4 s. A report of the
// target repeats the stop sooner.
constexpr int max_stop_doublings = 3;

/// Tells for the log how the end of the target's lease is known.
std::string lease_basis(const target_status& t, timestamp now)
{
    if (t.lease_granted_at == timestamp{})
        return "assumed from the start of the term";
    return "granted " + std::to_string(to_ms(now - t.lease_granted_at)) + " ms before with a clock read " +
           std::to_string(to_ms(t.lease_clock_age)) + " ms earlier";
}

/// Whether two entries of a target differ at most in its incarnation.
bool same_registration(const target_info& a, const target_info& b)
{
    return a.state == b.state && a.service == b.service && a.capacity == b.capacity &&
           a.endpoint == b.endpoint && a.host == b.host && a.zone == b.zone && a.rack == b.rack &&
           a.labels == b.labels && a.warm_at == b.warm_at;
}

} // namespace

job_scheduler::job_scheduler(scheduler_settings settings, fencing_token token, scheduler_time time,
                             log_handler handler)
    : settings_{settings}, token_{token}, latest_token_{token}, leases_{settings.leases, time.now},
      run_times_{settings.run_times}, log_handler_{std::move(handler)},
      config_{std::make_shared<fleet_config>()}, crash_rate_{settings.crash_streaks, time.now}
{
}

void job_scheduler::log_event(scheduler_event event, const job_id& id, const task_key* task, run_number run,
                              const target_id& target, std::string reason, std::int64_t age_ms)
{
    if (log_handler_)
        log_handler_({event, id, task == nullptr ? std::nullopt : std::optional{*task}, run, target,
                      std::move(reason), age_ms});
}

void job_scheduler::resolve_service(open_job& open)
{
    // Jobs of a queue that has been removed stay with the service for which they were accepted.
    open.queue = config_->find_queue(open.state->record().queue);
    const service_id service = open.queue == nullptr ? open.state->record().service : open.queue->service;
    note_changed(open); // The queue's objective may differ.
    if (service == open.service)
        return;
    unrank(open);
    queues_[open.service].jobs.erase(open.state->id());
    open.service = service;
    if (!is_final(open.state->state()))
        queues_[service].jobs.emplace(open.state->id(), &open);
}

void job_scheduler::insert_job(std::unique_ptr<job> j)
{
    const job_id id = j->id();
    open_job& open = jobs_[id];
    open.step_runs.resize(j->record().spec.steps.size());
    open.times.resize(j->record().spec.steps.size());
    open.state = std::move(j);
    expect_run_times(open);
    resolve_service(open);
    open.state->for_open_tasks([&](const task_position& p, task& t) {
        if (must_be_isolated(t))
            isolated_tasks_.insert({id, p});
        if (!t.run)
            return;
        t.run->suspected = is_suspected(t);
        reserve_capacity(open, p, *t.run);
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
    log_event(scheduler_event::job_added, id, nullptr, 0, {}, "queue " + queue, age);
}

void job_scheduler::cancel_job(const job_id& id, scheduler_time time)
{
    open_job* open = find_open(id);
    if (open == nullptr || open->state->cancelled() || is_final(open->state->state()))
        return;
    open->state->cancel();
    log_event(scheduler_event::job_cancelled, id, nullptr, 0, {}, "caller",
              time.unix_ms - open->state->record().accepted_ms);
    mark_changed(*open->state);
    after_change(*open, time);
}

void job_scheduler::forget_job(const job_id& id)
{
    open_job* open = find_open(id);
    if (open == nullptr)
        return;
    unrank(*open);
    std::erase(changed_jobs_, open);
    queues_[open->service].jobs.erase(id);
    jobs_with_runs_.erase(id);
    unstored_.remove(id);
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
        if (is_final(open.state->state()) && !unstored_.contains(id) && !jobs_with_runs_.contains(id))
            out.push_back(id);
    }
    return out;
}

void job_scheduler::set_config(std::shared_ptr<const fleet_config> config)
{
    config_ = std::move(config);
    for (auto& [id, open] : jobs_)
        resolve_service(open);
    plan_all_services();
}

bool job_scheduler::set_target(const target_info& info, scheduler_time time)
{
    const auto [it, added] = targets_.try_emplace(info.id);
    target_status& t = it->second;
    // Most entries are heartbeats, which change nothing.
    if (!added && t.listed && t.registered_incarnation == info.incarnation && same_registration(t.info, info))
        return false;
    if (added) {
        t.lease_until = leases_.earlier_leases_over_at(info.id);
        t.lease_wait_stored = stored_waits_.contains(info.id);
        t.next_observation = time.now;
        t.info.id = info.id;
        t.fence = target_fence{latest_token_, latest_token_ != token_};
        account_restored_runs(t);
        targets_by_service_[info.service].emplace(info.id, &t);
        log_event(scheduler_event::target_added, {}, nullptr, 0, info.id, info.service.str());
    } else if (t.info.state != info.state || t.info.service != info.service || !t.listed) {
        log_event(scheduler_event::target_changed, {}, nullptr, 0, info.id,
                  info.state == target_state::draining ? "draining" : "ready");
    }
    t.registered_incarnation = info.incarnation;
    if (added) {
        t.info = info;
        t.incarnation_known_at = time.now;
        given_up_.on_incarnation(info.id, info.incarnation, info.host);
        resolve_predecessors(info, time);
        end_ordered_predecessors(info, time);
    } else {
        if (info.incarnation > t.info.incarnation) {
            on_target_restart(t, info.incarnation, time);
            t.synced = false;
            t.next_observation = time.now;
        }
        set_service_of_target(t, info.service);
        const target_incarnation known = t.info.incarnation;
        t.info = info;
        t.info.incarnation = known;
    }
    t.listed = true;
    t.cordon = cordons_.cordon_of(info.host);
    t.maintained_soon = cordons_.maintained_soon.contains(info.host);
    t.evacuated = evacuation_.zones.contains(info.zone);
    plan_needed_.insert(info.service);
    return true;
}

void job_scheduler::set_service_of_target(target_status& t, const service_id& service)
{
    if (t.info.service == service)
        return;
    targets_by_service_[t.info.service].erase(t.info.id);
    targets_by_service_[service].emplace(t.info.id, &t);
}

void job_scheduler::account_restored_runs(target_status& t)
{
    for (const auto& [id, open] : jobs_with_runs_) {
        job& j = *open->state;
        j.for_open_tasks([this, &t, &j](const task_position& p, task& it) {
            if (!it.run || it.run->target != t.info.id)
                return;
            t.used += counted_need(j.step(p.step));
            t.runs.insert({j.id(), p});
            it.run->on_known_target = true;
            start_probation(*it.run);
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
    log_event(scheduler_event::target_unlisted, {}, nullptr, 0, id, "discovery");
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
    ++j.last_change;
    unstored_.add(j.id());
}

void job_scheduler::reserve_capacity(open_job& open, const task_position& p, task_run& run)
{
    const step_spec& step = open.state->step(p.step);
    team_use_[open.state->record().team] += step.need;
    jobs_with_runs_.emplace(open.state->id(), &open);
    note_changed(open);
    ++open.active_runs;
    ++open.step_runs[p.step][run.target];
    if (target_status* t = find_target(run.target)) {
        t->used += counted_need(step);
        t->runs.insert({open.state->id(), p});
        run.on_known_target = true;
        start_probation(run);
    }
}

void job_scheduler::release_capacity(open_job& open, const task_position& p, const task_run& run)
{
    const step_spec& step = open.state->step(p.step);
    team_use_[open.state->record().team] -= step.need;
    note_changed(open);
    if (--open.active_runs == 0)
        jobs_with_runs_.erase(open.state->id());
    std::map<target_id, std::uint32_t>& by_target = open.step_runs[p.step];
    const auto it = by_target.find(run.target);
    if (it != by_target.end() && --it->second == 0)
        by_target.erase(it);
    if (target_status* t = find_target(run.target)) {
        if (t->runs.erase({open.state->id(), p}) > 0) {
            t->used -= counted_need(step);
            end_probation(run);
        }
        plan_needed_.insert(t->info.service);
    }
    plan_needed_.insert(open.service);
}

void job_scheduler::note_need(unknown_run& unknown, const open_job& open, const task_position& p) const
{
    const step_spec& step = open.state->step(p.step);
    unknown.need = counted_need(step);
    unknown.team = open.state->record().team;
    unknown.team_need = step.need;
}

void job_scheduler::release_unknown_runs(const unknown_run_map& runs)
{
    for (const auto& [run, it] : runs) {
        if (it.need)
            team_use_[it.team] -= it.team_need;
    }
}

void job_scheduler::discard_run(open_job& open, const task_position& p, const char* reason,
                                scheduler_time time)
{
    task& t = open.state->at(p);
    if (!t.run)
        return;
    const task_run run = *t.run;
    const task_key key{open.state->id(), p};
    release_capacity(open, p, run);
    t.run.reset();
    // The store must not keep the run, or each next leader would wait for it again.
    if (run.planned_change <= open.state->stored_change)
        mark_changed(*open.state);
    log_event(scheduler_event::run_discarded, key.job, &key, run.number, run.target, reason);
    after_change(open, time);
}

void job_scheduler::after_change(open_job& open, scheduler_time time)
{
    job& j = *open.state;
    note_changed(open);
    if (is_final(j.state()) || j.cancelled()) {
        j.for_open_tasks([&](const task_position& p, task& t) {
            if (!t.run)
                return;
            if (t.run->phase == run_phase::planned) {
                release_capacity(open, p, *t.run);
                t.run.reset();
            } else if (t.run->phase != run_phase::stopping) {
                stop_run(open, p, j.cancelled() ? "cancelled" : "job ended", time.now);
            }
        });
    }
    if (j.cancelled() && !is_final(j.state())) {
        j.finish_cancellation();
        if (is_final(j.state()))
            mark_changed(j);
    }
    if (is_final(j.state()) && queues_[open.service].jobs.erase(j.id()) > 0) {
        j.final_change = j.last_change;
        log_event(scheduler_event::job_finished, j.id(), nullptr, 0, {}, std::string{name_of(j.state())},
                  time.unix_ms - j.record().accepted_ms);
    }
}

void job_scheduler::stop_run(open_job& open, const task_position& p, const char* reason, timestamp now)
{
    task& t = open.state->at(p);
    const task_key key{open.state->id(), p};
    t.run->phase = run_phase::stopping;
    log_event(scheduler_event::run_stop_requested, key.job, &key, t.run->number, t.run->target, reason);
    send_stop(key, *t.run, now);
}

void job_scheduler::send_stop(const task_key& key, task_run& run, timestamp now)
{
    run.ordered_at = now;
    run.answered_at = {};
    run.order_pending = true;
    ++run.unanswered_stops;
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
    for (const auto& [number, id] : unstored_.jobs()) {
        if (out.size() >= most)
            break;
        const job& j = *jobs_.at(id).state;
        out.push_back({id, j.last_change, encode_progress(j)});
    }
    return out;
}

void job_scheduler::on_stored(const std::vector<progress_write>& writes, scheduler_time time,
                              fencing_token revision)
{
    latest_token_ = std::max(latest_token_, revision);
    for (const progress_write& w : writes) {
        open_job* open = find_open(w.job);
        if (open == nullptr)
            continue;
        job& j = *open->state;
        j.stored_change = std::max(j.stored_change, w.change);
        unstored_.remove(w.job);
        if (j.stored_change != j.last_change)
            unstored_.add(w.job);
        j.for_open_tasks([&](const task_position& p, task& t) {
            if (t.run && t.run->phase == run_phase::planned && t.run->planned_change <= j.stored_change)
                order_start(*open, p, time);
        });
    }
    for (auto it = with_unstored_ends_.begin(); it != with_unstored_ends_.end();) {
        target_status* const t = find_target(*it);
        if (t != nullptr)
            drop_stored_ends(*t);
        if (t == nullptr || t->unstored.empty())
            it = with_unstored_ends_.erase(it);
        else
            ++it;
    }
}

std::vector<target_command> job_scheduler::take_commands(scheduler_time time)
{
    withdraw_starts(time);
    for (target_command& command : commands_) {
        start_command* const start = std::get_if<start_command>(&command);
        if (start == nullptr)
            continue;
        start->order.send_until = std::min(views_recent_until(), leases_.leader_lease_until());
        jobs_.at(start->order.task.job).state->at(start->order.task.position).last_sent_run =
            start->order.run;
    }
    return std::exchange(commands_, {});
}

void job_scheduler::move_off_draining_targets(scheduler_time time)
{
    // A leader that may have been replaced can't start the tasks elsewhere.
    if (!leases_.may_grant(time.now))
        return;
    // All runs of a draining target end with it, so tasks that do not end by themselves move now.
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
        if (t.reachable || time.now <= t.lease_until || time.now <= lease_over_at(t))
            continue;
        release_unknown_runs(std::exchange(t.unknown_runs, {}));
        if (!t.runs.empty()) {
            log_event(scheduler_event::target_lost, {}, nullptr, 0, id,
                      "lease expired, " + lease_basis(t, time.now), to_ms(time.now - t.lease_until));
            lose_silent_target(t, time);
            t.synced = false;
        }
    }
    std::erase_if(targets_, [&](const auto& entry) {
        const target_status& t = entry.second;
        if (t.listed || !t.runs.empty() || !t.unstored.empty() || t.observing || time.now <= t.lease_until)
            return false;
        release_unknown_runs(t.unknown_runs);
        targets_by_service_[t.info.service].erase(entry.first);
        paces_.erase(entry.first);
        run_times_.forget_target(entry.first);
        return true;
    });
    if (time.now >= next_run_check_) {
        next_run_check_ = time.now + settings_.run_check_interval;
        move_off_draining_targets(time);
        check_runs(time);
        check_evacuation(time);
        for (const target_id& id : std::exchange(restored_losses_, {}))
            resolve_if_succeeded(id, time);
        forget_old_crashes(time.now);
    }
    // No event tells when a failed task may start again, a target is no longer avoided, or an occurrence is
    // due.
    if (time.now >= next_full_plan_) {
        next_full_plan_ = time.now + settings_.full_plan_interval;
        plan_all_services();
    }
}

bool job_scheduler::stop_failed(const task_run& run, duration interval, timestamp now)
{
    return run.phase == run_phase::stopping && !run.order_pending && run.answered_at == timestamp{} &&
           now - run.ordered_at > interval;
}

void job_scheduler::check_runs(scheduler_time time)
{
    silent_targets_.clear();
    for (const auto& [id, t] : targets_) {
        const bool silent = !t.reachable || (t.lease_wait_stored && !t.synced);
        if (silent && !t.runs.empty())
            note_silent_target(id, lease_over_at(t));
    }
    for_tasks_with_runs([&](open_job& open, const task_position& p, task& t) {
        if (t.run->order_pending)
            return;
        // The run was restored from the store, and its target has not been listed since.
        if (!t.run->on_known_target) {
            const timestamp over_at = leases_.earlier_leases_over_at(t.run->target);
            if (time.now <= over_at)
                note_silent_target(t.run->target, over_at);
            else {
                const lost_run lost{{open.state->id(), p}, t.run->number, true, true, {}};
                note_given_up(open, p, {}, t.run->on_probation);
                if (t.run->on_probation) {
                    note_unresolved(open, lost, t.run->target, time);
                    lost_target& target = lost_targets_[t.run->target];
                    target.incarnation = t.run->incarnation;
                    target.lost_at = time.now;
                    target.runs.push_back(lost);
                }
                discard_run(open, p, "target unknown", time);
                give_up_jobs({lost}, time);
            }
            return;
        }
        // After a confirmed stop, the target's next report shows whether the run has ended.
        const int doublings = std::clamp(t.run->unanswered_stops - 1, 0, max_stop_doublings);
        if (stop_failed(*t.run, settings_.stop_retry * (1 << doublings), time.now))
            send_stop({open.state->id(), p}, *t.run, time.now);
    });
}

} // namespace mjm
