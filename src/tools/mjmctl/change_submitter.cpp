#include "change_submitter.h"

namespace mjm {

namespace {

constexpr duration poll_interval{std::chrono::milliseconds{500}};

/// Outcome of an answer that tells what became of the change; nothing when it does not tell.
std::optional<change_outcome> conclude(const change& c, const admin_answer& answer)
{
    if (!answer.succeeded())
        return std::nullopt;
    const bool decided = answer.outcome == "accepted" || answer.outcome == "rejected";
    switch (c.kind) {
    case change_kind::propose:
        if (decided || answer.outcome == "open")
            return change_outcome{ctl_exit::done, answer};
        return std::nullopt;
    case change_kind::accept:
    case change_kind::bootstrap:
        if (decided)
            return change_outcome{answer.outcome == "accepted" ? ctl_exit::done : ctl_exit::refused, answer};
        return std::nullopt;
    case change_kind::reject:
        if (decided)
            return change_outcome{answer.outcome == "rejected" ? ctl_exit::done : ctl_exit::refused, answer};
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<change_outcome> change_submitter::ask_status(const change& c)
{
    if (c.kind == change_kind::bootstrap)
        return std::nullopt;
    admin_call ask;
    ask.path = "/admin/v1/proposals/" + c.id;
    const tl::expected<admin_answer, send_failure> answer = session_.send(ask);
    return answer ? conclude(c, *answer) : std::nullopt;
}

change_outcome change_submitter::submit(const change& c)
{
    const timestamp deadline = time_.now() + limit_;
    change_outcome last;
    for (bool uncertain = false;;) {
        const tl::expected<admin_answer, send_failure> sent = session_.send(c.call);
        if (sent) {
            last.answer = *sent;
            if (std::optional<change_outcome> known = conclude(c, *sent))
                return std::move(*known);
        }
        // A refusal tells only about this call: an earlier one may still be at work at another host.
        const bool refused = sent && !sent->succeeded() && !sent->uncertain();
        if (!uncertain && refused)
            return {exit_code_of(*sent), *sent};
        if (!uncertain && !sent && sent.error() == send_failure::not_sent)
            return {ctl_exit::failed, {}};
        uncertain = true;
        if (std::optional<change_outcome> known = ask_status(c))
            return std::move(*known);
        if (time_.now() >= deadline)
            return {ctl_exit::outcome_unknown, last.answer};
        time_.pause(poll_interval);
    }
}

} // namespace mjm
