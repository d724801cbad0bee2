#pragma once

#include "core/enum_names.h"
#include "jobs/job_types.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mjm {

/// Decisions and observations of the scheduler, for the log and metrics.
enum class scheduler_event {
    job_added,
    job_cancelled,
    job_finished,
    run_planned,
    run_discarded,
    run_ended,
    target_added,
    target_changed,
    target_unlisted,
    target_reachable,
    target_unreachable,
    target_restarted,
    target_lost,
    target_avoided,
    unknown_run_stopped,
    run_stop_requested,
    target_crashed,
    task_suspected,
    job_given_up,
    end_withheld,
    given_up_runs_dropped,
    evacuation_started,
    evacuation_ended,
    job_awaits_zone,
};

template <>
struct enum_names<scheduler_event> {
    static constexpr std::array<std::pair<scheduler_event, std::string_view>, 24> entries{{
        {scheduler_event::job_added, "job_added"},
        {scheduler_event::job_cancelled, "job_cancelled"},
        {scheduler_event::job_finished, "job_finished"},
        {scheduler_event::run_planned, "run_planned"},
        {scheduler_event::run_discarded, "run_void"},
        {scheduler_event::run_ended, "run_ended"},
        {scheduler_event::target_added, "target_added"},
        {scheduler_event::target_changed, "target_changed"},
        {scheduler_event::target_unlisted, "target_unlisted"},
        {scheduler_event::target_reachable, "target_reachable"},
        {scheduler_event::target_unreachable, "target_unreachable"},
        {scheduler_event::target_restarted, "target_reborn"},
        {scheduler_event::target_lost, "target_lost"},
        {scheduler_event::target_avoided, "target_avoided"},
        {scheduler_event::unknown_run_stopped, "unknown_run_stopped"},
        {scheduler_event::run_stop_requested, "run_stop_requested"},
        {scheduler_event::target_crashed, "target_crashed"},
        {scheduler_event::task_suspected, "task_suspected"},
        {scheduler_event::job_given_up, "job_given_up"},
        {scheduler_event::end_withheld, "end_withheld"},
        {scheduler_event::given_up_runs_dropped, "given_up_runs_dropped"},
        {scheduler_event::evacuation_started, "evacuation_started"},
        {scheduler_event::evacuation_ended, "evacuation_ended"},
        {scheduler_event::job_awaits_zone, "job_awaits_zone"},
    }};
};

/// One decision or observation. Fields that do not apply are empty.
struct scheduler_log_entry {
    scheduler_event event = scheduler_event::job_added;
    job_id job;
    std::optional<task_key> task;
    run_number run = 0;
    target_id target;
    std::string reason;
    std::int64_t age_ms = 0; ///< Age of the job or run, or of the information on which a decision is based.
};

} // namespace mjm
