#pragma once

#include "configuration/config_error.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mjm {

/// Applies an RFC 6902 JSON Patch to a configuration document and stamps the result: `version` becomes
/// `next_version`, and the assignment of each target becomes `next_version` when it is new or its pool
/// changes and stays as it was otherwise; a holder of keys without a key table gets an empty one. Committers
/// and replicas use the same function, so that a delta gives the same document everywhere. An empty
/// `document` is version 0.
[[nodiscard]] tl::expected<std::string, config_error>
apply_patch(std::string_view document, std::string_view patch, std::uint64_t next_version);

/// Checks that the text is a patch: an array of operations with the members that RFC 6902 requires.
[[nodiscard]] tl::expected<void, config_error> check_patch_syntax(std::string_view patch);

} // namespace mjm
