#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/resources.h"
#include "core/time_types.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

using job_id = strong_string<struct job_tag>;
using queue_id = strong_string<struct queue_tag>;

/// Pace of a task that runs at its full speed, in percent.
inline constexpr int full_pace = 100;

/// Number of a run of a task; the first run is 1, and each further start increments it.
using run_number = std::uint32_t;
/// Identifies one run of a target's process, from its start to its end. It is the start time that the
/// platform reports, so that a restarted target has a larger one.
using target_incarnation = std::int64_t;
/// Number of a leader's term, sent with each order. It grows with each leader, and a target refuses orders
/// with a smaller one than it has seen.
using fencing_token = std::uint64_t;

/// A step of a job: a number of equal tasks.
struct step_spec {
    std::uint32_t tasks = 1;
    resources need;                   ///< Resources that one task needs; `slots` is unused.
    duration estimate{0};             ///< Declared run time of a task; may be far off.
    std::vector<std::uint32_t> after; ///< Indexes of the steps whose tasks must all be done first.
    bool saves_progress = false;      ///< Whether a later run may continue from the last checkpoint.
    bool gang = false;                ///< Whether the tasks make progress only while all of them run.
    bool rack_sensitive = false;      ///< Whether tasks are slower when spread over several racks.
    std::string required_label;       ///< Label that the target must have; empty for none.
    std::string data_rack;            ///< Rack on which the tasks are not slowed down; empty for none.
    std::uint32_t max_per_target = 0; ///< Limit of tasks on one target; 0 for no limit.
    bool speculative = false;         ///< Whether copies of a task may run in parallel.
    bool permanent = false;        ///< Whether tasks run until the job is cancelled; restarted after any end.
    std::string image;             ///< Image of the tasks; tasks of one image behave alike.
    duration latency_objective{0}; ///< Largest tail latency that a permanent task may show; 0 for none.
    bool backfill = false;         ///< Whether tasks use processor time that others leave; none is reserved.
    std::uint32_t max_unavailable = 0; ///< Limit of tasks that maintenance takes away at a time; 0 for none.
};

/// Returns the share of its target's capacity that one task of the step reserves. A backfill task reserves no
/// processor time.
[[nodiscard]] inline resources counted_need(const step_spec& step)
{
    resources need = step.need;
    if (step.backfill)
        need.milli_cpu = 0;
    return need;
}

/// Work that a caller has submitted.
struct job_spec {
    std::string payload; ///< Passed to the targets unchanged.
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 1; ///< Number of times that all steps run.
    bool scheduled = false;        ///< Whether each occurrence has a time before which it must not start.
    std::int64_t first_due_ms = 0; ///< Unix time at which the first occurrence is due.
    std::int64_t interval_ms = 0;  ///< Time between two occurrences.
};

/// An accepted job as it is kept in the store.
struct job_record {
    job_id id;
    queue_id queue;
    service_id service;             ///< Service of the queue when the job was accepted.
    team_id team;                   ///< Empty for a queue that is open to all.
    std::int64_t accepted_ms = 0;   ///< Unix time of the acceptance.
    std::uint32_t max_attempts = 0; ///< The queue's when the job was accepted; 0 in earlier records.
    job_spec spec;
};

/// The queue and the team with which a job was accepted, which decide who may see and cancel it.
struct job_owner {
    queue_id queue;
    team_id team; ///< Empty for a job that is open to all.
};

enum class job_state { pending, running, completed, failed, cancelled };

template <>
struct enum_names<job_state> {
    static constexpr std::array<std::pair<job_state, std::string_view>, 5> entries{{
        {job_state::pending, "pending"},
        {job_state::running, "running"},
        {job_state::completed, "completed"},
        {job_state::failed, "failed"},
        {job_state::cancelled, "cancelled"},
    }};
};

/// What the leader tells about a job.
struct job_status {
    job_state state = job_state::pending;
    std::optional<job_owner> owner; ///< Unset in answers of earlier versions.
};

/// Whether a job in this state has ended and never runs again.
[[nodiscard]] constexpr bool is_final(job_state s)
{
    return s == job_state::completed || s == job_state::failed || s == job_state::cancelled;
}

/// Position of a task within its job.
struct task_position {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_position&, const task_position&) = default;
};

/// Identifies a task among all jobs.
struct task_key {
    job_id job;
    task_position position;

    friend auto operator<=>(const task_key&, const task_key&) = default;
    friend bool operator==(const task_key&, const task_key&) = default;
};

/// Returns the text form `job.occurrence.step.index`.
[[nodiscard]] std::string to_string(const task_key& key);
/// Parses the text form from its end, since a job id may contain dots. Returns std::nullopt if the text is
/// malformed.
[[nodiscard]] std::optional<task_key> parse_task_key(std::string_view text);

/// How a run ended, as reported by its target.
enum class run_end { done, failed, stopped, lease_expired, broken, alone };

template <>
struct enum_names<run_end> {
    static constexpr std::array<std::pair<run_end, std::string_view>, 6> entries{{
        {run_end::done, "done"},
        {run_end::failed, "failed"},
        {run_end::stopped, "stopped"},
        {run_end::lease_expired, "lapsed"},
        {run_end::broken, "broken"},
        {run_end::alone, "alone"},
    }};
};

} // namespace mjm
