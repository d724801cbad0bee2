#include "jobs/job_front.h"

#include "jobs/guarded_callback.h"
#include "jobs/job_codec.h"
#include "jobs/job_keys.h"

#include <algorithm>

namespace mjm {

namespace {

/// Returns a callback that reports the state once the job is known to be visible.
job_front::done_callback when_found(job_state state, job_front::state_callback done)
{
    return [state, done = std::move(done)](const tl::expected<void, front_errc>& found) {
        if (found)
            done(state);
        else
            done(tl::unexpected{found.error()});
    };
}

} // namespace

job_front::job_front(job_front_settings settings, transaction_store& store, leader_link& leader,
                     const clock& time, logger log, metric_registry& metrics)
    : settings_{settings}, store_{store}, leader_{leader}, time_{time}, log_{std::move(log)}, metrics_{
                                                                                                  metrics}
{
}

tl::expected<job_front::route, front_errc> job_front::resolve(const caller_address& caller) const
{
    if (!config_)
        return tl::unexpected{front_errc::no_config};
    route r;
    r.queue = config_->match(caller.host, caller.path);
    if (r.queue == nullptr)
        return tl::unexpected{front_errc::no_such_queue};
    if (!r.queue->anonymous || !caller.key.empty()) {
        const auto team = config_->teams_by_key.find(caller.key);
        if (team != config_->teams_by_key.end())
            r.team = team->second;
        else if (!r.queue->anonymous)
            return tl::unexpected{front_errc::unknown_key};
    }
    r.id = job_id{caller.path.substr(r.queue->prefix.size())};
    return r;
}

bool job_front::may_try_store()
{
    if (!store_unreachable_)
        return true;
    const timestamp now = time_.now();
    if (now < next_probe_)
        return false;
    next_probe_ = now + settings_.probe_interval;
    return true;
}

bool job_front::valid(const job_spec& spec) const
{
    std::size_t tasks = 0;
    for (std::size_t s = 0; s < spec.steps.size(); ++s) {
        tasks += spec.steps[s].tasks;
        for (const std::uint32_t before : spec.steps[s].after) {
            if (before >= s)
                return false;
        }
    }
    return tasks > 0 && spec.occurrences > 0 && tasks * spec.occurrences <= settings_.max_tasks;
}

void job_front::log_refusal(const char* call, const caller_address& caller, front_errc ec) const
{
    const std::size_t slash = caller.path.rfind('/');
    log_.info("request_refused",
              {{"job", slash == std::string::npos ? std::string{} : caller.path.substr(slash + 1)},
               {"call", call},
               {"reason", name_of(ec)},
               {"config_version", config_ ? config_->version : 0}});
}

job_front::job_call job_front::make_call(std::string name, const route& r)
{
    return {std::move(name), r.id, r.team, r.queue->anonymous ? r.queue->id : queue_id{}};
}

bool job_front::may_see(const job_call& call, const job_owner& owner) const
{
    if (owner.team.empty() || owner.team == call.team)
        return true;
    return !call.open_queue.empty() && call.open_queue == owner.queue;
}

bool job_front::check_owner(const job_call& call, const job_owner& owner)
{
    if (may_see(call, owner))
        return true;
    log_.warn("foreign_job_call",
              {{"job", call.id}, {"call", call.name}, {"team", call.team}, {"owner", owner.team}});
    metrics_
        .counter("mjm_foreign_job_calls_total", "Calls for a job of another team, answered as unknown.",
                 {{"call", call.name}})
        .add();
    return false;
}

bool job_front::check_record(const job_call& call, std::string_view text)
{
    const std::optional<job_record> record = decode_job(call.id, text);
    return record && check_owner(call, {record->queue, record->team});
}

void job_front::find_accepted(const job_call& call, done_callback done)
{
    store_.get(job_keys::of(job_keys::accepted, call.id),
               guarded_callback(
                   alive_, [this, call, done = std::move(done)](const tl::expected<kv_entry, store_errc>& e) {
                       if (e && check_record(call, e->value))
                           done({});
                       else if (e || e.error() == store_errc::not_found)
                           done(tl::unexpected{front_errc::unknown_job});
                       else
                           done(tl::unexpected{front_errc::store_unavailable});
                   }));
}

void job_front::submit(const caller_address& caller, job_spec spec, done_callback done)
{
    const tl::expected<route, front_errc> r = resolve(caller);
    if (!r) {
        log_refusal("submit", caller, r.error());
        done(tl::unexpected{r.error()});
        return;
    }
    const bool unsupported = r->queue->needs_advice || std::any_of(spec.steps.begin(), spec.steps.end(),
                                                                   [](const step_spec& s) { return s.gang; });
    if (unsupported) {
        log_refusal("submit", caller, front_errc::unsupported_job);
        done(tl::unexpected{front_errc::unsupported_job});
        return;
    }
    if (r->id.empty() || !is_valid_name(r->id.str()) || !valid(spec)) {
        log_refusal("submit", caller, front_errc::invalid_job);
        done(tl::unexpected{front_errc::invalid_job});
        return;
    }
    if (!may_try_store()) {
        log_refusal("submit", caller, front_errc::store_unavailable);
        done(tl::unexpected{front_errc::store_unavailable});
        return;
    }
    job_record record;
    record.id = r->id;
    record.queue = r->queue->id;
    record.service = r->queue->service;
    record.team = r->team;
    record.accepted_ms = time_.unix_ms();
    record.max_attempts = r->queue->max_attempts;
    record.spec = std::move(spec);
    write_job(make_call("submit", *r), encode_job(record), time_.now() + settings_.write_timeout, false,
              std::move(done));
}

void job_front::write_job(const job_call& call, const std::string& text, timestamp retry_until,
                          bool maybe_written, done_callback done)
{
    store_transaction t;
    const std::string key = job_keys::of(job_keys::accepted, call.id);
    t.expected.emplace_back(key, 0);
    t.writes.push_back({key, text, std::nullopt, 0});
    store_.commit(
        std::move(t),
        guarded_callback(alive_, [this, call, text, retry_until, maybe_written, done = std::move(done)](
                                     const tl::expected<store_revision, transaction_error>& result) mutable {
            store_unreachable_ = !result && may_have_taken_effect(result.error().code);
            const bool conflict = !result && result.error().code == store_errc::conflict;
            const bool exists = conflict && !result.error().current.empty();
            if (exists && !check_record(call, result.error().current.front().value)) {
                log_.info("request_refused", {{"job", call.id},
                                              {"call", call.name},
                                              {"reason", name_of(front_errc::invalid_job)},
                                              {"config_version", config_->version}});
                done(tl::unexpected{front_errc::invalid_job});
                return;
            }
            if (result || exists) {
                log_.info("job_accepted", {{"job", call.id},
                                           {"outcome", result ? "stored" : "already stored"},
                                           {"revision", result ? *result : 0},
                                           {"config_version", config_->version}});
                done({});
                return;
            }
            const store_errc ec = result.error().code;
            const bool unknown = maybe_written || conflict || may_have_taken_effect(ec);
            // A job that is reported as refused must never run. After an attempt without an answer, only a
            // successful write or a conflict makes the outcome known.
            if (unknown && time_.now() < retry_until && ec != store_errc::unreachable) {
                write_job(call, text, retry_until, true, std::move(done));
                return;
            }
            const front_errc outcome = unknown ? front_errc::outcome_unknown : front_errc::store_unavailable;
            log_.warn("job_not_accepted",
                      {{"job", call.id}, {"error", name_of(ec)}, {"outcome", name_of(outcome)}});
            done(tl::unexpected{outcome});
        }));
}

void job_front::cancel(const caller_address& caller, done_callback done)
{
    const tl::expected<route, front_errc> r = resolve(caller);
    if (!r) {
        log_refusal("cancel", caller, r.error());
        done(tl::unexpected{r.error()});
        return;
    }
    const auto cancel_found = [this, id = r->id,
                               done = std::move(done)](const tl::expected<void, front_errc>& found) {
        if (found)
            write_cancellation(id, done);
        else
            done(found);
    };
    find_accepted(make_call("cancel", *r), cancel_found);
}

void job_front::write_cancellation(const job_id& id, done_callback done)
{
    store_transaction t;
    const std::string key = job_keys::of(job_keys::cancelled, id);
    t.expected.emplace_back(key, 0);
    t.writes.push_back({key, std::to_string(time_.unix_ms()), std::nullopt, 0});
    store_.commit(
        std::move(t),
        guarded_callback(alive_, [this, id, done = std::move(done)](
                                     const tl::expected<store_revision, transaction_error>& result) {
            if (result || result.error().code == store_errc::conflict) {
                log_.info("cancel_accepted", {{"job", id}});
                done({});
                return;
            }
            const store_errc ec = result.error().code;
            log_.warn("cancel_not_accepted", {{"job", id}, {"error", name_of(ec)}});
            done(tl::unexpected{may_have_taken_effect(ec) ? front_errc::outcome_unknown
                                                          : front_errc::store_unavailable});
        }));
}

void job_front::state_of(const caller_address& caller, state_callback done)
{
    const tl::expected<route, front_errc> r = resolve(caller);
    if (!r) {
        log_refusal("state", caller, r.error());
        done(tl::unexpected{r.error()});
        return;
    }
    leader_.state_of(r->id,
                     guarded_callback(alive_, [this, call = make_call("state", *r), done = std::move(done)](
                                                  const tl::expected<job_status, front_errc>& status) {
                         if (!status)
                             read_state(call, done);
                         else if (!status->owner)
                             find_accepted(call, when_found(status->state, done));
                         else if (check_owner(call, *status->owner))
                             done(status->state);
                         else
                             done(tl::unexpected{front_errc::unknown_job});
                     }));
}

void job_front::read_state(const job_call& call, state_callback done)
{
    // The progress is read first: a job that is removed between the reads is not taken for one without any.
    store_.get(job_keys::of(job_keys::progress, call.id),
               guarded_callback(alive_, [this, call, done = std::move(done)](
                                            const tl::expected<kv_entry, store_errc>& e) {
                   if (!e && e.error() != store_errc::not_found) {
                       done(tl::unexpected{front_errc::store_unavailable});
                       return;
                   }
                   const std::optional<job_state> stored = e ? decode_progress_state(e->value) : std::nullopt;
                   job_state state = stored.value_or(job_state::pending);
                   if (stored == job_state::pending)
                       state = job_state::running;
                   find_accepted(call, when_found(state, done));
               }));
}

void job_front::waiting_jobs(const caller_address& caller, leader_link::count_callback done)
{
    const tl::expected<route, front_errc> r = resolve(caller);
    if (!r) {
        log_refusal("count", caller, r.error());
        done(tl::unexpected{r.error()});
        return;
    }
    leader_.waiting_jobs(r->queue->id, std::move(done));
}

} // namespace mjm
