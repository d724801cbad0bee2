#include "jobs/job_scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mjm {

namespace {

// Limits the wait to 64 times the first one, about 3 s, which is less than callers wait for a job that can
// still succeed.
constexpr std::size_t max_backoff_doublings = 6;

// Longest time between two answers of a target that are handled in the opposite order.
constexpr std::chrono::seconds max_answer_delay{3};

} // namespace

void job_scheduler::set_clock(target_status& t, std::int64_t clock_ms, timestamp now)
{
    // Only the clock of a restarted target goes back by more than answers overtake each other. What it runs
    // has the longest lease then, since deadlines were times on the former clock.
    if (t.clock && t.clock->shown_ms - clock_ms > to_ms(max_answer_delay))
        t.lease_until = std::max(t.lease_until, leases_.longest_lease_over_at(now));
    t.clock = clock_reading{clock_ms, now};
    t.clock_doubtful = false;
}

task_run* job_scheduler::apply_answer(const target_id& target, const task_key& key, run_number run,
                                      const tl::expected<order_answer, order_errc>& answer,
                                      scheduler_time time)
{
    target_status* t = find_target(target);
    if (answer && t != nullptr)
        set_clock(*t, answer->clock_ms, time.now);
    if (!answer && answer.error() == order_errc::fenced)
        on_fenced_order(t, time);
    if (!answer && answer.error() == order_errc::other_instance && t != nullptr)
        on_other_instance(*t, time);
    open_job* open = find_open(key.job);
    if (open == nullptr || !open->state->contains(key.position))
        return nullptr;
    task& it = open->state->at(key.position);
    if (!it.run || it.run->number != run || it.run->target != target)
        return nullptr;
    it.run->order_pending = false;
    if (answer) {
        it.run->answered_at = time.now;
        it.run->unanswered_stops = 0;
        if (t != nullptr && !t->observing)
            t->next_observation = std::min(t->next_observation, time.now);
    }
    return &*it.run;
}

void job_scheduler::on_start_answer(const target_id& target, const task_key& key, run_number run,
                                    const tl::expected<order_answer, order_errc>& answer, scheduler_time time)
{
    if (!answer && answer.error() == order_errc::other_instance)
        discard_unreceived_start(target, key, run, time);
    task_run* ordered = apply_answer(target, key, run, answer, time);
    if (ordered == nullptr)
        return;
    open_job& open = jobs_.at(key.job);
    if (answer) {
        open.state->mark_started();
        ordered->confirmed_clock_ms = answer->clock_ms;
        if (ordered->phase == run_phase::ordered)
            ordered->phase = run_phase::running;
        if (target_status* started_on = find_target(target))
            pace_started_run(*started_on, open, key, run, time.now);
        return;
    }
    target_status* t = find_target(target);
    const order_errc ec = answer.error();
    switch (ec) {
    case order_errc::no_answer:
        if (ordered->phase == run_phase::ordered)
            ordered->phase = run_phase::unconfirmed;
        if (t != nullptr && !t->observing)
            t->next_observation = time.now;
        return;
    case order_errc::no_capacity:
    case order_errc::unhealthy:
    case order_errc::rejected:
    case order_errc::bad_ticket:
        if (t != nullptr)
            t->avoid_until = std::max(t->avoid_until, time.now + settings_.refusal_pause);
        break;
    case order_errc::too_late:
        if (t != nullptr)
            on_late_start(*t, time.now);
        break;
    case order_errc::not_sent:
        if (t != nullptr) {
            t->reachable = false;
            t->next_observation = std::min(t->next_observation, time.now);
        }
        break;
    default:
        break;
    }
    discard_run(open, key.position, name_of(ec).data(), time);
}

void job_scheduler::on_late_start(target_status& t, timestamp now)
{
    t.clock_doubtful = true;
    if (!t.observing)
        t.next_observation = now;
    if (!t.expiring)
        return;
    ++t.late_expiring_starts;
    t.avoid_until = std::max(t.avoid_until, now + settings_.refusal_pause);
}

void job_scheduler::discard_unreceived_start(const target_id& target, const task_key& key, run_number run,
                                             scheduler_time time)
{
    open_job* open = find_open(key.job);
    if (open == nullptr || !open->state->contains(key.position))
        return;
    const std::optional<task_run>& current = open->state->at(key.position).run;
    if (current && current->number == run && current->target == target &&
        current->phase == run_phase::ordered)
        discard_run(*open, key.position, name_of(order_errc::other_instance).data(), time);
}

bool job_scheduler::on_stop_answer(const target_id& target, const task_key& key, run_number run,
                                   const tl::expected<order_answer, order_errc>& answer, scheduler_time time)
{
    // Whether the run has ended is read from the target's next report.
    task_run* const stopped = apply_answer(target, key, run, answer, time);
    if (stopped == nullptr)
        return !answer;
    const std::optional<order_errc> error = answer ? std::nullopt : std::optional{answer.error()};
    return std::exchange(stopped->stop_error, error) != error;
}

void job_scheduler::on_other_instance(target_status& t, scheduler_time time)
{
    unlist_target(t.info.id, time);
    t.reachable = false;
    resolve_lost_target(t.info.id, std::nullopt, time);
    given_up_.on_target_ended(t.info.id);
    lose_runs(t,
              {{t.runs.begin(), t.runs.end()}, {}, "address belongs to another target", t.expected_to_stay()},
              time);
}

std::vector<target_id> job_scheduler::due_observations(timestamp now) const
{
    std::vector<target_id> out;
    for (const auto& [id, t] : targets_) {
        if (t.observing || now < t.next_observation)
            continue;
        const bool clock_too_old = t.clock_doubtful || (t.clock && leases_.too_old(*t.clock, now));
        if (!t.synced || !t.reachable || !t.runs.empty() || !t.unknown_runs.empty() ||
            t.ends_acknowledged < t.last_end_to_acknowledge() || clock_too_old)
            out.push_back(id);
    }
    return out;
}

bool job_scheduler::has_stopped_run(const target_status& t) const
{
    return std::any_of(t.runs.begin(), t.runs.end(), [this](const task_key& key) {
        const auto open = jobs_.find(key.job);
        if (open == jobs_.end())
            return false;
        const std::optional<task_run>& run = open->second.state->at(key.position).run;
        return run && run->phase == run_phase::stopping && run->answered_at != timestamp{};
    });
}

lease_request job_scheduler::begin_observation(const target_id& target, timestamp now)
{
    target_status& t = targets_.at(target);
    t.observing = true;
    lease_request request;
    request.token = t.fence.raise(latest_token_, now);
    const std::uint64_t stored = t.acknowledgeable_ends();
    // The target may have restarted unnoticed and have begun to count its ends anew. So nothing is
    // acknowledged after an observation without an answer, nor a second time.
    request.ends_acknowledged = stored > t.ends_acknowledged && t.missed_observations == 0 ? stored : 0;
    t.acknowledgement_in_flight = request.ends_acknowledged;
    // The lease of a target that fails to answer is not extended, so that the time by which its runs have
    // stopped stays fixed.
    if (t.clock && !t.runs.empty() && t.missed_observations == 0 && t.reachable && !t.lease_wait_stored &&
        !t.expiring) {
        const std::optional<granted_lease> lease = leases_.grant(*t.clock, now);
        request.lease_withheld = !lease;
        if (lease) {
            request.deadline_ms = lease->deadline_ms;
            note_lease(t, *lease, now);
        }
    }
    if (t.synced && t.reachable && !(t.runs.empty() && t.unknown_runs.empty()) && t.unstored.empty() &&
        t.listed_all && t.ordered_down_at == timestamp{} && !has_stopped_run(t))
        request.wait = observation_wait(t, now);
    return request;
}

void job_scheduler::on_report(const target_id& target, const tl::expected<target_report, order_errc>& report,
                              timestamp sent_at, scheduler_time time)
{
    target_status* t = find_target(target);
    if (t == nullptr)
        return;
    t->observing = false;
    if (!report) {
        on_no_report(*t, report.error(), sent_at, time);
        return;
    }
    if (report->incarnation < t->info.incarnation && sent_at <= t->incarnation_known_at) {
        t->next_observation = time.now;
        return;
    }
    const bool newly_usable = !t->reachable || !t->synced;
    t->missed_observations = 0;
    silent_targets_.erase(target);
    if (!t->reachable) {
        t->reachable = true;
        log_event(scheduler_event::target_reachable, {}, nullptr, 0, target, {}, to_ms(time.now - sent_at));
    }
    if (t->ordered_down_at != timestamp{} && sent_at > t->ordered_down_at &&
        report->incarnation == t->info.incarnation) {
        t->ordered_down_at = {};
        t->leaving = false;
    }
    if (report->incarnation != t->info.incarnation)
        on_target_restart(*t, report->incarnation, time);
    resolve_lost_target(target, report->incarnation, time);
    t->ends_acknowledged = std::max(t->ends_acknowledged, t->acknowledgement_in_flight);
    set_clock(*t, report->clock_ms, time.now);
    t->synced = true;
    t->listed_all = report->complete;
    t->ends_until_cut_off = report->ends_until_cut_off;
    for (const listed_end& end : report->ended) {
        if (end.sequence <= t->ends_seen)
            continue;
        t->ends_seen = end.sequence;
        on_listed_end(*t, end, time);
    }
    if (report->unreadable_end)
        withhold_unreadable_end(*t, *report);
    reconcile_runs(*t, *report, sent_at, time);
    resolve_given_up(*t, *report);
    adjust_pace(*t, *report, time.now);
    drop_stored_ends(*t);
    t->next_observation =
        time.now + (t->unstored.empty() && t->listed_all ? settings_.observation_gap : settings_.store_grace);
    if (newly_usable)
        plan_needed_.insert(t->info.service);
}

void job_scheduler::on_target_restart(target_status& t, target_incarnation incarnation, scheduler_time time)
{
    log_event(scheduler_event::target_restarted, {}, nullptr, 0, t.info.id,
              std::to_string(t.info.incarnation) + " to " + std::to_string(incarnation));
    t.former_was_to_stay = t.expected_to_stay();
    t.info.incarnation = incarnation;
    t.incarnation_known_at = time.now;
    t.fence.on_restart();
    run_times_.forget_target(t.info.id);
    t.slowness = 1.0;
    t.expiring = false;
    t.late_expiring_starts = 0;
    // An order to the former incarnation may extend the present one's lease before its token has risen.
    t.lease_until = std::max(t.lease_until, leases_.longest_lease_over_at(time.now));
    t.clock.reset();
    t.clock_doubtful = false;
    t.ends_seen = 0;
    t.ends_acknowledged = 0;
    t.acknowledgement_in_flight = 0;
    t.unstored.clear();
    t.withheld_ends.clear();
    given_up_.on_incarnation(t.info.id, incarnation, t.info.host);
    resolve_lost_target(t.info.id, incarnation, time);
    std::vector<task_key> planned;
    std::vector<task_key> lost;
    bool undecided = false;
    for_runs(t, [&](const open_job& open, const task_position& p, task_run& run) {
        if (run.incarnation == incarnation)
            return;
        run.at_full_pace = false;
        // The new incarnation may carry out a start that is in flight, even after its first answer.
        if (run.phase == run_phase::ordered)
            run.phase = run_phase::unconfirmed;
        if (run.phase == run_phase::planned)
            planned.push_back({open.state->id(), p});
        else if (run.phase == run_phase::running && run.listed)
            lost.push_back({open.state->id(), p});
        else
            undecided = true;
    });
    if (undecided) {
        // All losses of one crash count together.
        lost.clear();
    }
    for (const task_key& key : planned)
        discard_run(*find_open(key.job), key.position, "target restarted", time);
    lose_runs(t, {lost, {}, "target restarted", t.former_was_to_stay}, time);
}

fencing_token job_scheduler::token_for(const target_id& target) const
{
    const auto it = targets_.find(target);
    return it == targets_.end() ? token_ : it->second.fence.token();
}

void job_scheduler::on_fenced_order(target_status* t, scheduler_time time)
{
    // An order with a higher token of this leader may have overtaken it. The next observation tells.
    if (t != nullptr && t->fence.has_risen())
        t->next_observation = std::min(t->next_observation, time.now);
    else
        superseded_ = true;
}

void job_scheduler::on_no_report(target_status& t, order_errc ec, timestamp sent_at, scheduler_time time)
{
    if (ec == order_errc::fenced && !t.fence.shows_newer_leader(sent_at)) {
        t.next_observation = time.now;
        return;
    }
    if (ec == order_errc::fenced)
        superseded_ = true;
    if (ec == order_errc::other_instance) {
        on_other_instance(t, time);
        t.next_observation = time.now + settings_.unreachable_retry;
        return;
    }
    ++t.missed_observations;
    if (t.reachable && t.missed_observations >= settings_.misses_until_unreachable) {
        t.reachable = false;
        if (!t.runs.empty())
            note_silent_target(t.info.id, lease_over_at(t));
        log_event(scheduler_event::target_unreachable, {}, nullptr, 0, t.info.id, std::string{name_of(ec)},
                  t.missed_observations);
    }
    t.next_observation = time.now + (t.reachable ? settings_.observation_gap : settings_.unreachable_retry);
}

void job_scheduler::on_end(target_status& t, const listed_end& end, scheduler_time time)
{
    open_job* open = find_open(end.task.job);
    if (open == nullptr || !open->state->contains(end.task.position))
        return;
    job& j = *open->state;
    task& it = j.at(end.task.position);
    // Ignores ends of earlier runs, and ends that an earlier leader has already handled.
    if (it.done || it.last_run != end.run || it.ended_run == end.run ||
        (it.run && it.run->target != t.info.id))
        return;
    apply_end(t, *open, end, time);
}

void job_scheduler::apply_end(target_status& t, open_job& open, const listed_end& end, scheduler_time time)
{
    job& j = *open.state;
    task& it = j.at(end.task.position);
    if (it.done || it.ended_run == end.run)
        return;
    it.ended_run = end.run;
    const bool permanent = j.step(end.task.position.step).permanent;
    log_event(scheduler_event::run_ended, j.id(), &end.task, end.run, t.info.id,
              std::string{name_of(end.how)}, it.run ? to_ms(time.now - it.run->ordered_at) : 0);
    j.mark_started();
    // The start time of a run that an earlier leader ordered is unknown, so its run time would be
    // underestimated.
    if (it.run && end.how == run_end::done && it.run->phase == run_phase::running &&
        it.run->ordered_at != timestamp{}) {
        step_times& times = open.times[end.task.position.step];
        ++times.done;
        times.total += time.now - it.run->ordered_at;
        learn_run_time(open, end.task.position, time.now);
    }
    if (it.run) {
        release_capacity(open, end.task.position, *it.run);
        it.run.reset();
    }
    if (!end.checkpoint.empty())
        it.checkpoint = end.checkpoint;
    if (end.how == run_end::done || end.how == run_end::failed) {
        clear_crash_history(open, it);
        it.streak = {};
    }
    if (end.how == run_end::done && !permanent) {
        j.finish_task(end.task.position);
        t.failures_in_a_row = 0;
    } else if (end.how == run_end::failed) {
        on_failed_run(t, open, end.task.position, time);
    }
    note_unstored_end(t, end.sequence, j);
    after_change(open, time);
}

void job_scheduler::note_unstored_end(target_status& t, std::uint64_t sequence, job& j)
{
    mark_changed(j);
    t.unstored.push_back({sequence, j.id(), j.last_change});
    with_unstored_ends_.insert(t.info.id);
}

std::uint32_t job_scheduler::max_attempts_of(const open_job& open) const
{
    if (open.queue != nullptr)
        return open.queue->max_attempts;
    // The queue may have been removed for a while only.
    const std::uint32_t accepted_with = open.state->record().max_attempts;
    return accepted_with != 0 ? accepted_with : settings_.default_attempts;
}

void job_scheduler::on_failed_run(target_status& t, open_job& open, const task_position& p,
                                  scheduler_time time)
{
    job& j = *open.state;
    task& it = j.at(p);
    j.fail_task(p, max_attempts_of(open));
    it.avoided_target = t.info.id;
    const std::size_t doublings = std::min<std::size_t>(it.failures - 1, max_backoff_doublings);
    it.not_before = time.now + settings_.failure_backoff * (1U << doublings);
    if (t.last_failed_job != j.id()) {
        ++t.failures_in_a_row;
        t.last_failed_job = j.id();
    }
    if (t.failures_in_a_row >= settings_.failures_until_avoided) {
        t.avoid_until = time.now + settings_.avoid_time;
        t.failures_in_a_row = 0;
        log_event(scheduler_event::target_avoided, j.id(), nullptr, 0, t.info.id,
                  "runs of several jobs failed");
    }
}

void job_scheduler::reconcile_runs(target_status& t, const target_report& report, timestamp sent_at,
                                   scheduler_time time)
{
    std::vector<const listed_run*> listed;
    listed.reserve(report.running.size());
    const unknown_run_map unknown_before = std::exchange(t.unknown_runs, {});
    for (const listed_run& r : report.running) {
        listed.push_back(&r);
        open_job* open = find_open(r.task.job);
        task* it = open != nullptr && open->state->contains(r.task.position)
                       ? &open->state->at(r.task.position)
                       : nullptr;
        if (it == nullptr || !it->run || it->run->number != r.run || it->run->target != t.info.id) {
            const auto [entry, added] = t.unknown_runs.try_emplace({r.task, r.run});
            unknown_run& unknown = entry->second;
            if (added && it != nullptr) {
                note_need(unknown, *open, r.task.position);
                team_use_[unknown.team] += unknown.team_need;
            }
            const auto before = unknown_before.find({r.task, r.run});
            if (before != unknown_before.end())
                unknown.stop_sent_at = before->second.stop_sent_at;
            if (before == unknown_before.end() || time.now - unknown.stop_sent_at > settings_.stop_retry)
                stop_unknown_run(t, r, unknown, time.now);
            continue;
        }
        if (!r.checkpoint.empty())
            it->checkpoint = r.checkpoint;
        it->run->incarnation = report.incarnation;
        it->run->listed = true;
        it->run->at_full_pace = r.pace_percent >= full_pace;
        if (it->run->phase == run_phase::stopping && !it->run->order_pending &&
            it->run->answered_at != timestamp{} && sent_at - it->run->answered_at > settings_.stop_retry)
            send_stop({open->state->id(), r.task.position}, *it->run, time.now);
        check_probation(*open, r.task.position, sent_at, time.now);
        if (it->run->phase == run_phase::unconfirmed || it->run->phase == run_phase::ordered) {
            it->run->phase = run_phase::running;
            it->run->answered_at = sent_at;
            it->run->confirmed_clock_ms = report.clock_ms;
            open->state->mark_started();
            after_change(*open, time);
        }
        move_if_stalled(*open, r.task.position, report.clock_ms, time);
    }
    release_unknown_runs(unknown_before);
    if (std::any_of(unknown_before.begin(), unknown_before.end(),
                    [&t](const auto& entry) { return !t.unknown_runs.contains(entry.first); }))
        plan_needed_.insert(t.info.service);
    std::sort(listed.begin(), listed.end(), [](const listed_run* a, const listed_run* b) {
        return std::tie(a->task, a->run) < std::tie(b->task, b->run);
    });
    std::vector<task_key> lost;
    std::vector<task_key> in_flight;
    for_runs(t, [&](open_job& open, const task_position& p, task_run& run) {
        const task_key key{open.state->id(), p};
        if (stop_failed(run, settings_.stop_retry, time.now))
            send_stop(key, run, time.now);
        const auto it = std::lower_bound(
            listed.begin(), listed.end(), std::tie(key, run.number),
            [](const listed_run* r, const auto& wanted) { return std::tie(r->task, r->run) < wanted; });
        if (it != listed.end() && (*it)->task == key && (*it)->run == run.number)
            return;
        const absence meaning = meaning_of_absence(run, report, sent_at);
        if (meaning == absence::lost)
            lost.push_back(key);
        if (meaning == absence::not_answered && run.incarnation != report.incarnation) {
            run.incarnation = report.incarnation;
            in_flight.push_back(key);
        }
        on_missing_run(open, p, meaning, time);
    });
    lose_runs(t, {lost, in_flight, "target restarted", t.former_was_to_stay}, time);
}

void job_scheduler::stop_unknown_run(const target_status& t, const listed_run& run, unknown_run& unknown,
                                     timestamp now)
{
    log_event(scheduler_event::unknown_run_stopped, run.task.job, &run.task, run.run, t.info.id,
              unknown.need ? "not the task's current run" : "unknown task");
    commands_.emplace_back(stop_command{ref_of(t.info.id), run.task, run.run});
    unknown.stop_sent_at = now;
}

void job_scheduler::on_missing_run(open_job& open, const task_position& p, absence meaning,
                                   scheduler_time time)
{
    const bool stopping = open.state->at(p).run->phase == run_phase::stopping;
    switch (meaning) {
    case absence::proves_nothing:
    case absence::lost: // All losses of one crash are handled together.
        return;
    case absence::not_received:
        discard_run(open, p, "start was never received", time);
        return;
    case absence::not_answered:
        stop_run(open, p, "start was not answered", time.now);
        return;
    case absence::ended:
        discard_run(open, p, stopping ? "stopped" : "not listed by the target", time);
        return;
    }
}

void job_scheduler::drop_stored_ends(target_status& t)
{
    while (!t.unstored.empty()) {
        const unstored_end& first = t.unstored.front();
        const job* j = find_job(first.job);
        if (j != nullptr && j->stored_change < first.change)
            return;
        t.unstored.pop_front();
    }
    // The target repeats ends until they are acknowledged.
    if (t.ends_acknowledged < t.last_end_to_acknowledge() && !t.observing)
        t.next_observation = {};
}

} // namespace mjm
