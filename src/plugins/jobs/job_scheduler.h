#pragma once

#include "jobs/evacuation.h"
#include "jobs/fleet_config.h"
#include "jobs/given_up_runs.h"
#include "jobs/job.h"
#include "jobs/lease_policy.h"
#include "jobs/placement.h"
#include "jobs/run_evidence.h"
#include "jobs/run_time_model.h"
#include "jobs/scheduler_events.h"
#include "jobs/scheduler_io.h"
#include "jobs/scheduler_settings.h"
#include "jobs/target_loss.h"
#include "jobs/target_status.h"
#include "jobs/work_order.h"
#include "jobs/write_queue.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mjm {

/// Hosts that take less work because of orders for them.
struct host_cordons {
    std::set<std::string> planned; ///< An order that ends the work on them has been chosen.
    std::set<std::string> ordered; ///< Such an order may be carried out at any time.
    /// Hosts that will be maintained. They get permanent tasks only if no other host has free capacity.
    std::set<std::string> maintained_soon;

    [[nodiscard]] host_cordon cordon_of(const std::string& host) const
    {
        if (ordered.contains(host))
            return host_cordon::ordered;
        return planned.contains(host) ? host_cordon::planned : host_cordon::none;
    }
    friend bool operator==(const host_cordons&, const host_cordons&) = default;
};

/// Decides for the leader which task runs on which target, and updates the jobs from the targets' answers and
/// reports. It does no I/O: the caller writes progress to the store, sends commands to targets, and passes
/// the answers in. A start becomes a command only once the store has the run.
class job_scheduler {
public:
    using log_handler = std::function<void(const scheduler_log_entry&)>;

    job_scheduler(scheduler_settings settings, fencing_token token, scheduler_time time, log_handler handler);

    // Jobs.
    /// Adds a job without progress. Has no effect if the job is known.
    void add_job(job_record record, scheduler_time time);
    /// Adds a job with its stored progress. Returns false if the progress cannot be read; the job is added
    /// even then.
    [[nodiscard]] bool restore_job(job_record record, std::string_view progress, scheduler_time time);
    /// Adds a job that has ended and of which only the state is needed.
    void restore_finished(const job_id& id, job_state state);
    void cancel_job(const job_id& id, scheduler_time time);
    void forget_job(const job_id& id);
    [[nodiscard]] const job* find_job(const job_id& id) const;
    /// Returns the jobs whose final state is stored and that have no runs left.
    [[nodiscard]] std::vector<job_id> finished_jobs() const;
    /// Returns the number of accepted jobs of the queue of which no task has started.
    [[nodiscard]] std::size_t waiting_jobs(const queue_id& queue) const;

    // Configuration and targets.
    void set_config(std::shared_ptr<const fleet_config> config);
    /// Adds a target or updates its entry of service discovery. Returns whether anything has changed.
    bool set_target(const target_info& info, scheduler_time time);
    /// Handles that service discovery no longer has an entry for the target.
    void unlist_target(const target_id& id, scheduler_time time);
    /// Sets the times whose targets, cancellations and configuration this scheduler knows. A scheduler that
    /// falls behind starts no run with an old view.
    void set_view_times(const view_times& known) { known_at_ = known; }
    /// Sets the time until which no other host can lead. Without it, this leader starts nothing and extends
    /// no lease.
    void set_leader_lease(timestamp until) { leases_.set_leader_lease(until); }
    /// Whether the views are recent enough for starts.
    [[nodiscard]] bool may_start(timestamp now) const { return now <= views_recent_until(); }
    /// Returns the time until which the views are recent enough for starts if they are not renewed.
    [[nodiscard]] timestamp views_recent_until() const;
    void set_cordons(host_cordons cordons);
    /// Sets the zones to whose targets nothing more is sent. What runs there goes on.
    void set_evacuated_zones(const std::set<zone_id>& zones, scheduler_time time);
    [[nodiscard]] const evacuation_state& evacuation() const { return evacuation_; }
    /// Handles the platform's confirmation that the target's host was moved or maintained, now or earlier.
    /// If the target answers afterwards, the confirmed order was an earlier one, and the target and its runs
    /// are kept. Silence alone does not show which it was: the runs are then kept until `on_host_taken_down`,
    /// a successor on the host, or the end of the lease.
    void on_host_order_confirmed(const target_id& id, scheduler_time time);
    /// Handles that the target's host is down, as listed by the platform, so that all its runs have ended.
    void on_host_taken_down(const target_id& id, scheduler_time time);
    [[nodiscard]] pool_demand demand_of(const service_id& service) const;
    [[nodiscard]] bool only_permanent_runs(const target_id& id) const;
    [[nodiscard]] bool has_permanent_runs(const target_id& id) const;
    /// Returns the targets that this scheduler does not know and on which an earlier leader has started runs.
    [[nodiscard]] std::set<target_id> unknown_targets_with_runs() const;
    /// Whether every step with a limit of unavailable tasks stays within it if the target's tasks are lost.
    [[nodiscard]] bool can_lose(const target_id& id) const;
    /// Sets whether an order that ends all runs on the target may have been carried out.
    void set_leaving(const target_id& id, bool leaving);
    /// Stops one task of each step that has more tasks on the target than may be unavailable at a time, so
    /// that it moves to another target. Skips steps that have no unavailable task to spare at present, and
    /// tasks that have no place elsewhere. Returns whether a task was stopped.
    bool move_excess_tasks(const target_id& id, scheduler_time time);
    /// Stops runs that can continue on another target from their checkpoint.
    void stop_resumable_runs(const target_id& id, scheduler_time time);
    [[nodiscard]] const std::map<target_id, target_status>& targets() const { return targets_; }

    // Planning and storing.
    /// Chooses targets for waiting tasks. The runs start once their jobs' changes are stored.
    void plan(scheduler_time time);
    /// Whether jobs, targets or free capacity have changed since the last `plan`.
    [[nodiscard]] bool planning_needed() const { return !plan_needed_.empty(); }
    [[nodiscard]] bool has_unstored() const { return !unstored_.empty(); }
    /// Returns the progress of at most `most` jobs with changes that the store does not have, first of those
    /// that have waited longest.
    [[nodiscard]] std::vector<progress_write> unstored(std::size_t most) const;
    /// Sets the waits for silent targets that an earlier leader has stored. Must precede all orders.
    void restore_lease_waits(const lease_waits& waits);
    /// Returns the waits for silent targets if they are to be stored.
    [[nodiscard]] std::optional<lease_waits> take_unstored_waits(timestamp now);
    void on_waits_stored(const lease_waits& waits);
    /// Sets the runs that earlier leaders have given up. Must precede all reports.
    void restore_given_up_runs(given_up_runs runs, timestamp now);
    /// Returns the runs that were given up if the store doesn't have them as they are now. They are to be
    /// stored with the next progress, or before it, so that no later run starts without them.
    [[nodiscard]] std::optional<given_up_record> unstored_given_up_runs() const;
    void on_given_up_runs_stored(const given_up_record& record);
    /// Handles that the store has these writes since `revision`, at which this host led: planned runs start,
    /// and ends are acknowledged to targets.
    void on_stored(const std::vector<progress_write>& writes, scheduler_time time,
                   fencing_token revision = 0);
    /// Returns the commands to be sent now. Starts that are no longer allowed are withdrawn, since any event
    /// may have been handled since they were ordered.
    [[nodiscard]] std::vector<target_command> take_commands(scheduler_time time);

    // Run times.
    void restore_run_times(run_time_model model) { run_times_ = std::move(model); }
    [[nodiscard]] const run_time_model& run_times() const { return run_times_; }

    // Answers.
    void on_start_answer(const target_id& target, const task_key& key, run_number run,
                         const tl::expected<order_answer, order_errc>& answer, scheduler_time time);
    /// Returns whether the outcome differs from that of the previous stop of the run; a first success does
    /// not.
    bool on_stop_answer(const target_id& target, const task_key& key, run_number run,
                        const tl::expected<order_answer, order_errc>& answer, scheduler_time time);
    void on_report(const target_id& target, const tl::expected<target_report, order_errc>& report,
                   timestamp sent_at, scheduler_time time);

    // Observation.
    /// Returns the targets whose observation is due. The caller sends the request that `begin_observation`
    /// returns.
    [[nodiscard]] std::vector<target_id> due_observations(timestamp now) const;
    [[nodiscard]] lease_request begin_observation(const target_id& target, timestamp now);
    [[nodiscard]] target_ref ref_of(const target_id& target) const;

    /// Does the work that depends on time: discards the runs of lost targets, repeats stops, and moves tasks
    /// off draining targets.
    void tick(scheduler_time time);

    [[nodiscard]] fencing_token token_for(const target_id& target) const;
    /// Whether a target has refused an order because it obeys a newer leader.
    [[nodiscard]] bool superseded() const { return superseded_; }

private:
    struct open_job {
        std::unique_ptr<job> state;
        const queue_config* queue = nullptr; ///< Null if the queue is no longer configured.
        service_id service;
        std::size_t active_runs = 0;
        std::optional<work_rank> waiting_rank; ///< Rank under which the job is in its service's queue.
        bool changed = false;                  ///< Whether the job is in `changed_jobs_`.
        std::optional<pool_demand> demand;     ///< Empty if the job has changed since it was computed.
        /// By step: number of runs on each target.
        std::vector<std::map<target_id, std::uint32_t>> step_runs;
        std::vector<step_times> times; ///< By step: run times of tasks that are done.
    };

    struct ranked_job {
        work_rank rank;
        open_job* open = nullptr;
        [[nodiscard]] bool operator<(const ranked_job& other) const
        {
            if (rank < other.rank || other.rank < rank)
                return rank < other.rank;
            return open->state->id() < other.open->state->id();
        }
    };
    /// The open jobs of a service, and the order in which its waiting tasks are planned.
    struct service_queue {
        std::map<job_id, open_job*> jobs; ///< Jobs that are not in a final state.
        std::set<ranked_job> waiting;     ///< Those of them that have tasks without a run.
        /// No task of a waiting job needs less than this of any kind of resource.
        resources smallest_need;
        std::int64_t ranks_valid_until_ms = 0; ///< When the first rank in `waiting` changes.
        timestamp next_ranking;
    };
    /// Targets among which planning chooses.
    struct candidate_targets {
        std::vector<target_status*> targets;
        bool permanent_tasks_only = false;
    };
    class unsatisfiable_needs;

    // job_scheduler.cpp
    void log_event(scheduler_event event, const job_id& id, const task_key* task, run_number run,
                   const target_id& target, std::string reason, std::int64_t age_ms = 0);
    void insert_job(std::unique_ptr<job> j);
    void mark_changed(job& j);
    void resolve_service(open_job& open);
    void reserve_capacity(open_job& open, const task_position& p, task_run& run);
    void release_capacity(open_job& open, const task_position& p, const task_run& run);
    /// Adds the runs that were restored before their target was listed to the target's used capacity.
    void account_restored_runs(target_status& t);
    /// Notes what a run that is no task's current one uses.
    void note_need(unknown_run& unknown, const open_job& open, const task_position& p) const;
    void release_unknown_runs(const unknown_run_map& runs);
    /// Removes a run that has no effect any more, so that its task can be started again.
    void discard_run(open_job& open, const task_position& p, const char* reason, scheduler_time time);
    /// Stops the runs of a job that has ended or is cancelled, and handles a newly reached final state.
    void after_change(open_job& open, scheduler_time time);
    void stop_run(open_job& open, const task_position& p, const char* reason, timestamp now);
    void send_stop(const task_key& key, task_run& run, timestamp now);
    [[nodiscard]] target_status* find_target(const target_id& id);
    [[nodiscard]] open_job* find_open(const job_id& id);
    void discard_runs_of_target(target_status& t, const char* reason, scheduler_time time);
    void set_service_of_target(target_status& t, const service_id& service);
    /// Discards restored runs whose target is unknown, and repeats stops without an answer.
    void check_runs(scheduler_time time);
    void move_off_draining_targets(scheduler_time time);

    /// Calls `visit(job, position, task)` for each task that has a run. The visitor may end the run.
    template <typename Visit>
    void for_tasks_with_runs(Visit visit)
    {
        std::vector<open_job*> with_runs;
        with_runs.reserve(jobs_with_runs_.size());
        for (const auto& [id, open] : jobs_with_runs_)
            with_runs.push_back(open);
        for (open_job* open : with_runs) {
            open->state->for_open_tasks([&](const task_position& p, task& t) {
                if (t.run)
                    visit(*open, p, t);
            });
        }
    }

    /// Calls `visit(job, position, run)` for each run on the target. The visitor may end the run.
    template <typename Visit>
    void for_runs(const target_status& t, Visit visit)
    {
        std::vector<std::pair<open_job*, task_position>> runs;
        runs.reserve(t.runs.size());
        for (const task_key& key : t.runs) {
            if (open_job* open = find_open(key.job))
                runs.emplace_back(open, key.position);
        }
        for (const auto& [open, p] : runs) {
            if (open->state->at(p).run)
                visit(*open, p, *open->state->at(p).run);
        }
    }

    // scheduler_queue.cpp
    /// Notes that the job's waiting tasks may have changed; `update_queues` then ranks it again.
    void note_changed(open_job& open);
    void update_queues(scheduler_time time);
    void rank(service_queue& queue, open_job& open, scheduler_time time);
    void unrank(open_job& open);
    /// Ranks all waiting jobs of the queue again if the order may depend on the time that has passed.
    void refresh_ranks(service_queue& queue, scheduler_time time);

    // scheduler_hosts.cpp
    [[nodiscard]] pool_demand demand_of_job(job& j) const;
    /// Whether the predicate is true for the step of any run on the target.
    [[nodiscard]] bool any_step_on(const target_id& id, bool (*predicate)(const step_spec&)) const;
    /// Whether the task runs at full pace on a reachable target whose runs are not about to be ended.
    [[nodiscard]] bool stays_available(const task& t) const;
    /// Whether a target other than the one of its run would take the task now.
    [[nodiscard]] bool has_place_elsewhere(const open_job& open, const task_position& p, timestamp now);
    /// Returns the number of the step's tasks for which `stays_available` is false, not counting those with a
    /// run on `except`.
    [[nodiscard]] std::uint32_t unavailable_tasks(job& j, std::uint32_t step, const target_id& except) const;
    void on_host_down(target_status& t, scheduler_time time);
    /// Handles that targets whose hosts were ordered down have a successor on their host.
    void end_ordered_predecessors(const target_info& successor, scheduler_time time);

    // scheduler_evacuation.cpp
    /// Counts what the evacuation of zones concerns, once per `evacuation_check_interval`.
    void check_evacuation(scheduler_time time);
    [[nodiscard]] bool runs_in_evacuated_zone(const task_run& run) const;
    [[nodiscard]] std::set<job_id> jobs_awaiting_zones(scheduler_time time) const;

    // scheduler_plan.cpp
    void plan_pool(const service_id& service, service_queue& queue, scheduler_time time);
    /// Plans what waits in the queue, in the order of its ranks.
    void plan_waiting_tasks(const service_queue& queue, const candidate_targets& pool, scheduler_time time);
    void plan_job(open_job& open, const candidate_targets& pool, unsatisfiable_needs& unsatisfiable,
                  scheduler_time time);
    void plan_step(open_job& open, std::uint32_t occurrence, std::uint32_t number,
                   const candidate_targets& pool, unsatisfiable_needs& unsatisfiable, scheduler_time time);
    [[nodiscard]] placement_request placement_of(const open_job& open, const task_position& p) const;
    void plan_all_services();
    void plan_task(open_job& open, const task_position& p, target_status& t, scheduler_time time);
    /// Returns the rack on which a rack-sensitive step already has a run; empty if there is none.
    [[nodiscard]] std::string rack_of_step(const open_job& open, std::uint32_t step) const;
    [[nodiscard]] bool within_cap(const open_job& open, const step_spec& step) const;
    void order_start(open_job& open, const task_position& p, scheduler_time time);
    /// Returns why the planned run must not be started at present, or null if it may be.
    [[nodiscard]] const char* obstacle_to_start(const task_run& run, timestamp now) const;
    /// Removes starts that must not be sent any more, and discards their runs.
    void withdraw_starts(scheduler_time time);
    /// Returns, for each target whose runs exceed its capacity, what is left for the starts that wait to be
    /// sent. Runs of which no start has been sent are not counted.
    [[nodiscard]] std::map<target_id, resources> capacity_for_starts() const;
    /// Returns why the start must not be sent any more, or null if it may be.
    [[nodiscard]] const char* obstacle_to_sending(const start_command& start, timestamp now) const;

    // scheduler_run_times.cpp
    /// Sets what is expected of the job's tasks.
    void expect_run_times(open_job& open) const;
    /// Records the run time of a task whose run has ended as done.
    void learn_run_time(const open_job& open, const task_position& p, timestamp now);
    /// Returns the time that few tasks of the step exceed.
    [[nodiscard]] duration expected_at_most(const open_job& open, std::uint32_t step) const;

    // scheduler_leases.cpp
    /// Notes that the target's lease is granted or extended.
    void note_lease(target_status& t, const granted_lease& lease, timestamp now) const;
    /// Returns the latest time at which all runs on the target have stopped if the lease is not extended.
    [[nodiscard]] timestamp lease_over_at(const target_status& t);
    /// Notes that the store may have a wait for the target's lease. Until it is removed there, the lease must
    /// not be extended, since a next leader would not know.
    void set_wait_stored(const target_id& id);
    void note_silent_target(const target_id& id, timestamp lease_over_at);

    // scheduler_given_up.cpp
    /// Notes that the task's run is given up because its target is silent. `suspect` tells whether it may
    /// turn out to be the cause.
    void note_given_up(const open_job& open, const task_position& p, const std::string& host, bool suspect);
    void on_listed_end(target_status& t, const listed_end& end, scheduler_time time);
    /// Discards the task's current run, since an earlier one has ended. Returns false if its start may still
    /// be on its way, so that it can't be told when it is over.
    bool withdraw_later_run(open_job& open, const task_position& p, scheduler_time time);
    /// Withholds an end of which it is not known what it proves. Its run counts as over without a result.
    void withhold_unreadable_end(target_status& t, const target_report& report);
    /// Handles that the target has listed the end of a lease after all withheld ends.
    void release_withheld_ends(target_status& t);
    /// Forgets the runs of which a complete report shows that they are not on the target.
    void resolve_given_up(const target_status& t, const target_report& report);

    // scheduler_crashes.cpp
    /// Discards the lost runs of a target that has ended.
    void lose_runs(target_status& t, const target_loss& loss, scheduler_time time);
    /// Returns the runs of these tasks that may be the cause of a crash.
    [[nodiscard]] std::vector<lost_run> possible_causes(const std::vector<task_key>& keys);
    /// Counts a crash for the runs. If it is attributable, it is attributed to the only one of them that was
    /// on probation, unless the host has crashed before without a cause.
    void record_crash(const target_id& target, const std::string& host, const std::vector<lost_run>& suspects,
                      bool attributable, scheduler_time time);
    void on_history_changed(open_job& open, const lost_run& lost, const target_id& target);
    /// Gives up the jobs of those of the tasks under which too many targets have crashed.
    void give_up_jobs(const std::vector<lost_run>& suspects, scheduler_time time);
    /// Discards the runs of a target whose lease has run out in silence.
    void lose_silent_target(target_status& t, scheduler_time time);
    /// Notes the runs on probation of a target that is lost in silence, and returns them.
    std::vector<lost_run> note_lost_target(const target_status& t, scheduler_time time);
    /// Notes a run that was lost with a target that may have crashed or may only be silent.
    void note_unresolved(open_job& open, const lost_run& lost, const target_id& target, scheduler_time time);
    /// Handles what is known by now of a target that was lost in silence: it answers again if its incarnation
    /// is the one that was lost, and has crashed otherwise.
    void resolve_lost_target(const target_id& id, std::optional<target_incarnation> incarnation,
                             scheduler_time time);
    /// Handles that lost targets have a successor under their id or on their host, so that they have crashed.
    void resolve_predecessors(const target_info& successor, scheduler_time time);
    /// Handles that the lost target has crashed if its successor is known already.
    void resolve_if_succeeded(const target_id& id, scheduler_time time);
    /// Handles that a report lists the task's run, whose probation or series of crashes may be over by that.
    void check_probation(open_job& open, const task_position& p, timestamp sent_at, timestamp now);
    [[nodiscard]] bool is_suspected(const task& t) const;
    [[nodiscard]] bool must_be_isolated(const task& t) const;
    /// Handles that the run has been at work long enough not to be the cause of a later crash.
    void pass_probation(open_job& open, const task_position& p);
    void clear_crash_history(open_job& open, task& t);
    /// Count a run on probation in the status of its target.
    void start_probation(const task_run& run);
    void end_probation(const task_run& run);
    [[nodiscard]] bool awaits_isolation(const task_key& key);
    /// Whether the target is still kept for the task and may still be used for it.
    [[nodiscard]] bool keeps_place(const target_status& t, const task_key& key, timestamp now);
    /// Frees the targets that are no longer needed for isolated runs.
    void update_isolation(scheduler_time time);
    void plan_isolated_tasks(const service_id& service, const std::vector<target_status*>& pool,
                             scheduler_time time);
    /// Returns the target that is kept for the task's isolated run, or null if no more may be kept.
    [[nodiscard]] target_status* keep_target_for(const task_key& key, const placement_request& request,
                                                 const std::vector<target_status*>& pool,
                                                 scheduler_time time);
    /// Gives up the target that is kept for the task, so that other isolated tasks get their turn.
    void yield_target(const task_key& key, timestamp now);
    [[nodiscard]] target_status* best_for_isolation(const placement_request& request,
                                                    const std::vector<target_status*>& pool,
                                                    timestamp now) const;
    void forget_old_crashes(timestamp now);

    // scheduler_pace.cpp
    /// Sets the pace of backfill tasks by the tail latencies of the other tasks on the target.
    void adjust_pace(target_status& t, const target_report& report, timestamp now);
    /// Slows a backfill task down that has just started, if the others leave less than its full pace.
    void pace_started_run(target_status& t, const open_job& open, const task_key& key, run_number run,
                          timestamp now);
    void send_pace(const target_status& t, const paced_run& order);

    // scheduler_stragglers.cpp
    /// Moves the task elsewhere if its run, which the target listed when its clock showed `clock_ms`, was
    /// stalled by then. A target that sends no report is never held to have stalled a run.
    void move_if_stalled(open_job& open, const task_position& p, std::int64_t clock_ms, scheduler_time time);
    /// Whether the task is one that is moved when its run stalls.
    [[nodiscard]] bool may_be_moved(const open_job& open, const task_position& p) const;
    /// Returns the age above which the task's run on the target is stalled, or no value if that is not known.
    [[nodiscard]] std::optional<duration> stall_bound(const open_job& open, const task_position& p,
                                                      const target_status& t, timestamp now) const;
    /// Returns the time after which the next report on the task's run on the target is needed, so that a
    /// stalled run is noticed and a stop that has failed is repeated soon.
    [[nodiscard]] duration time_to_next_report(const open_job& open, const task_position& p,
                                               const target_status& t, timestamp now) const;
    /// Returns the time, in whole milliseconds, for which the target may delay its answer to an observation.
    [[nodiscard]] duration observation_wait(const target_status& t, timestamp now) const;
    /// Stops the run if another target has free capacity for the task.
    void move_straggler(open_job& open, const task_position& p, scheduler_time time);

    // scheduler_reports.cpp
    /// Updates the state from the answer to any order. Returns the run that the order was for, or null if
    /// that run has ended.
    task_run* apply_answer(const target_id& target, const task_key& key, run_number run,
                           const tl::expected<order_answer, order_errc>& answer, scheduler_time time);
    /// Handles that the target has refused a start since its lease was over.
    void on_late_start(target_status& t, timestamp now);
    /// Discards a run whose start has reached another target, so that it never ran.
    void discard_unreceived_start(const target_id& target, const task_key& key, run_number run,
                                  scheduler_time time);
    void on_end(target_status& t, const listed_end& end, scheduler_time time);
    /// Counts the end of the task's latest run, or of one that was given up without a later start.
    void apply_end(target_status& t, open_job& open, const listed_end& end, scheduler_time time);
    /// Notes that the job has changed by the end, which is acknowledged once the store has the change.
    void note_unstored_end(target_status& t, std::uint64_t sequence, job& j);
    /// The queue's present number of attempts or, while it is not configured, that of the acceptance.
    [[nodiscard]] std::uint32_t max_attempts_of(const open_job& open) const;
    void on_failed_run(target_status& t, open_job& open, const task_position& p, scheduler_time time);
    void reconcile_runs(target_status& t, const target_report& report, timestamp sent_at,
                        scheduler_time time);
    void stop_unknown_run(const target_status& t, const listed_run& run, unknown_run& unknown, timestamp now);
    /// Whether a run on the target is waiting for the report that follows a confirmed stop.
    [[nodiscard]] bool has_stopped_run(const target_status& t) const;
    /// Whether the run's latest stop has failed, and was sent longer than `interval` ago.
    [[nodiscard]] static bool stop_failed(const task_run& run, duration interval, timestamp now);
    void on_missing_run(open_job& open, const task_position& p, absence meaning, scheduler_time time);
    /// Handles a restart of the target. Unless all its runs are known to belong to former incarnations, the
    /// new one's first report decides which of them are lost.
    void on_target_restart(target_status& t, target_incarnation incarnation, scheduler_time time);
    /// Handles that the target's address belongs to another target or incarnation, so that all its runs have
    /// ended.
    void on_other_instance(target_status& t, scheduler_time time);
    /// Handles an observation that failed.
    void on_no_report(target_status& t, order_errc ec, timestamp sent_at, scheduler_time time);
    void on_fenced_order(target_status* t, scheduler_time time);
    void set_clock(target_status& t, std::int64_t clock_ms, timestamp now);
    /// Removes ends that the store has by now from `unstored`, so that they can be acknowledged to the
    /// target.
    void drop_stored_ends(target_status& t);

    const scheduler_settings settings_;
    const fencing_token token_;
    fencing_token latest_token_; ///< Highest one below those of all later leaders.
    lease_policy leases_;
    std::map<target_id, timestamp> silent_targets_; ///< With runs; and when their leases are over.
    std::set<target_id> stored_waits_;              ///< Targets for which the store may have a wait.
    timestamp next_waits_write_;
    given_up_runs given_up_;
    run_time_model run_times_;
    std::uint64_t given_up_stored_ = 0; ///< Number of the latest change of `given_up_` that the store has.
    const log_handler log_handler_;
    std::shared_ptr<const fleet_config> config_;
    std::unordered_map<job_id, open_job> jobs_;
    std::map<service_id, service_queue> queues_;
    std::vector<open_job*> changed_jobs_;
    std::map<target_id, target_status> targets_;
    std::map<target_id, backfill_pace> paces_; ///< Of targets with backfill runs or a limit of their paces.
    std::map<service_id, std::map<target_id, target_status*>> targets_by_service_;
    std::set<target_id> with_unstored_ends_; ///< Targets whose ends the store may not have.
    std::map<team_id, resources> team_use_;  ///< Of all runs, also those in `unknown_runs` of targets.
    std::map<job_id, open_job*> jobs_with_runs_;
    write_queue unstored_;
    crash_rate crash_rate_;
    std::map<target_id, lost_target> lost_targets_;
    /// Targets that were lost under earlier leaders and whose successors have not been looked for yet.
    std::set<target_id> restored_losses_;
    std::map<std::string, timestamp> crashed_hosts_; ///< Until when crashes are attributed to the host.
    std::set<task_key> isolated_tasks_;              ///< Tasks whose next run is to be isolated.
    std::map<task_key, kept_target> isolation_targets_;
    host_cordons cordons_;
    evacuation_state evacuation_;
    std::vector<target_command> commands_;
    std::set<service_id> plan_needed_; ///< Services whose jobs, targets or free capacity have changed.
    timestamp next_full_plan_;
    timestamp next_run_check_;
    view_times known_at_;
    bool superseded_ = false;
};

} // namespace mjm
