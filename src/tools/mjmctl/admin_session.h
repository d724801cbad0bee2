#pragma once

#include "admin_client.h"

namespace mjm {

/// Tries the servers in turn, starting with the one that answered last.
class admin_session {
public:
    explicit admin_session(admin_client& client) : client_{client} {}

    [[nodiscard]] admin_client& client() { return client_; }
    /// A call that only reads goes on to the next server after any failure. A call that changes something
    /// goes on only after one that had no effect; a lost answer is left to the caller to resolve.
    [[nodiscard]] tl::expected<admin_answer, send_failure> send(const admin_call& call);

private:
    admin_client& client_;
    std::size_t preferred_ = 0;
};

} // namespace mjm
