#pragma once

#include "jobs/crash_history.h"
#include "jobs/crash_streak.h"
#include "jobs/job_types.h"
#include "jobs/target_orders.h"

#include <optional>
#include <string>
#include <vector>

namespace mjm {

enum class run_phase {
    planned,     ///< The target is chosen, but the store does not have the run yet; no order has been sent.
    ordered,     ///< The start is in flight.
    unconfirmed, ///< The target may or may not have the run.
    running,     ///< The target has confirmed or listed the run.
    stopping,    ///< A stop has been requested; the run may still work.
};

template <>
struct enum_names<run_phase> {
    static constexpr std::array<std::pair<run_phase, std::string_view>, 5> entries{{
        {run_phase::planned, "planned"},
        {run_phase::ordered, "ordered"},
        {run_phase::unconfirmed, "unconfirmed"},
        {run_phase::running, "running"},
        {run_phase::stopping, "stopping"},
    }};
};

/// A planned run, or one that may be using its target's resources.
struct task_run {
    run_number number = 0;
    target_id target;
    target_incarnation incarnation = 0;
    run_phase phase = run_phase::planned;
    std::uint64_t planned_change = 0; ///< Number of the job's change that must be stored before the start.
    timestamp ordered_at;             ///< When the run was planned, or the latest start or stop was sent; the
                                      ///< epoch if an earlier leader has started it.
    timestamp listed_at;              ///< When a report listed it last; the epoch if none has.
    timestamp answered_at; ///< When the target confirmed the latest order; the epoch if it has not.
    std::int64_t confirmed_clock_ms = 0;  ///< The target's clock when it confirmed the start.
    int unanswered_stops = 0;             ///< Stops sent since the target confirmed an order.
    std::optional<order_errc> stop_error; ///< Why the latest stop that was answered had no effect.
    /// Whether a report of `incarnation` has listed it. Otherwise, it may also belong to a later one.
    bool listed = false;
    bool on_known_target = false; ///< Whether the run is counted in the status of its target.
    bool order_pending = false;   ///< Whether a start or stop of the run is in flight.
    bool at_full_pace = false;    ///< Whether the target lists it as running at full pace.
    bool on_probation = true;     ///< Whether it may be the cause if its target crashes.
    bool suspected = false;       ///< Whether earlier runs of the task were lost in crashes.
};

struct task {
    bool done = false;
    run_number last_run = 0;
    run_number last_sent_run = 0; ///< Latest run whose start may have been sent.
    run_number ended_run = 0;     ///< Latest run whose end has been handled; targets repeat ends.
    std::uint32_t failures = 0;
    std::string checkpoint;
    std::optional<task_run> run;
    timestamp not_before;     ///< Earliest time of the next start after a failure.
    target_id avoided_target; ///< Target where the task last failed or stalled; avoided by the next run.
    bool moved_as_straggler = false; ///< Whether a stalled run was moved; a task is moved only once.
    crash_history crashes;
    crash_streak streak;
    run_number passed_probation = 0; ///< Latest run that was at work for the probation time.
};

/// An accepted job and the progress of its tasks. It reads no clock: time is passed as an argument.
class job {
public:
    explicit job(job_record record);

    [[nodiscard]] const job_record& record() const { return record_; }
    [[nodiscard]] const job_id& id() const { return record_.id; }
    [[nodiscard]] job_state state() const { return state_; }
    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] bool cancelled() const { return cancelled_; }

    [[nodiscard]] task& at(const task_position& p) { return tasks_[index_of(p)]; }
    [[nodiscard]] const task& at(const task_position& p) const { return tasks_[index_of(p)]; }
    [[nodiscard]] bool contains(const task_position& p) const;
    [[nodiscard]] const step_spec& step(std::uint32_t n) const { return record_.spec.steps[n]; }
    /// Whether all steps on which step `n` of the occurrence depends are done.
    [[nodiscard]] bool step_ready(std::uint32_t occurrence, std::uint32_t n) const;
    /// Whether the occurrence is due at this Unix time.
    [[nodiscard]] bool due(std::uint32_t occurrence, std::int64_t unix_ms) const;

    /// Calls `visit(position, task)` for each task that is not done.
    template <typename Visit>
    void for_open_tasks(Visit visit)
    {
        std::size_t i = 0;
        for (std::uint32_t k = 0; k < record_.spec.occurrences; ++k) {
            for (std::uint32_t s = 0; s < record_.spec.steps.size(); ++s) {
                for (std::uint32_t n = 0; n < record_.spec.steps[s].tasks; ++n, ++i) {
                    if (!tasks_[i].done)
                        visit(task_position{k, s, n}, tasks_[i]);
                }
            }
        }
    }

    void mark_started() { started_ = true; }
    void cancel() { cancelled_ = true; }
    /// Marks a task as done. The job becomes completed with its last task.
    void finish_task(const task_position& p);
    /// Counts a failed run of a task. The job fails once the task has used up its attempts; permanent tasks
    /// have no limit of attempts.
    void fail_task(const task_position& p, std::uint32_t max_attempts);
    /// Gives the job up: it becomes failed unless it is cancelled or has ended.
    void give_up();
    /// Changes the state to `cancelled` if the job is cancelled and has no runs left.
    void finish_cancellation();
    /// Restores a final state that was read from the store.
    void restore_final(job_state s) { state_ = s; }
    /// Recomputes the state after the tasks have been restored.
    void restore_progress(bool started);

    [[nodiscard]] std::size_t open_tasks() const { return open_; }
    [[nodiscard]] std::size_t active_runs() const;
    /// Sets how long a task of each step is expected to run; at first that is the declared run time.
    void set_expected_run_times(std::vector<duration> expected);
    [[nodiscard]] duration expected_run_time(std::uint32_t step) const { return expected_run_times_[step]; }
    /// Returns the sum of expected run times along the critical path through the steps of an occurrence.
    [[nodiscard]] duration critical_path() const { return critical_path_; }
    /// Returns the same sum over those steps that are not done in the first occurrence.
    [[nodiscard]] duration remaining_critical_path() const { return remaining_critical_path_; }
    /// Returns the expected core-seconds of the tasks that are not done.
    [[nodiscard]] double open_work_core_seconds() const { return open_work_core_seconds_; }
    /// Returns, for each kind of resource, the smallest amount that a task of any step reserves.
    [[nodiscard]] const resources& smallest_need() const { return smallest_need_; }
    [[nodiscard]] bool permanent() const { return permanent_; }

    /// Returns the state that callers may be told. A final state is shown only once the store has it: until
    /// then, a new leader would run the job's last tasks again.
    [[nodiscard]] job_state shown_state() const;

    std::uint64_t last_change = 0;   ///< Number of the latest change; each change must be stored.
    std::uint64_t stored_change = 0; ///< Number of the latest change that the store has.
    std::uint64_t final_change = 0;  ///< Number of the change that contains the final state.

private:
    [[nodiscard]] std::size_t index_of(const task_position& p) const
    {
        return p.occurrence * tasks_per_occurrence_ + step_offsets_[p.step] + p.index;
    }
    [[nodiscard]] duration compute_critical_path(bool open_only) const;
    [[nodiscard]] double compute_open_work() const;
    /// Recomputes what depends on which tasks are done.
    void update_remaining_work();

    job_record record_;
    std::vector<task> tasks_;
    std::vector<duration> expected_run_times_;      ///< Of one task, by step.
    std::vector<std::size_t> step_offsets_;         ///< Index of each step's first task within an occurrence.
    std::vector<std::uint32_t> open_tasks_by_step_; ///< Tasks that are not done, by occurrence and step.
    std::size_t tasks_per_occurrence_ = 0;
    std::size_t open_ = 0;
    duration critical_path_{0};
    duration remaining_critical_path_{0};
    double open_work_core_seconds_ = 0.0;
    resources smallest_need_;
    job_state state_ = job_state::pending;
    bool started_ = false;
    bool cancelled_ = false;
    bool permanent_ = false;
};

} // namespace mjm
