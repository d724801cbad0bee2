#pragma once

#include <optional>
#include <string>

namespace mjm {

/// A key made here. Only the salt and the hash leave this program; the key is shown to the operator once.
struct granted_key {
    std::string key;
    std::string salt; ///< Hexadecimal.
    std::string hash; ///< Hexadecimal.
};

/// Nothing when the system's random source fails.
[[nodiscard]] std::optional<granted_key> make_key();

} // namespace mjm
