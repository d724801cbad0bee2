#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/resources.h"
#include "core/time_types.h"

#include <string>

namespace mjm {

enum class priority { normal, urgent };

template <>
struct enum_names<priority> {
    static constexpr std::array<std::pair<priority, std::string_view>, 2> entries{{
        {priority::normal, "normal"},
        {priority::urgent, "urgent"},
    }};
};

/// What became of a request. The set is closed; each kind is a statement that must be true.
enum class outcome_kind {
    completed,         ///< Ran to its end; the body is the whole answer.
    failed,            ///< Ran, and the work itself reported a failure.
    refused_not_run,   ///< Never started, and never will be under this submission.
    cancelled_not_run, ///< Cancelled before any start was sent to a target.
    cancelled_running, ///< Cancelled after a start was sent; it may have run in part.
    unknown,           ///< Whether it ran cannot be determined.
};

template <>
struct enum_names<outcome_kind> {
    static constexpr std::array<std::pair<outcome_kind, std::string_view>, 6> entries{{
        {outcome_kind::completed, "completed"},
        {outcome_kind::failed, "failed"},
        {outcome_kind::refused_not_run, "refused_not_run"},
        {outcome_kind::cancelled_not_run, "cancelled_not_run"},
        {outcome_kind::cancelled_running, "cancelled_running"},
        {outcome_kind::unknown, "unknown"},
    }};
};

/// Reason given with `refused_not_run`, `failed` or `unknown`.
enum class reason {
    none,
    bad_request,        ///< The request is malformed.
    key_missing,        ///< No key was presented for a queue that requires one.
    key_invalid,        ///< The key is not granted, or has been withdrawn.
    key_not_verifiable, ///< The configuration cannot be confirmed as current.
    unknown_service,
    ticket_required, ///< A request that is not idempotent needs a ticket.
    ticket_invalid,  ///< The ticket is forged, or names another service or team.
    ticket_expired,
    queue_full,
    overloaded,
    draining,
    deadline,           ///< The deadline passed before the request was started.
    never_runnable,     ///< No target of the service can ever hold the declared size.
    no_capacity,        ///< The service has no usable target now.
    no_permit,          ///< The shard has none of the team's permits and cannot get any now.
    retry_budget,       ///< A retry would have been safe, but the retry budget was used up.
    failing_everywhere, ///< Failed on several targets.
    target_lost,        ///< The target was lost while the task may have been running.
    answer_incomplete,  ///< No whole answer could be obtained.
    shard_unreachable,  ///< The owner of the ticket's shard cannot be reached.
    shard_recovering,   ///< The new owner cannot tell yet whether the request was started.
    memory_lost,        ///< A target that could have run the request lost its memory.
    unknown_request,    ///< No such request is known.
    moved,              ///< The shard has another owner; used between processes only.
    pending,            ///< Not ended yet; used between processes only.
};

template <>
struct enum_names<reason> {
    static constexpr std::array<std::pair<reason, std::string_view>, 26> entries{{
        {reason::none, "none"},
        {reason::bad_request, "bad_request"},
        {reason::key_missing, "key_missing"},
        {reason::key_invalid, "key_invalid"},
        {reason::key_not_verifiable, "key_not_verifiable"},
        {reason::unknown_service, "unknown_service"},
        {reason::ticket_required, "ticket_required"},
        {reason::ticket_invalid, "ticket_invalid"},
        {reason::ticket_expired, "ticket_expired"},
        {reason::queue_full, "queue_full"},
        {reason::overloaded, "overloaded"},
        {reason::draining, "draining"},
        {reason::deadline, "deadline"},
        {reason::never_runnable, "never_runnable"},
        {reason::no_capacity, "no_capacity"},
        {reason::no_permit, "no_permit"},
        {reason::retry_budget, "retry_budget"},
        {reason::failing_everywhere, "failing_everywhere"},
        {reason::target_lost, "target_lost"},
        {reason::answer_incomplete, "answer_incomplete"},
        {reason::shard_unreachable, "shard_unreachable"},
        {reason::shard_recovering, "shard_recovering"},
        {reason::memory_lost, "memory_lost"},
        {reason::unknown_request, "unknown_request"},
        {reason::moved, "moved"},
        {reason::pending, "pending"},
    }};
};

/// HTTP status sent to callers for an outcome.
[[nodiscard]] int http_status(outcome_kind kind, reason why);

/// A caller's request as the owner of a shard sees it.
struct request {
    request_id id;
    team_id team; ///< Empty in a queue open to all.
    service_id service;
    priority urgency = priority::normal;
    bool idempotent = false;
    std::string ticket; ///< Text form; empty when the request is idempotent.
    resources declared;
    duration declared_run{0}; ///< 0 when not declared.
    duration timeout{
        0}; ///< Remaining time until the caller's deadline, relative so that no clocks are compared.
    std::string body;
};

/// What became of a request, as told to its caller.
struct outcome {
    outcome_kind kind = outcome_kind::unknown;
    reason why = reason::none;
    duration retry_after{0}; ///< 0 when a retry is not advised.
    std::string body;        ///< The whole answer with `completed` and `failed`.
};

} // namespace mjm
