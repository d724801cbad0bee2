#include "jobs/job_scheduler.h"

#include <algorithm>
#include <tuple>

namespace mjm {

namespace {

std::string to_text(const task& t)
{
    return "crashes " + std::to_string(t.crashes.crashes) + ", attributed " +
           std::to_string(t.crashes.attributed) + ", unresolved " + std::to_string(t.crashes.unresolved) +
           ", in a row " + std::to_string(t.streak.crashes);
}

} // namespace

void job_scheduler::lose_runs(target_status& t, const target_loss& loss, scheduler_time time)
{
    std::vector<task_key> concerned = loss.lost;
    concerned.insert(concerned.end(), loss.in_flight.begin(), loss.in_flight.end());
    std::vector<lost_run> suspects;
    if (loss.is_crash && !concerned.empty()) {
        suspects = possible_causes(concerned);
        record_crash(t.info.id, t.info.host, suspects, true, time);
    }
    for (const task_key& key : loss.lost) {
        if (open_job* open = find_open(key.job))
            discard_run(*open, key.position, loss.reason, time);
    }
    give_up_jobs(suspects, time);
}

std::vector<lost_run> job_scheduler::possible_causes(const std::vector<task_key>& keys)
{
    std::vector<lost_run> out;
    for (const task_key& key : keys) {
        const open_job* open = find_open(key.job);
        if (open == nullptr)
            continue;
        const std::optional<task_run>& run = open->state->at(key.position).run;
        if (!run || run->phase == run_phase::planned)
            continue;
        const bool restored = run->ordered_at == timestamp{};
        const timestamp since = restored ? run->answered_at : run->ordered_at;
        // A run that is listed may have been at work until shortly before the next report was due.
        const duration at_work = run->listed_at > since ? run->listed_at - since : duration{0};
        out.push_back({key, run->number, restored, run->on_probation, at_work + settings_.observation_wait});
    }
    return out;
}

void job_scheduler::record_crash(const target_id& target, const std::string& host,
                                 const std::vector<lost_run>& suspects, bool attributable,
                                 scheduler_time time)
{
    const auto earlier = crashed_hosts_.find(host);
    const bool distrusted = earlier != crashed_hosts_.end() && time.now < earlier->second;
    const auto on_probation = [](const lost_run& it) { return it.on_probation; };
    const auto only = std::find_if(suspects.begin(), suspects.end(), on_probation);
    const std::ptrdiff_t fresh = std::count_if(suspects.begin(), suspects.end(), on_probation);
    const bool attributed = attributable && fresh == 1 && !only->restored && !distrusted;
    log_event(scheduler_event::target_crashed, {}, nullptr, 0, target,
              std::to_string(fresh) + (attributed ? " suspect, attributed" : " suspects"));
    crash_rate_.note_crash();
    if (!host.empty())
        crashed_hosts_[host] = time.now + settings_.crashes.host_distrust;
    for (const lost_run& it : suspects) {
        open_job& open = *find_open(it.task.job);
        task& t = open.state->at(it.task.position);
        extend_streak(t.streak, it.at_work, crash_rate_, settings_.crash_streaks);
        if (it.on_probation)
            ++t.crashes.crashes;
        if (it.on_probation && attributed)
            ++t.crashes.attributed;
        on_history_changed(open, it, target);
    }
}

void job_scheduler::on_history_changed(open_job& open, const lost_run& lost, const target_id& target)
{
    const task& t = open.state->at(lost.task.position);
    if (must_be_isolated(t))
        isolated_tasks_.insert(lost.task);
    mark_changed(*open.state);
    if (is_suspected(t))
        log_event(scheduler_event::task_suspected, lost.task.job, &lost.task, lost.run, target, to_text(t));
}

void job_scheduler::give_up_jobs(const std::vector<lost_run>& suspects, scheduler_time time)
{
    for (const lost_run& it : suspects) {
        open_job* open = find_open(it.task.job);
        if (open == nullptr || is_final(open->state->state()) || open->state->cancelled())
            continue;
        const task& t = open->state->at(it.task.position);
        if (!exceeds_limit(t.crashes, settings_.crashes) &&
            !exceeds_limit(t.streak, t.crashes.attributed, settings_.crash_streaks))
            continue;
        log_event(scheduler_event::job_given_up, it.task.job, &it.task, it.run, {}, to_text(t));
        open->state->give_up();
        mark_changed(*open->state);
        after_change(*open, time);
    }
}

void job_scheduler::note_unresolved(open_job& open, const lost_run& lost, const target_id& target,
                                    scheduler_time time)
{
    task& t = open.state->at(lost.task.position);
    ++t.crashes.unresolved;
    on_history_changed(open, lost, target);
    if (must_be_isolated(t))
        t.not_before = time.now + (open.state->step(lost.task.position.step).permanent
                                       ? settings_.crashes.permanent_resolution_wait
                                       : settings_.crashes.resolution_wait);
}

void job_scheduler::lose_silent_target(target_status& t, scheduler_time time)
{
    const std::vector<lost_run> suspects = note_lost_target(t, time);
    for_runs(t, [&](const open_job& open, const task_position& p, const task_run& run) {
        note_given_up(open, p, t.info.host, run.on_probation && t.expected_to_stay());
    });
    discard_runs_of_target(t, "target lost", time);
    give_up_jobs(suspects, time);
    // A successor that was added before the lease was over has not resolved the loss.
    resolve_if_succeeded(t.info.id, time);
}

void job_scheduler::resolve_if_succeeded(const target_id& id, scheduler_time time)
{
    const auto lost = lost_targets_.find(id);
    if (lost == lost_targets_.end())
        return;
    const auto successor = std::find_if(targets_.begin(), targets_.end(), [&lost](const auto& entry) {
        const target_info& info = entry.second.info;
        const bool same_host = !info.host.empty() && info.host == lost->second.host;
        return (same_host || info.id == lost->first) && info.incarnation > lost->second.incarnation;
    });
    if (successor != targets_.end())
        resolve_lost_target(id, successor->second.info.incarnation, time);
}

std::vector<lost_run> job_scheduler::note_lost_target(const target_status& t, scheduler_time time)
{
    if (!t.expected_to_stay())
        return {};
    lost_target lost{t.info.host, t.info.incarnation, time.now,
                     possible_causes({t.runs.begin(), t.runs.end()})};
    for (const lost_run& it : lost.runs) {
        if (it.on_probation)
            note_unresolved(*find_open(it.task.job), it, t.info.id, time);
    }
    std::vector<lost_run> runs = lost.runs;
    if (!runs.empty())
        lost_targets_[t.info.id] = std::move(lost);
    return runs;
}

void job_scheduler::resolve_lost_target(const target_id& id, std::optional<target_incarnation> incarnation,
                                        scheduler_time time)
{
    const auto it = lost_targets_.find(id);
    if (it == lost_targets_.end())
        return;
    const lost_target lost = std::move(it->second);
    lost_targets_.erase(it);
    given_up_.clear_suspects(id);
    const bool crashed = incarnation != lost.incarnation;
    std::vector<lost_run> suspects;
    for (const lost_run& run : lost.runs) {
        open_job* open = find_open(run.task.job);
        if (open == nullptr || is_final(open->state->state()))
            continue;
        task& t = open->state->at(run.task.position);
        // A run that was at work since then has cleared the task.
        if (t.done || t.passed_probation > run.run)
            continue;
        if (run.on_probation) {
            if (t.crashes.unresolved > 0 && --t.crashes.unresolved == 0)
                t.not_before = std::min(t.not_before, time.now);
            mark_changed(*open->state);
        }
        suspects.push_back(run);
    }
    if (!crashed)
        return;
    // The target may have been silent for long before it crashed.
    record_crash(id, lost.host, suspects, false, time);
    give_up_jobs(suspects, time);
}

void job_scheduler::resolve_predecessors(const target_info& successor, scheduler_time time)
{
    std::vector<target_id> ended;
    for (const auto& [id, lost] : lost_targets_) {
        const bool same_host = !successor.host.empty() && lost.host == successor.host;
        if ((id == successor.id || same_host) && lost.incarnation < successor.incarnation)
            ended.push_back(id);
    }
    for (const target_id& id : ended)
        resolve_lost_target(id, successor.incarnation, time);
}

bool job_scheduler::is_suspected(const task& t) const
{
    return !t.crashes.empty() || needs_separation(t.streak, settings_.crash_streaks);
}

bool job_scheduler::must_be_isolated(const task& t) const
{
    return needs_isolation(t.crashes) || needs_isolation(t.streak, settings_.crash_streaks);
}

void job_scheduler::check_probation(open_job& open, const task_position& p, timestamp sent_at, timestamp now)
{
    task& t = open.state->at(p);
    t.run->listed_at = now;
    if (t.run->phase != run_phase::running || t.run->answered_at == timestamp{})
        return;
    const duration at_work = sent_at - t.run->answered_at;
    const bool separated = needs_separation(t.streak, settings_.crash_streaks);
    if (!t.streak.empty() && at_work >= t.streak.survival_time()) {
        t.streak = {};
        mark_changed(*open.state);
        plan_needed_.insert(open.service);
    }
    if (t.run->on_probation && at_work >= settings_.crashes.probation && (!separated || t.streak.empty()))
        pass_probation(open, p);
}

void job_scheduler::pass_probation(open_job& open, const task_position& p)
{
    task& t = open.state->at(p);
    end_probation(*t.run);
    t.run->on_probation = false;
    t.passed_probation = t.run->number;
    // The next leader must not suspect a run that has been at work for long.
    if (open.state->step(p.step).permanent)
        mark_changed(*open.state);
    clear_crash_history(open, t);
}

void job_scheduler::clear_crash_history(open_job& open, task& t)
{
    if (t.crashes.empty())
        return;
    t.crashes = {};
    mark_changed(*open.state);
    plan_needed_.insert(open.service);
}

void job_scheduler::start_probation(const task_run& run)
{
    target_status* t = find_target(run.target);
    if (t == nullptr || !run.on_probation)
        return;
    ++t->runs_on_probation;
    if (run.suspected)
        ++t->suspected_runs;
}

void job_scheduler::end_probation(const task_run& run)
{
    target_status* t = find_target(run.target);
    if (t == nullptr || !run.on_probation)
        return;
    --t->runs_on_probation;
    if (run.suspected)
        --t->suspected_runs;
}

bool job_scheduler::awaits_isolation(const task_key& key)
{
    const open_job* open = find_open(key.job);
    if (open == nullptr || is_final(open->state->state()) || open->state->cancelled())
        return false;
    const task& t = open->state->at(key.position);
    return !t.done && must_be_isolated(t);
}

bool job_scheduler::keeps_place(const target_status& t, const task_key& key, timestamp now)
{
    const open_job& open = *find_open(key.job);
    if (!t.kept_for_isolation || t.info.service != open.service)
        return false;
    return t.runs.contains(key) || ((accepts_work(t, now) || accepts_expiring_run(t, now)) &&
                                    within_cap(open, open.state->step(key.position.step)));
}

void job_scheduler::update_isolation(scheduler_time time)
{
    std::erase_if(isolated_tasks_, [this](const task_key& key) { return !awaits_isolation(key); });
    std::erase_if(isolation_targets_, [this, &time](const auto& entry) {
        target_status* t = find_target(entry.second.target);
        if (t != nullptr && isolated_tasks_.contains(entry.first) && keeps_place(*t, entry.first, time.now))
            return false;
        if (t != nullptr) {
            t->kept_for_isolation = false;
            plan_needed_.insert(t->info.service);
        }
        return true;
    });
}

void job_scheduler::plan_isolated_tasks(const service_id& service, const std::vector<target_status*>& pool,
                                        scheduler_time time)
{
    for (const task_key& key : isolated_tasks_) {
        open_job& open = *find_open(key.job);
        const step_spec& step = open.state->step(key.position.step);
        const task& t = open.state->at(key.position);
        if (open.service != service || t.run || time.now < t.not_before ||
            !open.state->due(key.position.occurrence, time.unix_ms) ||
            !open.state->step_ready(key.position.occurrence, key.position.step) || !within_cap(open, step))
            continue;
        placement_request request = placement_of(open, key.position);
        request.isolated = true;
        target_status* target = keep_target_for(key, request, pool, time);
        if (target == nullptr)
            continue;
        if (choose_target(request, {target}, time.now) != nullptr)
            plan_task(open, key.position, *target, time);
        else if (time.now - isolation_targets_.at(key).since > settings_.crashes.isolation_wait)
            yield_target(key, time.now);
    }
}

target_status* job_scheduler::keep_target_for(const task_key& key, const placement_request& request,
                                              const std::vector<target_status*>& pool, scheduler_time time)
{
    const auto kept = isolation_targets_.find(key);
    if (kept != isolation_targets_.end()) {
        target_status* t = find_target(kept->second.target);
        target_status* free = has_place(*t, request) ? nullptr : best_for_isolation(request, pool, time.now);
        if (free == nullptr || !has_place(*free, request))
            return t;
        t->kept_for_isolation = false;
        free->kept_for_isolation = true;
        kept->second.target = free->info.id;
        return free;
    }
    const auto in_use =
        std::count_if(pool.begin(), pool.end(), [](const target_status* t) { return t->kept_for_isolation; });
    const double limit = std::max(1.0, static_cast<double>(pool.size()) * settings_.crashes.isolation_share);
    if (static_cast<double>(in_use) + 1.0 > limit)
        return nullptr;
    target_status* best = best_for_isolation(request, pool, time.now);
    if (best != nullptr) {
        best->kept_for_isolation = true;
        isolation_targets_[key] = {best->info.id, time.now};
    }
    return best;
}

void job_scheduler::yield_target(const task_key& key, timestamp now)
{
    const auto kept = isolation_targets_.find(key);
    find_target(kept->second.target)->kept_for_isolation = false;
    isolation_targets_.erase(kept);
    find_open(key.job)->state->at(key.position).not_before = now + settings_.crashes.isolation_pause;
}

target_status* job_scheduler::best_for_isolation(const placement_request& request,
                                                 const std::vector<target_status*>& pool, timestamp now) const
{
    // A crash of a host that has crashed before would tell nothing about the task.
    const auto cost = [&](const target_status* t) {
        const auto crashed = crashed_hosts_.find(t->info.host);
        return std::tuple{t->retired(), crashed != crashed_hosts_.end() && now < crashed->second,
                          !has_place(*t, request), t->runs_on_probation, t->runs.size()};
    };
    target_status* best = nullptr;
    for (target_status* t : pool) {
        if (!t->kept_for_isolation && could_run(*t, request) && (best == nullptr || cost(t) < cost(best)))
            best = t;
    }
    return best;
}

void job_scheduler::forget_old_crashes(timestamp now)
{
    crash_rate_.advance(
        now, static_cast<std::size_t>(std::count_if(targets_.begin(), targets_.end(), [](const auto& entry) {
            return !entry.second.runs.empty();
        })));
    std::erase_if(crashed_hosts_, [now](const auto& entry) { return now >= entry.second; });
    std::erase_if(lost_targets_, [this, now](const auto& entry) {
        if (now - entry.second.lost_at <= settings_.crashes.resolution_time)
            return false;
        given_up_.clear_suspects(entry.first);
        return true;
    });
}

} // namespace mjm
