#pragma once

#include "jobs/fleet_config.h"
#include "jobs/job.h"
#include "jobs/placement.h"
#include "jobs/scheduler_settings.h"
#include "jobs/target_status.h"
#include "jobs/work_order.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace mjm {

/// Time as the scheduler sees it in one step.
struct scheduler_time {
    timestamp now;
    std::int64_t unix_ms = 0;
};

/// A job's progress as the store is to keep it.
struct progress_write {
    job_id job;
    std::uint64_t change = 0;
    std::string text;
};

struct start_command {
    target_ref target;
    start_order order;
};
struct stop_command {
    target_ref target;
    task_key task;
    run_number run = 0;
};
struct pace_command {
    target_ref target;
    task_key task;
    run_number run = 0;
    int percent = 100;
};
using target_command = std::variant<start_command, stop_command, pace_command>;

/// Why the scheduler changed what it believes, for the log.
enum class scheduler_event {
    job_added,
    job_cancelled,
    job_finished,
    run_planned,
    run_void,
    run_ended,
    target_added,
    target_changed,
    target_unlisted,
    target_reachable,
    target_unreachable,
    target_reborn,
    target_lost,
    target_avoided,
    unknown_run_stopped,
    run_stop_requested,
};

template <>
struct enum_names<scheduler_event> {
    static constexpr std::array<std::pair<scheduler_event, std::string_view>, 16> entries{{
        {scheduler_event::job_added, "job_added"},
        {scheduler_event::job_cancelled, "job_cancelled"},
        {scheduler_event::job_finished, "job_finished"},
        {scheduler_event::run_planned, "run_planned"},
        {scheduler_event::run_void, "run_void"},
        {scheduler_event::run_ended, "run_ended"},
        {scheduler_event::target_added, "target_added"},
        {scheduler_event::target_changed, "target_changed"},
        {scheduler_event::target_unlisted, "target_unlisted"},
        {scheduler_event::target_reachable, "target_reachable"},
        {scheduler_event::target_unreachable, "target_unreachable"},
        {scheduler_event::target_reborn, "target_reborn"},
        {scheduler_event::target_lost, "target_lost"},
        {scheduler_event::target_avoided, "target_avoided"},
        {scheduler_event::unknown_run_stopped, "unknown_run_stopped"},
        {scheduler_event::run_stop_requested, "run_stop_requested"},
    }};
};

/// One decision or observation; empty fields do not apply.
struct scheduler_log_entry {
    scheduler_event event = scheduler_event::job_added;
    job_id job;
    std::string task;
    run_number run = 0;
    target_id target;
    std::string reason;
    std::int64_t age_ms = 0; ///< Of the job, or of the report that decided.
};

/// Resources that a service's open jobs ask for.
struct pool_demand {
    resources total;   ///< Of running and waiting tasks; of a step that waits for others, its full width.
    resources present; ///< Of running and waiting tasks.
    resources waiting; ///< Of tasks that could run now.
};

/// The leader's decisions: which task runs where, and what its target's reports mean. It does no I/O: the
/// caller stores progress before it lets starts out, sends commands, and passes answers in.
class job_scheduler {
public:
    using note_handler = std::function<void(const scheduler_log_entry&)>;

    job_scheduler(scheduler_settings settings, fencing_token token, scheduler_time time, note_handler note);

    // Jobs.
    /// Adds a job without progress; a known one is left as it is.
    void add_job(job_record record, scheduler_time time);
    /// Adds a job with its stored progress; false when the progress cannot be read.
    [[nodiscard]] bool restore_job(job_record record, std::string_view progress, scheduler_time time);
    /// Adds a job that has ended, of which only the state is still needed.
    void restore_finished(const job_id& id, job_state state);
    void cancel_job(const job_id& id, scheduler_time time);
    void forget_job(const job_id& id);
    [[nodiscard]] const job* find_job(const job_id& id) const;
    /// Stored jobs in a final state of which nothing runs.
    [[nodiscard]] std::vector<job_id> finished_jobs() const;
    /// Accepted jobs of the queue for which no task has started.
    [[nodiscard]] std::size_t waiting_jobs(const queue_id& queue) const;

    // Configuration and targets.
    void set_config(std::shared_ptr<const fleet_config> config);
    void set_target(const target_info& info, scheduler_time time);
    void unlist_target(const target_id& id, scheduler_time time);
    /// Hosts that take no new work, and hosts that will be maintained and so take no permanent tasks if
    /// others have room.
    void set_cordons(const std::set<std::string>& cordoned, const std::set<std::string>& maintained_soon);
    /// The platform says that the target's host was moved or maintained, now or earlier. Its runs are given
    /// up when the target does not answer any more; an answer shows that the order was an earlier one.
    void on_host_order_confirmed(const target_id& id, scheduler_time time);
    [[nodiscard]] pool_demand demand_of(const service_id& service) const;
    [[nodiscard]] bool only_permanent_runs(const target_id& id) const;
    [[nodiscard]] bool has_permanent_runs(const target_id& id) const;
    /// Whether every step with a limit of unavailable tasks can lose those on the target.
    [[nodiscard]] bool can_lose(const target_id& id) const;
    /// An order that ends everything on the target is on its way, or was refused after all.
    void set_leaving(const target_id& id, bool leaving);
    /// Moves a permanent task elsewhere when the target has more of a step than may be missing at a time.
    void move_excess_tasks(const target_id& id, scheduler_time time);
    /// Stops runs that can continue elsewhere from their checkpoint.
    void stop_resumable_runs(const target_id& id, scheduler_time time);
    [[nodiscard]] const std::map<target_id, target_status>& targets() const { return targets_; }

    // Planning and storing.
    /// Chooses targets for waiting tasks; the runs start once their jobs' changes are stored.
    void plan(scheduler_time time);
    [[nodiscard]] bool has_unstored() const { return !dirty_.empty(); }
    [[nodiscard]] std::vector<progress_write> unstored(std::size_t most) const;
    /// The store has these changes: planned runs of them may start, ends may be forgotten.
    void on_stored(const std::vector<progress_write>& writes, scheduler_time time);
    [[nodiscard]] std::vector<target_command> take_commands();

    // Answers.
    void on_start_answer(const target_id& target, const task_key& key, run_number run,
                         const tl::expected<order_answer, order_errc>& answer, scheduler_time time);
    void on_stop_answer(const target_id& target, const task_key& key, run_number run,
                        const tl::expected<order_answer, order_errc>& answer, scheduler_time time);
    void on_report(const target_id& target, const tl::expected<target_report, order_errc>& report,
                   timestamp sent_at, scheduler_time time);

    // Observation.
    /// Targets whose observation is due; the caller sends what `begin_observation` returns.
    [[nodiscard]] std::vector<target_id> due_observations(timestamp now) const;
    [[nodiscard]] lease_request begin_observation(const target_id& target, timestamp now);
    [[nodiscard]] target_ref ref_of(const target_id& target) const;

    /// Time-driven work: lost targets, stops to repeat, work to move off leaving targets.
    void tick(scheduler_time time);

    /// A target obeys a newer leader.
    [[nodiscard]] bool superseded() const { return superseded_; }

private:
    struct open_job {
        std::unique_ptr<job> state;
        service_id service;
        std::size_t active_runs = 0;
        std::vector<std::map<target_id, std::uint32_t>> step_runs; ///< By step: runs on each target.
        std::vector<step_times> times;                             ///< By step.
    };

    struct ranked_job;
    class needs_without_room;

    // job_scheduler.cpp
    void note(scheduler_event event, const job_id& id, const task_key* task, run_number run,
              const target_id& target, std::string reason, std::int64_t age_ms = 0);
    void insert_job(std::unique_ptr<job> j);
    void mark_changed(job& j);
    void resolve_service(open_job& open);
    [[nodiscard]] const queue_config* queue_of(const job& j) const;
    void take_room(open_job& open, const task_position& p, const task_run& run);
    void release_room(open_job& open, const task_position& p, const task_run& run);
    /// Accounts for runs that were restored before their target was listed.
    void adopt_restored_runs(target_status& t);
    void void_run(open_job& open, const task_position& p, const char* reason, scheduler_time time);
    void after_change(open_job& open, scheduler_time time);
    void stop_run(open_job& open, const task_position& p, const char* reason, timestamp now);
    void send_stop(const task_key& key, task_run& run, timestamp now);
    [[nodiscard]] target_status* find_target(const target_id& id);
    [[nodiscard]] open_job* find_open(const job_id& id);
    void void_runs_of_target(target_status& t, const char* reason, scheduler_time time);
    void leave_draining_targets(scheduler_time time);

    /// Calls `visit(job, position, task)` for each task that has a run; it may end the run.
    template <typename Visit>
    void for_tasks_with_runs(Visit visit)
    {
        const std::set<job_id> with_runs = with_runs_;
        for (const job_id& id : with_runs) {
            open_job& open = jobs_.at(id);
            open.state->for_open_tasks([&](const task_position& p, task& t) {
                if (t.run)
                    visit(open, p, t);
            });
        }
    }

    /// Calls `visit(job, position, run)` for each run on the target; it may end the run.
    template <typename Visit>
    void for_runs(const target_status& t, Visit visit)
    {
        const std::set<task_key> runs = t.runs;
        for (const task_key& key : runs) {
            open_job* open = find_open(key.job);
            if (open != nullptr && open->state->at(key.position).run)
                visit(*open, key.position, *open->state->at(key.position).run);
        }
    }

    // scheduler_hosts.cpp
    void add_demand(const open_job& open, pool_demand& demand) const;
    /// Whether `holds` for the step of any run on the target.
    [[nodiscard]] bool any_step_on(const target_id& id, bool (*holds)(const step_spec&)) const;
    [[nodiscard]] bool stays_at_work(const task& t) const;
    /// Tasks of the step that are not at work or will not stay so, leaving those on `except` aside.
    [[nodiscard]] std::uint32_t tasks_away(job& j, std::uint32_t step, const target_id& except) const;
    void target_ended(target_status& t, scheduler_time time);

    // scheduler_plan.cpp
    void plan_pool(const service_id& service, const std::set<job_id>& jobs, scheduler_time time);
    void plan_job(open_job& open, const std::vector<target_status*>& pool, needs_without_room& full,
                  scheduler_time time);
    void plan_step(open_job& open, std::uint32_t occurrence, std::uint32_t number,
                   const std::vector<target_status*>& pool, needs_without_room& full, scheduler_time time);
    [[nodiscard]] placement_request placement_of(const open_job& open, const task_position& p) const;
    void plan_all_services();
    void plan_task(open_job& open, const task_position& p, target_status& t, scheduler_time time);
    /// Rack of the tasks of a rack-sensitive step that run already; empty for none.
    [[nodiscard]] std::string rack_of_step(const open_job& open, std::uint32_t step) const;
    [[nodiscard]] bool within_cap(const open_job& open, const step_spec& step) const;
    void order_start(open_job& open, const task_position& p, scheduler_time time);
    /// Latest end, on this host's clock, of a target's lease that was granted at `granted_at`.
    [[nodiscard]] timestamp lease_end(timestamp granted_at) const;

    // scheduler_stragglers.cpp
    void move_stragglers(scheduler_time time);
    [[nodiscard]] bool stands_still(const open_job& open, const task_position& p, const task_run& run,
                                    scheduler_time time) const;
    /// Stops the run if another target has room for the task.
    void move_straggler(open_job& open, const task_position& p, scheduler_time time);

    // scheduler_reports.cpp
    /// What the answer to any order tells; the run that it was about, or null when that is over.
    task_run* take_answer(const target_id& target, const task_key& key, run_number run,
                          const tl::expected<order_answer, order_errc>& answer, scheduler_time time);
    void on_end(target_status& t, const listed_end& end, scheduler_time time);
    void on_failed_run(target_status& t, open_job& open, const task_position& p, scheduler_time time);
    void compare_runs(target_status& t, const target_report& report, timestamp sent_at, scheduler_time time);
    /// Whether a stop was answered, so that the next report tells what became of its run.
    [[nodiscard]] bool has_stopped_run(const target_status& t) const;
    void on_missing_run(open_job& open, const task_position& p, timestamp sent_at, scheduler_time time);
    /// The target has been started again: it holds and lists nothing of before.
    void begin_life(target_status& t, target_incarnation incarnation, scheduler_time time);
    /// The target's address belongs to another one, so that everything on it has ended.
    void on_other_instance(target_status& t, scheduler_time time);
    void on_no_report(target_status& t, order_errc ec, scheduler_time time);
    void adjust_pace(target_status& t, const target_report& report);
    void set_clock(target_status& t, std::int64_t clock_ms, timestamp now);
    void note_stored_ends(target_status& t);

    const scheduler_settings settings_;
    const fencing_token token_;
    const timestamp began_;
    const note_handler note_;
    std::shared_ptr<const fleet_config> config_;
    std::map<job_id, open_job> jobs_;
    std::map<service_id, std::set<job_id>> open_by_service_; ///< Jobs that are not in a final state.
    std::map<target_id, target_status> targets_;
    std::map<team_id, resources> team_use_;
    std::set<job_id> with_runs_; ///< Jobs of which something may be running.
    std::set<job_id> dirty_;     ///< Jobs with changes that the store has to learn.
    std::set<std::string> cordons_;
    std::set<std::string> maintained_soon_;
    std::vector<target_command> commands_;
    std::set<service_id> plan_needed_; ///< Services whose jobs, targets or room have changed.
    timestamp next_full_plan_;
    timestamp next_straggler_look_;
    bool superseded_ = false;
};

} // namespace mjm
