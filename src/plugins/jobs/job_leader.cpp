#include "jobs/job_leader.h"

#include "core/number_text.h"
#include "jobs/job_codec.h"
#include "jobs/job_keys.h"
#include "jobs/store_reachability.h"

#include <limits>

namespace mjm {

namespace {

constexpr std::chrono::seconds removal_interval{5};
// Interval between two searches for due observations for each `targets_per_interval` targets, so that their
// share of the time doesn't grow with the number of targets. Smaller fleets are searched at each event.
constexpr std::chrono::microseconds search_interval{500};
constexpr std::size_t targets_per_interval = 100;
const std::vector<double> delay_bounds{0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0};

metric_gauge view_age_gauge(metric_registry& metrics, const char* view)
{
    return metrics.gauge("mjm_view_age_seconds", "Age of what the leader knows.", {{"view", view}});
}

metric_counter lease_counter(metric_registry& metrics, const char* outcome)
{
    return metrics.counter("mjm_target_lease_extensions_total",
                           "Extensions of targets' leases; withheld while another host may lead.",
                           {{"outcome", outcome}});
}

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

job_leader::job_leader(job_leader_settings settings, job_leader_services services, fencing_token token,
                       std::shared_ptr<const fleet_config> config, std::function<timestamp()> lease_until,
                       std::function<void(const std::string&)> superseded)
    : settings_{settings}, services_{std::move(services)}, token_{token}, lease_until_{std::move(
                                                                              lease_until)},
      superseded_{std::move(superseded)}, events_{services_.log, services_.metrics, settings.job_log_percent},
      scheduler_{settings.scheduling, token, now(),
                 [this](const scheduler_log_entry& n) { events_.on_event(n); }},
      journal_{services_.store,
               services_.time,
               token,
               {[this](const journal_batch& batch) {
                    update_limits();
                    if (batch.waits)
                        scheduler_.on_waits_stored(*batch.waits);
                    if (batch.given_up)
                        scheduler_.on_given_up_runs_stored(*batch.given_up);
                    scheduler_.on_stored(batch.progress, now(), batch.revision);
                    request_pass();
                },
                [this](const std::string& why) {
                    stopped_ = true;
                    superseded_(why);
                },
                [this](tl::expected<void, store_errc> reachability) {
                    log_store_reachability(services_.log, "journal", reachability);
                }}},
      run_times_{services_.store, services_.time, services_.log, token},
      start_delay_seconds_{services_.metrics.histogram(
          "mjm_start_delay_seconds",
          "Time from the choice of a target for a run to the order that starts it.", delay_bounds)},
      cancel_delay_seconds_{services_.metrics.histogram(
          "mjm_cancel_delay_seconds", "Time from a caller's cancellation until the leader handles it.",
          delay_bounds)},
      extended_leases_{lease_counter(services_.metrics, "extended")},
      withheld_leases_{lease_counter(services_.metrics, "withheld")}, target_view_age_seconds_{view_age_gauge(
                                                                          services_.metrics, "targets")},
      cancel_view_age_seconds_{view_age_gauge(services_.metrics, "cancellations")},
      config_view_age_seconds_{view_age_gauge(services_.metrics, "configuration")}
{
    if (services_.hosts != nullptr) {
        hosts_ = std::make_unique<host_manager>(settings_.hosts,
                                                host_manager_services{scheduler_, *services_.hosts,
                                                                      services_.store, services_.time,
                                                                      services_.log},
                                                token_, lease_until_);
        hosts_->set_config(config);
    }
    scheduler_.set_config(std::move(config));
    next_removal_ = services_.time.now() + removal_interval;
    load_progress({});
    target_directory::handler h;
    h.on_snapshot = [this](const std::vector<target_info>& targets) { on_targets(targets); };
    h.on_target = [this](const target_info& info) {
        if (scheduler_.set_target(info, now()))
            request_pass();
    };
    h.on_removed = [this](const target_id& id) { scheduler_.unlist_target(id, now()); };
    services_.directory.open(std::move(h));
}

job_leader::~job_leader()
{
    services_.directory.close();
}

scheduler_time job_leader::now() const
{
    return {services_.time.now(), services_.time.unix_ms()};
}

void job_leader::load_progress(const std::string& after)
{
    services_.store.list(std::string{job_keys::progress}, after,
                         guarded([this, after](const tl::expected<store_page, store_errc>& page) {
                             if (!page) {
                                 load_after_ = after;
                                 next_load_ = services_.time.now() + settings_.retry;
                                 return;
                             }
                             for (const kv_entry& e : page->entries) {
                                 if (const std::optional<job_id> id =
                                         job_keys::job_of(job_keys::progress, e.key))
                                     stored_progress_[*id] = e.value;
                             }
                             if (page->more && !page->entries.empty())
                                 load_progress(page->entries.back().key);
                             else
                                 load_hosts({});
                         }));
}

void job_leader::load_hosts(const std::string& after)
{
    services_.store.list(std::string{job_keys::hosts}, after,
                         guarded([this, after](const tl::expected<store_page, store_errc>& page) {
                             if (!page) {
                                 load_hosts_after_ = after;
                                 next_load_ = services_.time.now() + settings_.retry;
                                 return;
                             }
                             host_entries_.insert(host_entries_.end(), page->entries.begin(),
                                                  page->entries.end());
                             if (page->more && !page->entries.empty()) {
                                 load_hosts(page->entries.back().key);
                                 return;
                             }
                             const std::vector<kv_entry> entries = std::exchange(host_entries_, {});
                             restore_silent_targets(entries);
                             if (hosts_)
                                 restore_hosts(entries);
                             follow_inbox();
                         }));
}

void job_leader::restore_hosts(const std::vector<kv_entry>& entries)
{
    std::map<std::string, wave_record> records;
    std::optional<host_order_record> orders{std::in_place};
    store_revision orders_revision = 0;
    for (const kv_entry& e : entries) {
        if (e.key == job_keys::host_orders) {
            orders_revision = e.revision;
            orders = decode_host_orders(e.value);
            if (!orders)
                services_.log.error("host_orders_unreadable", {{"revision", e.revision}});
        } else if (e.key.starts_with(job_keys::waves)) {
            if (std::optional<wave_record> record = decode_wave_record(e.value))
                records[e.key.substr(job_keys::waves.size())] = std::move(*record);
            else
                services_.log.error("wave_record_unreadable", {{"entry", e.key}});
        }
    }
    hosts_->restore(std::move(records), orders, orders_revision);
}

void job_leader::restore_silent_targets(const std::vector<kv_entry>& entries)
{
    for (const kv_entry& e : entries) {
        if (e.key == job_keys::lease_waits) {
            if (const std::optional<lease_waits> waits = decode_lease_waits(e.value))
                scheduler_.restore_lease_waits(*waits);
            else
                services_.log.error("lease_waits_unreadable", {{"revision", e.revision}});
        } else if (e.key == job_keys::run_times) {
            scheduler_.restore_run_times(run_times_.restore(e, settings_.scheduling.run_times));
        } else if (e.key == job_keys::given_up_runs) {
            if (std::optional<given_up_runs> runs = given_up_runs::decode(e.value))
                scheduler_.restore_given_up_runs(std::move(*runs), services_.time.now());
            else
                services_.log.error("given_up_runs_unreadable", {{"revision", e.revision}});
        }
    }
}

void job_leader::follow_inbox()
{
    prefix_watch::handler h;
    h.on_snapshot = [this](const std::vector<kv_entry>& entries) { on_inbox_snapshot(entries); };
    h.on_change = [this](const store_change& change) {
        if (!change.removed) {
            observe_cancel_delay(change.entry);
            on_inbox(change.entry);
        }
        request_pass();
    };
    h.on_store_reachability = [this](tl::expected<void, store_errc> reachability) {
        log_store_reachability(services_.log, "inbox", reachability);
    };
    inbox_ = std::make_unique<prefix_watch>(services_.store, services_.time,
                                            prefix_watch_settings{std::string{job_keys::inbox}}, h);
    inbox_->tick();
}

void job_leader::on_inbox_snapshot(const std::vector<kv_entry>& entries)
{
    for (const kv_entry& e : entries) {
        if (e.key.starts_with(job_keys::accepted))
            on_inbox(e);
    }
    for (const kv_entry& e : entries) {
        if (e.key.starts_with(job_keys::cancelled))
            on_inbox(e);
    }
    if (!loaded_)
        services_.log.info(
            "jobs_loaded",
            {{"entries", entries.size()}, {"with_progress", stored_progress_.size()}, {"token", token_}});
    loaded_ = true;
    if (hosts_)
        hosts_->set_waves(requests_.waves);
    stored_progress_.clear();
    request_pass();
}

void job_leader::on_inbox(const kv_entry& entry)
{
    if (const std::optional<job_id> id = job_keys::job_of(job_keys::cancelled, entry.key)) {
        scheduler_.cancel_job(*id, now());
        return;
    }
    const std::optional<job_id> id = job_keys::job_of(job_keys::accepted, entry.key);
    if (!id || scheduler_.find_job(*id) != nullptr)
        return;
    const auto progress = stored_progress_.find(*id);
    const std::optional<job_state> state =
        progress == stored_progress_.end() ? std::nullopt : decode_settled_state(progress->second);
    if (state) {
        scheduler_.restore_finished(*id, *state);
        return;
    }
    std::optional<job_record> record = decode_job(*id, entry.value);
    if (!record) {
        services_.log.error("job_unreadable", {{"job", *id}, {"revision", entry.revision}});
        return;
    }
    if (progress == stored_progress_.end())
        scheduler_.add_job(std::move(*record), now());
    else if (!scheduler_.restore_job(std::move(*record), progress->second, now()))
        services_.log.error("progress_unreadable", {{"job", *id}});
}

void job_leader::on_targets(const std::vector<target_info>& targets)
{
    std::set<target_id> listed;
    for (const target_info& info : targets) {
        listed.insert(info.id);
        scheduler_.set_target(info, now());
    }
    std::vector<target_id> missing;
    for (const auto& [id, t] : scheduler_.targets()) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const target_id& id : missing)
        scheduler_.unlist_target(id, now());
    has_targets_ = true;
    request_pass();
}

void job_leader::set_config(std::shared_ptr<const fleet_config> config)
{
    if (hosts_)
        hosts_->set_config(config);
    scheduler_.set_config(std::move(config));
    request_pass();
}

void job_leader::set_requests(const operator_requests& requests)
{
    requests_ = requests;
    scheduler_.set_evacuated_zones(requests_.evacuated_zones, now());
    request_pass();
    if (hosts_ && loaded_)
        hosts_->set_waves(requests_.waves);
}

void job_leader::tick()
{
    if (stopped_)
        return;
    if (load_after_ && services_.time.now() >= next_load_) {
        load_progress(*std::exchange(load_after_, std::nullopt));
    }
    if (load_hosts_after_ && services_.time.now() >= next_load_) {
        load_hosts(*std::exchange(load_hosts_after_, std::nullopt));
    }
    if (!journal_opened_ && !journal_opening_ && services_.time.now() >= next_load_) {
        journal_opening_ = true;
        journal_.open(guarded([this](const tl::expected<void, store_errc>& result) {
            journal_opening_ = false;
            journal_opened_ = result.has_value();
            if (!result)
                next_load_ = services_.time.now() + settings_.retry;
        }));
    }
    read_store_revision();
    if (inbox_)
        inbox_->tick();
    services_.directory.tick();
    if (loaded_) {
        scheduler_.tick(now());
        if (hosts_ && has_targets_)
            hosts_->tick();
        remove_expired_jobs();
        run_times_.tick(scheduler_.run_times());
    }
    plan_and_send();
}

void job_leader::read_store_revision()
{
    const timestamp at = services_.time.now();
    const timestamp shown = services_.store.complete_until(std::numeric_limits<store_revision>::max());
    if (at < next_revision_read_ || at - shown < settings_.revision_interval)
        return;
    // Does not wait for an earlier read, whose answer may be lost.
    next_revision_read_ = at + settings_.revision_interval;
    services_.store.list(std::string{job_keys::leader}, {},
                         [](const tl::expected<store_page, store_errc>&) {});
}

void job_leader::update_limits()
{
    view_times known;
    known.targets = services_.directory.view_time();
    known.cancellations = inbox_ ? inbox_->view_time() : timestamp{};
    known.configuration = services_.config_known_at ? services_.config_known_at() : services_.time.now();
    scheduler_.set_view_times(known);
    scheduler_.set_leader_lease(lease_until_());
    if (loaded_ && has_targets_)
        log_view_age(known);
}

void job_leader::log_view_age(const view_times& known)
{
    const timestamp at = services_.time.now();
    target_view_age_seconds_.set(seconds(at - known.targets));
    cancel_view_age_seconds_.set(seconds(at - known.cancellations));
    config_view_age_seconds_.set(seconds(at - known.configuration));
    if (scheduler_.may_start(at) != starts_paused_)
        return;
    starts_paused_ = !starts_paused_;
    services_.log.info(starts_paused_ ? "starts_paused" : "starts_resumed",
                       {{"targets_age_ms", to_ms(at - known.targets)},
                        {"cancellations_age_ms", to_ms(at - known.cancellations)},
                        {"configuration_age_ms", to_ms(at - known.configuration)}});
}

void job_leader::observe_cancel_delay(const kv_entry& entry)
{
    if (!job_keys::job_of(job_keys::cancelled, entry.key))
        return;
    if (const std::optional<std::int64_t> requested_ms = parse_integer<std::int64_t>(entry.value))
        cancel_delay_seconds_.observe(static_cast<double>(services_.time.unix_ms() - *requested_ms) / 1000.0);
}

void job_leader::request_pass()
{
    if (pass_requested_)
        return;
    pass_requested_ = true;
    services_.callbacks.post(guarded([this] {
        pass_requested_ = false;
        plan_and_send();
    }));
}

void job_leader::plan_and_send()
{
    if (stopped_)
        return;
    if (scheduler_.superseded()) {
        stopped_ = true;
        superseded_("a target follows a newer leader");
        return;
    }
    if (!loaded_ || !has_targets_)
        return;
    update_limits();
    if (journal_.idle()) {
        scheduler_.plan(now());
        std::optional<lease_waits> waits = scheduler_.take_unstored_waits(services_.time.now());
        std::optional<given_up_record> given_up = scheduler_.unstored_given_up_runs();
        if (scheduler_.has_unstored() || waits || given_up)
            journal_.write({scheduler_.unstored(progress_journal::capacity()), waits, std::move(given_up)});
    }
    for (const target_command& command : scheduler_.take_commands(now()))
        send(command);
    send_observations();
}

void job_leader::send(const target_command& command)
{
    if (const start_command* start = std::get_if<start_command>(&command)) {
        start_delay_seconds_.observe(seconds(services_.time.now() - start->planned_at));
        services_.orders.start(
            start->target, start->order,
            guarded([this, target = start->target.id, task = start->order.task,
                     run = start->order.run](const tl::expected<order_answer, order_errc>& answer) {
                if (!answer)
                    services_.log.warn("start_refused", {{"task", to_string(task)},
                                                         {"run", run},
                                                         {"target", target},
                                                         {"error", name_of(answer.error())}});
                scheduler_.on_start_answer(target, task, run, answer, now());
                request_pass();
            }));
    } else if (const stop_command* stop = std::get_if<stop_command>(&command)) {
        services_.orders.stop(stop->target, stop->task, stop->run, scheduler_.token_for(stop->target.id),
                              guarded([this, target = stop->target.id, task = stop->task, run = stop->run](
                                          const tl::expected<order_answer, order_errc>& answer) {
                                  const bool changed =
                                      scheduler_.on_stop_answer(target, task, run, answer, now());
                                  events_.on_stop_answer(task, run, target, answer, changed);
                                  request_pass();
                              }));
    } else if (const pace_command* pace = std::get_if<pace_command>(&command)) {
        events_.on_pace(*pace);
        services_.orders.pace(pace->target, pace->task, pace->run, pace->percent,
                              scheduler_.token_for(pace->target.id),
                              guarded([this](const tl::expected<order_answer, order_errc>& answer) {
                                  events_.on_pace_answer(answer);
                              }));
    }
}

void job_leader::send_observations()
{
    const timestamp at = services_.time.now();
    if (at < next_observation_search_)
        return;
    next_observation_search_ =
        at + search_interval * static_cast<std::int64_t>(scheduler_.targets().size() / targets_per_interval);
    for (const target_id& id : scheduler_.due_observations(at)) {
        const lease_request request = scheduler_.begin_observation(id, at);
        if (request.deadline_ms != 0)
            extended_leases_.add();
        else if (request.lease_withheld)
            withheld_leases_.add();
        services_.orders.observe(
            scheduler_.ref_of(id), request,
            guarded([this, id, at](const tl::expected<target_report, order_errc>& report) {
                scheduler_.on_report(id, report, at, now());
                request_pass();
            }));
    }
}

void job_leader::remove_expired_jobs()
{
    const timestamp at = services_.time.now();
    if (at < next_removal_)
        return;
    next_removal_ = at + removal_interval;
    std::vector<job_id> expired;
    for (const job_id& id : scheduler_.finished_jobs()) {
        const auto it = finished_at_.try_emplace(id, at).first;
        // Each job takes three keys of the transaction.
        if (at - it->second > settings_.retention && expired.size() < max_transaction_entries / 3 - 1)
            expired.push_back(id);
    }
    if (expired.empty())
        return;
    store_transaction t;
    t.expected.emplace_back(std::string{job_keys::leader}, token_);
    for (const job_id& id : expired) {
        t.removals.push_back(job_keys::of(job_keys::accepted, id));
        t.removals.push_back(job_keys::of(job_keys::cancelled, id));
        t.removals.push_back(job_keys::of(job_keys::progress, id));
    }
    services_.store.commit(std::move(t),
                           guarded([this, expired](const tl::expected<store_revision, transaction_error>& r) {
                               if (!r)
                                   return;
                               for (const job_id& id : expired) {
                                   scheduler_.forget_job(id);
                                   finished_at_.erase(id);
                               }
                           }));
}

tl::expected<job_status, leader_errc> job_leader::state_of(const job_id& id) const
{
    if (!loaded_)
        return tl::unexpected{leader_errc::loading};
    const job* j = scheduler_.find_job(id);
    if (j == nullptr)
        return tl::unexpected{leader_errc::unknown_job};
    // Of a job that had ended before this term only the state is known.
    if (j->record().queue.empty())
        return job_status{j->shown_state(), std::nullopt};
    return job_status{j->shown_state(), job_owner{j->record().queue, j->record().team}};
}

tl::expected<std::size_t, leader_errc> job_leader::waiting_jobs(const queue_id& queue) const
{
    if (!loaded_)
        return tl::unexpected{leader_errc::loading};
    if (services_.time.now() - inbox_->view_time() > settings_.max_count_age)
        return tl::unexpected{leader_errc::falls_behind};
    return scheduler_.waiting_jobs(queue);
}

} // namespace mjm
