#pragma once

#include <tl/expected.hpp>

#include <string>

namespace mjm {

/// Where the operator's key can come from, strongest first; empty for none.
struct key_sources {
    std::string option;
    std::string environment;
    std::string file;
};

/// The key, which is empty when there is no source, or a message about a file that cannot be used. No
/// message contains the key.
[[nodiscard]] tl::expected<std::string, std::string> find_operator_key(const key_sources& sources);

} // namespace mjm
