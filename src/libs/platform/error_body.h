#pragma once

#include "net/http_message.h"

#include <string>
#include <string_view>

namespace mjm {

/// Answer with the body `{"error": {"code": ..., "detail": ...}}`.
[[nodiscard]] http_response error_response(int status, std::string_view code, std::string_view detail = {});
/// Code of such a body; empty when the body is something else.
[[nodiscard]] std::string error_code_of(const http_response& response);

} // namespace mjm
