#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// One member of the configuration that a patch changes.
struct config_change {
    std::string table;  ///< `teams`, `targets`, `pools` ...; a member's own name at the top level.
    std::string record; ///< Identifier in the table.
    std::string member; ///< Pointer below the record; empty when the whole record is added or removed.
    std::string before; ///< Empty when there was none.
    std::string after;  ///< Empty when it is removed.
};

/// What `patch` changes in a configuration document as shown by the server, which leaves out keys' hashes;
/// nothing when the patch cannot be applied to that document. Salts and hashes are not repeated.
[[nodiscard]] std::optional<std::vector<config_change>> config_effect(const nlohmann::json& document,
                                                                      const nlohmann::json& patch);

} // namespace mjm
