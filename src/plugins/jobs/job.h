#pragma once

#include "jobs/job_types.h"

#include <optional>
#include <string>
#include <vector>

namespace mjm {

enum class run_phase {
    planned,     ///< Chosen, not yet stored; no order has been sent.
    ordered,     ///< The order has been sent and is not answered.
    unconfirmed, ///< The target may or may not have the run.
    running,
    stopping, ///< A stop has been asked for; the run may still work.
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

/// A run that may use its target's resources.
struct task_run {
    run_number number = 0;
    target_id target;
    target_incarnation incarnation = 0;
    run_phase phase = run_phase::planned;
    std::uint64_t planned_change = 0; ///< Change of the job that the store must have before the start.
    timestamp ordered_at;             ///< When the latest start or stop was sent.
    timestamp answered_at;            ///< When the target confirmed the start.
    int pace_percent = 100;
    bool order_out = false; ///< An order for the run awaits its answer.
    bool at_work = false;   ///< The target lists it as working at full share.
};

struct task {
    bool done = false;
    run_number last_run = 0;
    run_number ended_run = 0; ///< Latest run whose end has been counted; targets repeat ends.
    std::uint32_t failures = 0;
    std::string checkpoint;
    std::optional<task_run> run;
    timestamp not_before; ///< Earliest next start, after a failure.
    target_id failed_on;  ///< Target where it failed or stood still last; avoided by the next run.
    bool moved = false;   ///< Was stopped because it stood still; a second time it stays where it is.
};

/// An accepted job and the progress of its tasks. Pure state: time comes in as an argument.
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
    /// Whether all steps that step `n` of the occurrence waits for are done.
    [[nodiscard]] bool step_ready(std::uint32_t occurrence, std::uint32_t n) const;
    /// Whether the occurrence may start at this Unix time.
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
    /// A task has ended as done; the job may become completed.
    void finish_task(const task_position& p);
    /// A run has failed; the job fails for good when the task has used up its attempts.
    void fail_task(const task_position& p, std::uint32_t max_attempts);
    /// Moves to `cancelled` when nothing of a cancelled job runs any more.
    void settle_cancel();
    /// Restores a final state from the store.
    void restore_final(job_state s) { state_ = s; }
    /// Recomputes the state after tasks were restored.
    void restore_progress(bool started);

    [[nodiscard]] std::size_t open_tasks() const { return open_; }
    [[nodiscard]] std::size_t active_runs() const;
    /// Longest chain of declared run times through the steps.
    [[nodiscard]] duration chain() const { return chain_; }
    /// Longest chain through the steps that are not done.
    [[nodiscard]] duration remaining_chain() const;
    /// Declared core-seconds of the tasks that are not done.
    [[nodiscard]] double open_work_core_seconds() const;
    [[nodiscard]] bool permanent() const { return permanent_; }

    /// State that callers may be told. A final state counts only once the store has it: until then a next
    /// leader would run the job's last tasks again.
    [[nodiscard]] job_state shown_state() const;

    std::uint64_t change = 0;       ///< Counts changes that the store has to learn.
    std::uint64_t stored = 0;       ///< The last change that the store has.
    std::uint64_t final_change = 0; ///< The change that brought the final state.

private:
    [[nodiscard]] std::size_t index_of(const task_position& p) const
    {
        return p.occurrence * per_occurrence_ + offsets_[p.step] + p.index;
    }
    [[nodiscard]] duration chain_over(bool open_only) const;

    job_record record_;
    std::vector<task> tasks_;
    std::vector<std::size_t> offsets_;      ///< Of each step within an occurrence.
    std::vector<std::uint32_t> open_steps_; ///< Tasks not done, by occurrence and step.
    std::size_t per_occurrence_ = 0;
    std::size_t open_ = 0;
    duration chain_{0};
    job_state state_ = job_state::pending;
    bool started_ = false;
    bool cancelled_ = false;
    bool permanent_ = false;
};

} // namespace mjm
