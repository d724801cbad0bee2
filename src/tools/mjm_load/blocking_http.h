#pragma once

#include "net/http_client.h"
#include "net/io_runtime.h"

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Reads `address:port`.
[[nodiscard]] std::optional<http_endpoint> parse_endpoint(std::string_view text);

/// HTTP calls that wait for the answer, for administration before and after a load.
class blocking_http {
public:
    blocking_http();

    [[nodiscard]] tl::expected<http_response, http_errc> call(const http_endpoint& to, std::string method,
                                                              std::string path, std::string body = {});
    [[nodiscard]] tl::expected<http_response, http_errc> call(const http_endpoint& to, http_request request);
    [[nodiscard]] http_client& client() { return client_; }

private:
    io_runtime runtime_;
    http_client client_;
};

} // namespace mjm
