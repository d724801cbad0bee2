#pragma once

#include "admin_session.h"
#include "wait_clock.h"

namespace mjm {

enum class change_kind {
    propose,   ///< Done when the proposal is stored.
    accept,    ///< Done when it is accepted.
    reject,    ///< Done when it is rejected.
    bootstrap, ///< Done when it is accepted; its status cannot be asked before there are keys.
};

struct change {
    change_kind kind = change_kind::propose;
    std::string id; ///< Of the proposal.
    admin_call call;
};

struct change_outcome {
    ctl_exit code = ctl_exit::failed;
    admin_answer answer; ///< The last one; empty when no server answered.
};

/// Sends a change and finds out what became of it. After a lost or pending answer the proposal's status is
/// asked for; while that does not tell the outcome, the same call is repeated, which applies once because
/// it carries the same identifier.
class change_submitter {
public:
    change_submitter(admin_session& session, wait_clock& time, duration limit)
        : session_{session}, time_{time}, limit_{limit}
    {
    }

    [[nodiscard]] change_outcome submit(const change& c);

private:
    [[nodiscard]] std::optional<change_outcome> ask_status(const change& c);

    admin_session& session_;
    wait_clock& time_;
    duration limit_;
};

} // namespace mjm
