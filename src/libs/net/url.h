#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

struct url_target {
    std::string path; ///< Decoded.
    std::map<std::string, std::string> query;
};

/// Parses the target of a request line in origin form; nothing when it is malformed.
[[nodiscard]] std::optional<url_target> parse_url_target(std::string_view text);
/// Percent-encodes the path and the query for a request line.
[[nodiscard]] std::string format_url_target(std::string_view path,
                                            const std::map<std::string, std::string>& query);

} // namespace mjm
