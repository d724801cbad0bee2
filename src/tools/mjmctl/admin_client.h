#pragma once

#include "admin_answer.h"
#include "admin_call.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string>

namespace mjm {

enum class send_failure {
    not_sent, ///< The call has had no effect.
    lost,     ///< The call may have had an effect.
};

/// Sends calls to the entry hosts given by the operator, one at a time.
class admin_client {
public:
    admin_client() = default;
    virtual ~admin_client() = default;
    admin_client(const admin_client&) = delete;
    admin_client& operator=(const admin_client&) = delete;

    [[nodiscard]] virtual std::size_t server_count() const = 0;
    [[nodiscard]] virtual std::string server_name(std::size_t server) const = 0;
    [[nodiscard]] virtual tl::expected<admin_answer, send_failure> send(std::size_t server,
                                                                        const admin_call& call) = 0;
};

} // namespace mjm
