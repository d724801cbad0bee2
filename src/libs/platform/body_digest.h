#pragma once

#include <string>
#include <string_view>

namespace mjm {

/// XXH3 (64 bits) of a body as 16 hexadecimal digits. Detects damage and mix-ups, not forgery.
[[nodiscard]] std::string body_digest(std::string_view body);

} // namespace mjm
