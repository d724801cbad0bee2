#pragma once

#include <string>
#include <string_view>

namespace mjm {

/// Text in lower case, as names of headers are kept.
[[nodiscard]] std::string lower_case(std::string_view text);

/// Appends `name: value` and a line end. A header that contains a line break is left out, since it could
/// begin another header or a body.
void append_header(std::string& out, std::string_view name, std::string_view value);

} // namespace mjm
