#include "jobs/job_scheduler.h"

#include <algorithm>
#include <set>

namespace mjm {

void job_scheduler::restore_given_up_runs(given_up_runs runs, timestamp now)
{
    given_up_ = std::move(runs);
    given_up_stored_ = given_up_.changes();
    for (const auto& [id, target] : given_up_.targets()) {
        lost_target lost{target.host, target.incarnation, now, {}};
        for (const auto& [run, known] : target.runs) {
            if (known.suspect)
                lost.runs.push_back({run.first, run.second, true, true, {}});
        }
        if (lost.runs.empty())
            continue;
        lost_targets_.emplace(id, std::move(lost));
        restored_losses_.insert(id);
    }
}

std::optional<given_up_record> job_scheduler::unstored_given_up_runs() const
{
    if (given_up_.changes() == given_up_stored_)
        return std::nullopt;
    return given_up_record{given_up_.changes(), given_up_.encode()};
}

void job_scheduler::on_given_up_runs_stored(const given_up_record& record)
{
    given_up_stored_ = record.change;
}

void job_scheduler::note_given_up(const open_job& open, const task_position& p, const std::string& host,
                                  bool suspect)
{
    const task_run& run = *open.state->at(p).run;
    // Permanent tasks are started again after any end.
    const given_up_run known{run.listed, !open.state->step(p.step).permanent, suspect};
    if (run.phase == run_phase::planned || (!known.end_matters && !known.suspect))
        return;
    given_up_.add(run.target, run.incarnation, host, {{open.state->id(), p}, run.number}, known);
    if (const std::size_t dropped = given_up_.drop_excess(); dropped > 0)
        log_event(scheduler_event::given_up_runs_dropped, {}, nullptr, 0, {},
                  std::to_string(dropped) + " runs of the targets that have been silent for longest");
}

void job_scheduler::on_listed_end(target_status& t, const listed_end& end, scheduler_time time)
{
    // The target has ended all its runs then, so nothing can be concluded from earlier ends any more.
    if (end.how == run_end::lease_expired)
        release_withheld_ends(t);
    if (!given_up_.awaits_end(t.info.id, {end.task, end.run})) {
        on_end(t, end, time);
        return;
    }
    open_job* open = find_open(end.task.job);
    const bool known = open != nullptr && open->state->contains(end.task.position);
    const std::uint32_t max_attempts = known ? max_attempts_of(*open) : 0;
    const late_end meaning =
        meaning_of_late_end(end, known ? &open->state->at(end.task.position) : nullptr, max_attempts);
    if (meaning == late_end::contradicts_start) {
        t.withheld_ends.emplace(end.sequence, std::pair{end.task, end.run});
        log_event(scheduler_event::end_withheld, end.task.job, &end.task, end.run, t.info.id,
                  std::string{name_of(end.how)});
    } else {
        given_up_.remove(t.info.id, {end.task, end.run});
    }
    if (!known || meaning == late_end::proves_nothing)
        return;
    if (meaning == late_end::counts_as_failure) {
        if (!is_final(open->state->state())) {
            open->state->fail_task(end.task.position, max_attempts);
            note_unstored_end(t, end.sequence, *open->state);
        }
    } else if ((meaning == late_end::counts || end.how == run_end::done) &&
               withdraw_later_run(*open, end.task.position, time)) {
        apply_end(t, *open, end, time);
    }
}

bool job_scheduler::withdraw_later_run(open_job& open, const task_position& p, scheduler_time time)
{
    task& it = open.state->at(p);
    if (!it.run)
        return true;
    if (it.run->number <= it.last_sent_run) {
        target_status* later = find_target(it.run->target);
        if (later == nullptr || it.run->phase != run_phase::running || !it.run->listed)
            return false;
        const task_key key{open.state->id(), p};
        const auto [entry, added] = later->unknown_runs.try_emplace({key, it.run->number});
        unknown_run& stopped = entry->second;
        if (added) {
            note_need(stopped, open, p);
            team_use_[stopped.team] += stopped.team_need;
        }
        stop_unknown_run(*later, {key, it.run->number, {}, full_pace, 0.0}, stopped, time.now);
    }
    discard_run(open, p, "an earlier run has ended", time);
    return true;
}

void job_scheduler::release_withheld_ends(target_status& t)
{
    for (const auto& [sequence, run] : t.withheld_ends) {
        if (run)
            given_up_.remove(t.info.id, *run);
    }
    t.withheld_ends.clear();
    t.expiring = false;
    t.late_expiring_starts = 0;
}

void job_scheduler::withhold_unreadable_end(target_status& t, const target_report& report)
{
    const bool lease_over_since =
        std::any_of(report.ended.begin(), report.ended.end(), [&report](const listed_end& e) {
            return e.how == run_end::lease_expired && e.sequence > *report.unreadable_end;
        });
    if (lease_over_since || !t.withheld_ends.emplace(*report.unreadable_end, std::nullopt).second)
        return;
    log_event(scheduler_event::end_withheld, {}, nullptr, 0, t.info.id,
              "end " + std::to_string(*report.unreadable_end) + " can't be read");
}

void job_scheduler::resolve_given_up(const target_status& t, const target_report& report)
{
    if (!report.complete || !given_up_.targets().contains(t.info.id))
        return;
    std::set<given_up_runs::run_id> listed;
    for (const listed_run& r : report.running)
        listed.emplace(r.task, r.run);
    for (const listed_end& e : report.ended)
        listed.emplace(e.task, e.run);
    given_up_.remove_if(t.info.id,
                        [&listed](const given_up_runs::run_id& run) { return !listed.contains(run); });
}

} // namespace mjm
