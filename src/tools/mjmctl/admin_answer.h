#pragma once

#include "ctl_exit.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

/// A rule of the configuration that a change breaks, as told by the server.
struct broken_rule {
    std::string rule;
    std::string pointer;
    std::string detail;
};

/// Decoded answer of the admin API.
struct admin_answer {
    int status = 0;
    nlohmann::json body;
    std::string outcome;    ///< `open`, `accepted`, `rejected`, `not_applied`, `pending`, `valid` or empty.
    std::string error_code; ///< Empty unless the answer is an error.
    std::string error_detail;
    std::vector<broken_rule> errors;
    std::uint64_t version = 0; ///< Of an accepted change, or the one in force when a change was refused.

    [[nodiscard]] bool succeeded() const;
    /// The server could not work on the call and changed nothing, so that another server may be asked.
    [[nodiscard]] bool unavailable() const;
    /// The call goes on, or its handler failed at an unknown point (500 `internal_error`).
    [[nodiscard]] bool uncertain() const;
};

/// Nothing when the body is not a JSON object or a member has the wrong type.
[[nodiscard]] std::optional<admin_answer> decode_answer(int status, std::string_view body);
/// Exit code of a command that ends with this answer.
[[nodiscard]] ctl_exit exit_code_of(const admin_answer& answer);
/// Message for operators: code, detail and every broken rule, one to a line.
[[nodiscard]] std::string describe_error(const admin_answer& answer);

} // namespace mjm
