#include "shard/shard_owner.h"

#include "core/invariant.h"

#include <algorithm>

namespace mjm {

namespace {

/// The demand of all teams is told to the permit agent this often; at each tick it cost a host with 52 teams
/// most of its idle time.
constexpr duration demand_interval{std::chrono::milliseconds{100}};

outcome refused(reason why)
{
    return outcome{outcome_kind::refused_not_run, why, duration{0}, {}};
}

} // namespace

shard_owner::shard_owner(const shard_id& shard, shard_epoch epoch, environment env,
                         const shard_owner_settings& settings)
    : shard_{shard}, epoch_{epoch}, env_{std::move(env)}, settings_{settings},
      targets_{shard,
               epoch,
               env_.time,
               env_.targets,
               env_.confirm,
               settings.lease,
               target_set::events{[this](const target_id& target, const lease_grant& grant, bool rebooted) {
                                      target_opened(target, grant, rebooted);
                                  },
                                  [this](const target_id& target) { target_tasks_ended(target); }}},
      requests_{settings.table}, queue_{settings.queue}, picker_{queue_, targets_, tasks_, env_.random},
      retries_{settings.retries}
{
}

shard_owner::~shard_owner() = default;

void shard_owner::configure(const fleet_config& config)
{
    tickets_ = ticket_codec{config.ticket_secret};
    targets_.configure(config.targets_of(shard_));
    resources total;
    for (const target_record& record : config.targets_of(shard_))
        total += record.capacity;
    queue_.set_capacity(total);
    for (const auto& [id, team] : config.teams) {
        queue_.set_share(id, team.share);
        known_teams_.insert(id);
    }
}

void shard_owner::set_listed_state(const target_id& target, bool leaving, bool gone)
{
    targets_.set_listed_state(target, leaving, gone);
}

void shard_owner::set_remote_usage(const team_id& team, double dominant_fraction)
{
    queue_.set_remote_usage(team, dominant_fraction);
}

void shard_owner::submit(const request& work, outcome_function done)
{
    if (closed_) {
        done(refused(reason::moved));
        return;
    }
    request_record* known = requests_.find(work.id);
    if (known == nullptr) {
        admit_or_recover(work, std::move(done));
        return;
    }
    if (known->work.team != work.team || known->work.service != work.service) {
        done(refused(reason::ticket_invalid));
        return;
    }
    look_up(work.id, true, std::move(done));
}

void shard_owner::look_up(const request_id& id, bool wait, outcome_function done)
{
    if (closed_) {
        done(refused(reason::moved));
        return;
    }
    request_record* record = requests_.find(id);
    if (record == nullptr) {
        done(outcome{outcome_kind::unknown, reason::unknown_request, duration{0}, {}});
        return;
    }
    if (record->phase == request_phase::ended) {
        done(record->result);
        return;
    }
    if (record->phase == request_phase::retained)
        fetch_retained(*record);
    if (!wait) {
        done(outcome{outcome_kind::unknown, reason::pending, duration{0}, {}});
        return;
    }
    record->waiters.push_back(std::move(done));
}

void shard_owner::admit_or_recover(const request& work, outcome_function done)
{
    request_record record;
    record.work = work;
    record.enqueued = env_.time.now();
    record.deadline = record.enqueued + work.timeout;
    record.waiters.push_back(std::move(done));
    if (work.idempotent) {
        record.earlier_copy = !targets_.all_fenced();
        admit(std::move(record));
        return;
    }

    const tl::expected<ticket, reason> decoded = tickets_.decode(work.ticket);
    if (!decoded || decoded->shard != shard_ || decoded->team != work.team) {
        record.waiters.front()(refused(reason::ticket_invalid));
        return;
    }
    record.issued = decoded->issued;
    if (env_.time.wall_now() - decoded->issued > settings_.ticket_validity) {
        // The record of an earlier run may already have been dropped, so nothing can be said about it.
        record.waiters.front()(outcome{outcome_kind::unknown, reason::ticket_expired, duration{0}, {}});
        return;
    }
    if (decoded->epoch > epoch_) {
        record.waiters.front()(refused(reason::moved));
        return;
    }
    if (decoded->epoch == epoch_) {
        admit(std::move(record));
        return;
    }
    record.phase = request_phase::recovering;
    // The deadline does not count here: the request may have been started in time by an earlier owner.
    record.resume_at = record.enqueued + settings_.recovery_wait;
    recovering_.insert(work.id);
    requests_.add(std::move(record));
    settle_recovering();
    pump();
}

void shard_owner::admit(request_record record)
{
    const request_id id = record.work.id;
    record.estimate = estimator_.estimate(record.work.service, record.work.team, record.work.declared,
                                          record.work.declared_run, targets_.largest_capacity());
    record.estimate.size.slots = 1;
    request_record& admitted = requests_.add(std::move(record));
    if (const std::optional<reason> why = refusal_of(admitted)) {
        end(id, outcome_kind::refused_not_run, *why);
        return;
    }
    retries_.record_first_attempt(admitted.work.team, env_.time.now());
    enqueue(admitted);
    pump();
}

std::optional<reason> shard_owner::refusal_of(const request_record& record) const
{
    if (targets_.empty())
        return reason::no_capacity;
    resources declared = record.work.declared;
    declared.slots = 1;
    if (!targets_.can_ever_hold(declared))
        return reason::never_runnable;
    return std::nullopt;
}

void shard_owner::enqueue(request_record& record)
{
    queued_task task;
    task.id = record.work.id;
    task.team = record.work.team;
    task.urgency = record.work.urgency;
    task.need = record.estimate.size;
    task.expected_run = record.estimate.run_time;
    task.enqueued = record.enqueued;
    task.deadline = record.deadline;
    record.phase = request_phase::queued;
    const tl::expected<void, reason> result = queue_.enqueue(task, env_.time.now());
    if (!result)
        end_without_result(record, result.error());
}

void shard_owner::pump()
{
    // Starting a task can end others at once, which would pump again from within.
    if (closed_ || pumping_)
        return;
    pumping_ = true;
    while (start_next()) {
    }
    pumping_ = false;
    update_demand();
}

bool shard_owner::start_next()
{
    const std::optional<picked_work> picked =
        picker_.pick([this](const team_id& team) { return free_permits(team) > 0; },
                     [this](const request_id& id) {
                         const request_record* record = requests_.find(id);
                         return record == nullptr ? std::set<target_id>{} : record->failed_on;
                     },
                     env_.time.now());
    if (!picked)
        return false;
    request_record* record = requests_.find(picked->task.id);
    if (record == nullptr || record->phase != request_phase::queued)
        return true;
    if (!picked->target) {
        enqueue(*record);
        return false;
    }
    start_task(*record, *picked->target);
    return true;
}

void shard_owner::start_task(request_record& record, const target_id& target)
{
    check_invariant(record.work.idempotent || record.runs == 0, invariant::at_most_once,
                    record.work.id.str());
    check_invariant(!targets_.is_leaving(target), invariant::no_work_to_leaving, target.str());
    ++record.attempts;
    ++record.runs;
    record.phase = request_phase::running;
    const task_id id{record.work.id.str() + "#" + std::to_string(epoch_) + "." +
                     std::to_string(record.attempts)};
    record.current = id;
    record.current_target = target;
    report(shard_event::started, record.work.id, record.work.team, target, id.str());
    make_attempt(record, id, target, false);
    check_invariant(tasks_.running_on(target) <= targets_.slots_of(target), invariant::target_slots,
                    target.str());
    check_invariant(record.work.team.empty() ||
                        tasks_.in_use(record.work.team) <= env_.permits.held(record.work.team),
                    invariant::team_limit, record.work.team.str());
}

void shard_owner::make_attempt(const request_record& record, const task_id& id, const target_id& target,
                               bool taken_over)
{
    const std::shared_ptr<target_lease> lease = targets_.lease(target);
    start_order order;
    order.task = id;
    order.request = record.work.id;
    order.team = record.work.team;
    order.service = record.work.service;
    order.reserved = record.estimate.size;
    order.body = record.work.body;
    const std::shared_ptr<task_attempt> attempt = std::make_shared<task_attempt>(
        lease->endpoint(), lease->token(), std::move(order), env_.time, env_.targets, events_for(id));
    active_task task;
    task.id = id;
    task.request = record.work.id;
    task.team = record.work.team;
    task.target = target;
    task.need = record.estimate.size;
    task.attempt = attempt;
    tasks_.add(task);
    queue_.task_started(task.team, task.need, env_.time.now());
    if (taken_over)
        attempt->adopt();
    else
        attempt->start();
}

attempt_events shard_owner::events_for(const task_id& task)
{
    attempt_events events;
    events.answered = [this, task](const task_result& result) { task_answered(task, result); };
    events.not_started = [this, task](target_errc ec) { task_not_started(task, ec); };
    events.ended_unknown = [this, task] { task_ended_unknown(task); };
    events.lost = [this, task] { task_lost(task); };
    return events;
}

void shard_owner::task_answered(const task_id& id, const task_result& result)
{
    const std::optional<active_task> task = tasks_.remove(id);
    if (!task)
        return;
    const timestamp now = env_.time.now();
    queue_.task_finished(task->team, task->need, now);
    const duration run_time = now - task->attempt->started_at();
    statistics_.record(run_time);

    request_record* record = requests_.find(task->request);
    if (record != nullptr) {
        if (!check_invariant(result.task == id, invariant::whole_answer, id.str())) {
            end(task->request, outcome_kind::unknown, reason::answer_incomplete);
            return;
        }
        estimator_.record(record->work.service, task->team, run_time, record->work.declared, resources{});
        if (result.succeeded)
            targets_.health().record_success(task->target, task->request, task->team, now);
        else
            targets_.health().record_failure(task->target, task->request, task->team, now);

        if (record->phase == request_phase::ended) {
            const outcome_kind kind = result.succeeded ? outcome_kind::completed : outcome_kind::failed;
            if (record->result.kind == outcome_kind::unknown)
                requests_.correct(task->request, outcome{kind, reason::none, duration{0}, result.body});
        } else if (result.succeeded) {
            queue_.cancel(task->request);
            stop_other_attempt(*record, id);
            end(task->request, outcome_kind::completed, reason::none, result.body);
        } else {
            work_failed(*record, *task, result);
        }
    }
    pump();
}

void shard_owner::stop_other_attempt(const request_record& record, const task_id& finished)
{
    const active_task* other = record.current == finished ? nullptr : tasks_.find(record.current);
    if (other != nullptr)
        std::shared_ptr<task_attempt>
        {
            other->attempt
            } -> stop([](const tl::expected<task_state, target_errc>&) {});
}

void shard_owner::work_failed(request_record& record, const active_task& task, const task_result& result)
{
    record.failed_on.insert(task.target);
    const bool another_attempt = record.phase != request_phase::running || record.current != task.id;
    if (another_attempt)
        return;
    outcome failure{outcome_kind::failed, reason::none, duration{0}, result.body};
    if (record.runs >= settings_.max_runs)
        failure.why = reason::failing_everywhere;
    if (may_run_again(record))
        retry(record, true, failure);
    else
        end(record.work.id, failure.kind, failure.why, failure.body);
}

bool shard_owner::may_run_again(const request_record& record) const
{
    return record.work.idempotent && !record.cancel_requested && record.runs < settings_.max_runs;
}

void shard_owner::task_not_started(const task_id& id, target_errc ec)
{
    const std::optional<active_task> task = tasks_.remove(id);
    if (!task)
        return;
    const timestamp now = env_.time.now();
    queue_.task_finished(task->team, task->need, now);
    if (ec == target_errc::leaving)
        targets_.mark_leaving(task->target);
    if (const std::shared_ptr<target_lease> lease = targets_.lease(task->target))
        lease->call_refused(ec);
    if (ec == target_errc::not_connected)
        targets_.health().record_failure(task->target, task->request, task->team, now);

    request_record* record = requests_.find(task->request);
    if (record != nullptr && record->phase == request_phase::running && record->current == id) {
        --record->runs;
        if (ec == target_errc::fenced && !record->work.idempotent) {
            // The next owner may have run it for another submission of the ticket; only it can tell.
            requests_.end_and_forget(task->request, refused(reason::moved));
        } else if (record->cancel_requested) {
            end_cancelled(*record);
        } else {
            // Only errors that point at an overload or a dead target cost retry budget.
            const bool spend = ec == target_errc::busy || ec == target_errc::not_connected;
            retry(*record, spend,
                  refused(record->attempts >= settings_.max_attempts ? reason::no_capacity
                                                                     : reason::retry_budget));
        }
    } else if (record != nullptr) {
        --record->runs;
    }
    pump();
}

void shard_owner::task_ended_unknown(const task_id& id)
{
    const std::optional<active_task> task = tasks_.remove(id);
    if (!task)
        return;
    queue_.task_finished(task->team, task->need, env_.time.now());
    request_record* record = requests_.find(task->request);
    if (record != nullptr && record->phase == request_phase::running && record->current == id) {
        if (record->cancel_requested)
            end(task->request, outcome_kind::cancelled_running, reason::none);
        else if (may_run_again(*record))
            retry(*record, true, outcome{outcome_kind::unknown, reason::target_lost, duration{0}, {}});
        else
            end(task->request, outcome_kind::unknown, reason::target_lost);
    }
    pump();
}

void shard_owner::task_lost(const task_id& id)
{
    const active_task* task = tasks_.find(id);
    if (task == nullptr)
        return;
    request_record* record = requests_.find(task->request);
    if (record == nullptr || record->phase != request_phase::running || record->current != id)
        return;
    // The first attempt stays accounted for until it has provably ended.
    if (may_run_again(*record) && retries_.try_spend(record->work.team, env_.time.now()))
        retry(*record, false, outcome{});
}

void shard_owner::retry(request_record& record, bool spend_budget, const outcome& otherwise)
{
    const timestamp now = env_.time.now();
    const bool allowed = record.attempts < settings_.max_attempts &&
                         (!spend_budget || retries_.try_spend(record.work.team, now));
    if (!allowed) {
        if (otherwise.kind == outcome_kind::refused_not_run)
            end_without_result(record, otherwise.why);
        else
            end(record.work.id, otherwise.kind, otherwise.why, otherwise.body);
        return;
    }
    report(shard_event::retried, record.work.id, record.work.team, record.current_target, "");
    record.phase = request_phase::backing_off;
    record.resume_at = now + retries_.backoff(record.attempts + 1, env_.random);
    backoffs_.emplace(record.resume_at, record.work.id);
}

void shard_owner::resume_backoffs()
{
    const timestamp now = env_.time.now();
    while (!backoffs_.empty() && backoffs_.begin()->first <= now) {
        const request_id id = backoffs_.begin()->second;
        backoffs_.erase(backoffs_.begin());
        request_record* record = requests_.find(id);
        if (record != nullptr && record->phase == request_phase::backing_off)
            enqueue(*record);
    }
}

void shard_owner::expire_queue()
{
    for (const request_id& id : queue_.expire(env_.time.now())) {
        request_record* record = requests_.find(id);
        if (record == nullptr)
            continue;
        end_without_result(*record, reason::deadline);
    }
}

void shard_owner::refuse_without_permits()
{
    if (env_.store_reachable())
        return;
    std::set<team_id> stuck;
    for (const team_id& team : queue_.waiting_teams()) {
        if (!team.empty() && env_.permits.held(team) == 0 && tasks_.in_use(team) == 0)
            stuck.insert(team);
    }
    if (stuck.empty())
        return;
    // No permit can arrive before the store is back; another zone may have some.
    for (const request_id& id : queue_.waiting_requests()) {
        const request_record* record = requests_.find(id);
        if (record == nullptr || record->runs != 0 || !stuck.contains(record->work.team))
            continue;
        queue_.cancel(id);
        end(id, outcome_kind::refused_not_run, reason::no_permit);
    }
}

void shard_owner::settle_recovering()
{
    const bool complete = targets_.all_fenced();
    const timestamp now = env_.time.now();
    const std::set<request_id> waiting = recovering_;
    for (const request_id& id : waiting) {
        request_record* record = requests_.find(id);
        if (record == nullptr || record->phase != request_phase::recovering) {
            recovering_.erase(id);
        } else if (complete && targets_.memory_covers(record->issued)) {
            // No target knows the request and no earlier owner can start it any more.
            recovering_.erase(id);
            request_record admitted = std::move(*record);
            requests_.remove(id);
            admit(std::move(admitted));
        } else if (complete || now >= record->resume_at) {
            recovering_.erase(id);
            requests_.end_and_forget(id, outcome{outcome_kind::unknown,
                                                 complete ? reason::memory_lost : reason::shard_recovering,
                                                 complete ? duration{0} : settings_.recovery_wait,
                                                 {}});
        }
    }
}

void shard_owner::target_opened(const target_id& target, const lease_grant& grant, bool rebooted)
{
    if (closed_)
        return;
    report(shard_event::target_opened, {}, {}, target, rebooted ? "rebooted" : "");
    if (rebooted)
        target_tasks_ended(target);
    for (const task_report& known : grant.tasks)
        adopt(target, known);
    if (targets_.all_fenced() && !recovery_reported_) {
        recovery_reported_ = true;
        report(shard_event::recovered, {}, {}, {}, "");
    }
    settle_recovering();
    pump();
}

void shard_owner::target_tasks_ended(const target_id& target)
{
    for (const task_id& id : tasks_.tasks_on(target)) {
        const active_task* task = tasks_.find(id);
        if (task != nullptr)
            std::shared_ptr<task_attempt>
            {
                task->attempt
                } -> target_restarted();
    }
    settle_recovering();
}

void shard_owner::adopt(const target_id& target, const task_report& known)
{
    if (known.state == task_state::never_started || tasks_.find(known.task) != nullptr)
        return;
    request_record* record = requests_.find(known.request);
    if (record != nullptr && record->phase != request_phase::recovering) {
        adopt_again(*record, target, known);
        return;
    }

    request_record taken_over;
    if (record != nullptr)
        taken_over.waiters = std::move(record->waiters);
    taken_over.work.id = known.request;
    taken_over.work.team = known.team;
    taken_over.work.service = shard_.service;
    // Whether it may run again is not known any more, so it is treated as not idempotent.
    taken_over.work.idempotent = false;
    taken_over.taken_over = true;
    taken_over.attempts = 1;
    taken_over.runs = 1;
    taken_over.enqueued = env_.time.now();
    taken_over.estimate.size = known.used;
    taken_over.estimate.size.slots = 1;
    taken_over.current = known.task;
    taken_over.current_target = target;
    taken_over.phase = known.state == task_state::running ? request_phase::running : request_phase::retained;
    const bool awaited = !taken_over.waiters.empty();
    recovering_.erase(known.request);
    request_record& stored = requests_.add(std::move(taken_over));
    if (known.state == task_state::stopped) {
        // It may have been stopped by a cancellation, for another attempt that had ended, or by the end of
        // its lease.
        end(known.request, outcome_kind::unknown, reason::target_lost);
    } else if (known.state == task_state::running) {
        report(shard_event::taken_over, known.request, known.team, target, known.task.str());
        make_attempt(stored, known.task, target, true);
    } else if (awaited) {
        fetch_retained(stored);
    }
}

void shard_owner::adopt_again(request_record& record, const target_id& target, const task_report& known)
{
    // An idempotent request has several attempts, or was submitted again before this list arrived: an
    // attempt that runs still holds a slot and a permit.
    if (known.state == task_state::running)
        make_attempt(record, known.task, target, true);
    if (known.state != task_state::finished || record.phase == request_phase::retained)
        return;
    const bool ended_unknown =
        record.phase == request_phase::ended && record.result.kind == outcome_kind::unknown;
    const bool adopted_other = record.phase == request_phase::running && record.taken_over;
    if (!ended_unknown && !adopted_other)
        return;
    // A result takes precedence over an attempt that was stopped or still runs.
    record.phase = request_phase::retained;
    record.current = known.task;
    record.current_target = target;
    if (!record.waiters.empty())
        fetch_retained(record);
}

void shard_owner::fetch_retained(request_record& record)
{
    const request_id id = record.work.id;
    const std::shared_ptr<target_lease> lease = targets_.lease(record.current_target);
    if (!lease) {
        end(id, outcome_kind::unknown, reason::memory_lost);
        return;
    }
    record.phase = request_phase::running;
    env_.targets.fetch(lease->endpoint(), record.current,
                       [this, id, weak = std::weak_ptr<target_lease>{lease}](
                           const tl::expected<task_result, target_errc>& result) {
                           if (weak.expired())
                               return;
                           retained_result(id, result);
                       });
}

void shard_owner::retained_result(const request_id& id, const tl::expected<task_result, target_errc>& result)
{
    if (result) {
        end(id, result->succeeded ? outcome_kind::completed : outcome_kind::failed, reason::none,
            result->body);
    } else if (result.error() == target_errc::unknown_task) {
        end(id, outcome_kind::unknown, reason::memory_lost);
    } else if (request_record* record = requests_.find(id); record != nullptr) {
        // The target may still have the result: the next one who asks fetches it again.
        record->phase = request_phase::retained;
        requests_.tell_waiters(
            id, outcome{outcome_kind::unknown, reason::answer_incomplete, advised_retry_delay(), {}});
    }
}

void shard_owner::cancel(const request_id& id, outcome_function done)
{
    if (closed_) {
        done(refused(reason::moved));
        return;
    }
    request_record* record = requests_.find(id);
    if (record == nullptr) {
        done(outcome{outcome_kind::unknown, reason::unknown_request, duration{0}, {}});
        return;
    }
    switch (record->phase) {
    case request_phase::queued:
    case request_phase::backing_off:
        queue_.cancel(id);
        record->waiters.push_back(std::move(done));
        end_cancelled(*record);
        break;
    case request_phase::running:
        cancel_running(*record, std::move(done));
        break;
    case request_phase::recovering:
    case request_phase::retained:
    case request_phase::ended:
        look_up(id, true, std::move(done));
        break;
    }
    pump();
}

void shard_owner::cancel_running(request_record& record, outcome_function done)
{
    record.cancel_requested = true;
    record.waiters.push_back(std::move(done));
    const active_task* task = tasks_.find(record.current);
    if (task == nullptr)
        return;
    const request_id id = record.work.id;
    const std::weak_ptr<target_lease> lease = targets_.lease(task->target);
    const std::shared_ptr<task_attempt> attempt = task->attempt;
    attempt->stop([this, id, lease](const tl::expected<task_state, target_errc>& state) {
        if (lease.expired() || closed_)
            return;
        request_record* cancelled = requests_.find(id);
        if (cancelled == nullptr || cancelled->phase != request_phase::running)
            return;
        if (state && *state == task_state::stopped)
            end(id, outcome_kind::cancelled_running, reason::none);
        else if (!state)
            end(id, outcome_kind::unknown, reason::target_lost);
    });
}

void shard_owner::tick()
{
    if (closed_)
        return;
    targets_.tick();
    for (const std::shared_ptr<task_attempt>& attempt : tasks_.attempts())
        attempt->tick();
    settle_recovering();
    resume_backoffs();
    expire_queue();
    refuse_without_permits();
    requests_.expire(env_.time.now());
    pump();
}

void shard_owner::close()
{
    if (closed_)
        return;
    closed_ = true;
    targets_.abandon();
    for (const std::shared_ptr<task_attempt>& attempt : tasks_.attempts())
        attempt->abandon();
    for (const request_id& id : requests_.open_ids())
        requests_.end_and_forget(id, refused(reason::moved));
}

shard_load shard_owner::load() const
{
    shard_load result;
    result.queued = queue_.size();
    result.running = static_cast<std::int64_t>(tasks_.size());
    result.free_slots = targets_.free_slots(tasks_);
    result.mean_run = statistics_.mean();
    return result;
}

void shard_owner::end(const request_id& id, outcome_kind kind, reason why, std::string body)
{
    request_record* record = requests_.find(id);
    if (record == nullptr || record->phase == request_phase::ended)
        return;
    const bool says_not_run =
        kind == outcome_kind::refused_not_run || kind == outcome_kind::cancelled_not_run;
    if (says_not_run && !record->work.idempotent && !env_.store_reachable()) {
        // Out of contact with the store for longer than a member's lease allows, another host may own the
        // shard and have run the request for another submission of its ticket.
        requests_.end_and_forget(
            id, outcome{outcome_kind::unknown, reason::shard_unreachable, advised_retry_delay(), {}});
        return;
    }
    check_invariant(!says_not_run || record->runs == 0, invariant::true_refusal, id.str());
    report(shard_event::ended, id, record->work.team, record->current_target, std::string{name_of(kind)});
    outcome result{kind, why, duration{0}, std::move(body)};
    if (kind == outcome_kind::refused_not_run)
        result.retry_after = advised_retry_delay();
    requests_.end(id, result, env_.time.now());
}

void shard_owner::end_without_result(const request_record& record, reason why)
{
    end(record.work.id, record.runs == 0 ? outcome_kind::refused_not_run : outcome_kind::unknown, why);
}

void shard_owner::end_cancelled(const request_record& record)
{
    if (record.runs > 0)
        end(record.work.id, outcome_kind::cancelled_running, reason::none);
    else if (record.earlier_copy)
        end(record.work.id, outcome_kind::unknown, reason::shard_recovering);
    else
        end(record.work.id, outcome_kind::cancelled_not_run, reason::none);
}

void shard_owner::report(shard_event kind, const request_id& id, const team_id& team, const target_id& target,
                         std::string detail) const
{
    if (env_.report)
        env_.report(shard_event_record{kind, shard_, id, team, target, std::move(detail)});
}

void shard_owner::update_demand()
{
    const timestamp now = env_.time.now();
    if (now < next_demand_)
        return;
    next_demand_ = now + demand_interval;
    // Any team may still have tasks of an earlier owner on a target that has not been fenced.
    const std::int64_t unfenced = targets_.unfenced_slots();
    for (const team_id& team : known_teams_) {
        const std::int64_t in_use = tasks_.in_use(team) + unfenced;
        env_.permits.set_demand(team, in_use + static_cast<std::int64_t>(queue_.size(team)), in_use);
    }
}

std::int64_t shard_owner::free_permits(const team_id& team) const
{
    // Queues open to all have no team and no limit of their own.
    if (team.empty())
        return 1;
    return env_.permits.held(team) - targets_.unfenced_slots() - tasks_.in_use(team);
}

duration shard_owner::advised_retry_delay() const
{
    return statistics_.retry_advice(queue_.size(), tasks_.size());
}

} // namespace mjm
