#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mjm {

/// A whole HTTP request. Header names are in lower case.
struct http_request {
    std::string method;
    std::string path; ///< Decoded, without the query.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// Path without its leading slash, split at slashes.
    [[nodiscard]] std::vector<std::string> path_segments() const;
};

struct http_response {
    int status = 200; ///< 0 makes the server close the connection without an answer.
    std::vector<std::pair<std::string, std::string>> headers; ///< Received names are in lower case.
    std::string body;
    std::string content_type = "application/json";
};

} // namespace mjm
