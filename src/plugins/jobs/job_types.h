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

/// Pace of a task that works at its whole speed, in percent.
inline constexpr int full_pace = 100;

/// Number of a task's start; grows with each start.
using run_number = std::uint32_t;
/// Start time of a target's process; tells two lives of one target apart.
using target_incarnation = std::int64_t;
/// Token that targets compare; grows with each leader.
using fencing_token = std::uint64_t;

/// A step of a job: a number of equal tasks.
struct step_spec {
    std::uint32_t tasks = 1;
    resources need;                   ///< Of one task; `slots` is unused.
    duration estimate{0};             ///< Declared run time of a task; may be far off.
    std::vector<std::uint32_t> after; ///< Steps whose tasks must all be done first.
    bool saves_progress = false;      ///< A later run may continue from the last checkpoint.
    bool gang = false;                ///< The tasks work only while all of them are present.
    bool rack_sensitive = false;      ///< Slower when spread over more than one rack.
    std::string required_label;       ///< Empty for none.
    std::string data_rack;            ///< Slower on any other rack; empty for none.
    std::uint32_t max_per_target = 0; ///< 0 for no limit.
    bool speculative = false;         ///< Copies of a task may run in parallel.
    bool permanent = false;           ///< Runs until the job is cancelled and is restarted whatever ends it.
    std::string image;                ///< Tasks of one image behave alike.
    duration latency_objective{0};    ///< Bound of the tail latency that a permanent task offers; 0 for none.
    bool backfill = false;            ///< Uses what others leave over; not counted against capacity.
    std::uint32_t max_unavailable = 0; ///< Tasks that planned work may take away at a time.
};

/// What one task of the step takes of its target's capacity; work that uses what is left over takes no
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
    std::string payload; ///< Passed to the targets as it is.
    std::vector<step_spec> steps;
    std::uint32_t occurrences = 1; ///< The steps run this many times.
    bool scheduled = false;        ///< Occurrences are due at set times.
    std::int64_t first_due_ms = 0; ///< Unix time of the first occurrence.
    std::int64_t interval_ms = 0;  ///< Between two occurrences.
};

/// An accepted job, as the store keeps it.
struct job_record {
    job_id id;
    queue_id queue;
    service_id service;           ///< Of the queue when the job was accepted.
    team_id team;                 ///< Empty for a queue that is open to all.
    std::int64_t accepted_ms = 0; ///< Unix time.
    job_spec spec;
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

struct task_key {
    job_id job;
    task_position position;

    friend auto operator<=>(const task_key&, const task_key&) = default;
    friend bool operator==(const task_key&, const task_key&) = default;
};

/// Text form `job.occurrence.step.index`.
[[nodiscard]] std::string to_string(const task_key& key);
[[nodiscard]] std::optional<task_key> parse_task_key(std::string_view text);

/// How a run ended, as its target reports it.
enum class run_end { done, failed, stopped, lapsed, broken, alone };

template <>
struct enum_names<run_end> {
    static constexpr std::array<std::pair<run_end, std::string_view>, 6> entries{{
        {run_end::done, "done"},
        {run_end::failed, "failed"},
        {run_end::stopped, "stopped"},
        {run_end::lapsed, "lapsed"},
        {run_end::broken, "broken"},
        {run_end::alone, "alone"},
    }};
};

} // namespace mjm
