#pragma once

#include "net/http_client.h"
#include "settings/settings_schema.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

/// Settings file of `mjmctl`. Options on the command line take precedence.
struct ctl_settings {
    std::vector<http_endpoint> servers;
    std::string key_file;
    /// Longer than the 10 s after which a server answers `pending`.
    duration request_timeout{std::chrono::seconds{15}};
};

[[nodiscard]] settings_schema<ctl_settings> make_ctl_schema();
/// Reads `127.0.0.1:7003` or `[::1]:7003`; host names are not resolved.
[[nodiscard]] std::optional<http_endpoint> parse_server(std::string_view text);

} // namespace mjm
