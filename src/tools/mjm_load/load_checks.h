#pragma once

#include "core/enum_names.h"
#include "core/task_types.h"
#include "fleet_plan.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mjm {

/// One request of the load as its caller saw it, over all its submissions.
struct request_record {
    std::size_t number = 0;
    team_id team;
    service_id service;
    priority urgency = priority::normal;
    bool idempotent = false;
    bool asynchronous = false;
    bool cancelled = false;
    std::string payload;              ///< Body handed to the target.
    std::set<request_id> ids;         ///< Identifiers of all submissions, from tickets and answers.
    std::set<request_id> not_run;     ///< Those that an answer stated as not run.
    request_id answered_id;           ///< Identifier in the last answer.
    std::optional<outcome_kind> kind; ///< Nothing while the request has no outcome.
    reason why = reason::none;
    std::string result;            ///< With `completed` and `failed`.
    std::int64_t submitted_us = 0; ///< Monotonic clock at the first submission.
    duration latency{0};           ///< From the first submission to the outcome.
    std::size_t submissions = 0;
};

/// One entry of a target's run log.
struct run_record {
    target_id target;
    std::string task;
    request_id request;
    team_id team;
    std::int64_t started_us = 0;
    std::int64_t ended_us = 0; ///< Time of reading when the task was still running.
};

struct target_record_state {
    target_id target;
    std::int64_t running_high_water = 0;
    std::int64_t connections_high_water = 0;
};

struct target_limits {
    std::int64_t slots = 8;
    std::int64_t connections = 64;
};

enum class load_check {
    at_most_once,  ///< A non-idempotent request started more than once.
    true_refusal,  ///< A request answered as not run has a run.
    whole_answer,  ///< An answer is not the whole answer to its own request.
    completed_ran, ///< A request answered as completed has no run.
    team_limit,    ///< A team had more tasks running than its limit.
    target_slots,  ///< A target ran more tasks than it has slots.
    target_connections,
    every_outcome, ///< A request has no outcome.
    logs_readable, ///< A target's run log could not be read, so that the other checks are incomplete.
};

template <>
struct enum_names<load_check> {
    static constexpr std::array<std::pair<load_check, std::string_view>, 9> entries{{
        {load_check::at_most_once, "at_most_once"},
        {load_check::true_refusal, "true_refusal"},
        {load_check::whole_answer, "whole_answer"},
        {load_check::completed_ran, "completed_ran"},
        {load_check::team_limit, "team_limit"},
        {load_check::target_slots, "target_slots"},
        {load_check::target_connections, "target_connections"},
        {load_check::every_outcome, "every_outcome"},
        {load_check::logs_readable, "logs_readable"},
    }};
};

struct violation {
    load_check check = load_check::at_most_once;
    std::string subject; ///< Request identifier, team or target.
    std::string detail;
};

/// Everything that the checks compare.
struct load_history {
    fleet_plan plan;
    target_limits limits;
    std::vector<request_record> requests;
    std::vector<run_record> runs;
    std::vector<target_record_state> targets;
    std::vector<target_id> unreadable;
};

[[nodiscard]] std::vector<violation> check_load(const load_history& history);

/// Most intervals open at once; one that ends when another starts does not overlap it.
[[nodiscard]] std::int64_t peak_overlap(const std::vector<std::pair<std::int64_t, std::int64_t>>& intervals);

/// Request identifier that a submission with this ticket gets; nothing when the ticket is malformed.
[[nodiscard]] std::optional<request_id> id_of_ticket(std::string_view ticket);

} // namespace mjm
