#include "core/task_types.h"

namespace mjm {

namespace {

int refusal_status(reason why)
{
    switch (why) {
    case reason::bad_request:
    case reason::ticket_invalid:
        return 400;
    case reason::key_missing:
    case reason::key_invalid:
        return 401;
    case reason::unknown_service:
    case reason::unknown_request:
        return 404;
    case reason::ticket_expired:
        return 410;
    case reason::never_runnable:
        return 422;
    case reason::ticket_required:
        return 428;
    case reason::queue_full:
    case reason::no_permit:
    case reason::retry_budget:
        return 429;
    case reason::deadline:
        return 504;
    default:
        return 503;
    }
}

} // namespace

int http_status(outcome_kind kind, reason why)
{
    switch (kind) {
    case outcome_kind::completed:
        return 200;
    case outcome_kind::failed:
        return 502;
    case outcome_kind::refused_not_run:
        return refusal_status(why);
    case outcome_kind::cancelled_not_run:
    case outcome_kind::cancelled_running:
        return 409;
    case outcome_kind::unknown:
        break;
    }
    return 500;
}

} // namespace mjm
