#pragma once

#include "front/front.h"
#include "net/http_message.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace mjm {

/// An error in a submission.
struct bad_input {
    std::string pointer; ///< RFC 6901 JSON pointer into the body.
    std::string detail;  ///< What was found and what is allowed.
};

/// Decodes the JSON body of a submission. Unknown members, wrong types and values out of range are errors.
[[nodiscard]] tl::expected<caller_request, bad_input> decode_submission(std::string_view body);

/// Returns the JSON answer for an outcome, with the matching HTTP status.
[[nodiscard]] http_response encode_answer(const caller_answer& answer);
/// Returns the JSON answer for a request that has not ended.
[[nodiscard]] http_response encode_pending(const request_id& id);
/// Returns the JSON answer that hands out tickets.
[[nodiscard]] http_response encode_tickets(const std::vector<std::string>& tickets);

} // namespace mjm
