#pragma once

#include "configuration/config_error.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace mjm {

/// Applies an RFC 6902 JSON Patch to a configuration document and sets the members that the system maintains:
/// `version` becomes `next_version`; the assignment of a target becomes `next_version` if the target is new
/// or its pool changes, and keeps its value otherwise; teams, owners and operators without a `keys` member
/// get an empty one. Committers and replicas use this function, so that a patch gives the same document
/// everywhere. An empty `document` stands for version 0. Fails if the patch is malformed, does not apply, or
/// changes a member that only the system sets.
[[nodiscard]] tl::expected<std::string, config_error>
apply_patch(std::string_view document, std::string_view patch, std::uint64_t next_version);

/// Checks that the text is a non-empty array of operations with the members that RFC 6902 requires.
[[nodiscard]] tl::expected<void, config_error> check_patch_syntax(std::string_view patch);

} // namespace mjm
