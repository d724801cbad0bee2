#pragma once

#include "net/http_client.h"

#include <optional>
#include <string_view>

namespace mjm {

/// Parses `address:port` with a port from 1 to 65535; nothing when it is malformed.
[[nodiscard]] std::optional<http_endpoint> parse_endpoint(std::string_view text);

} // namespace mjm
