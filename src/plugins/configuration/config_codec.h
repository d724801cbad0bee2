#pragma once

#include "configuration/config_error.h"
#include "configuration/fleet_config.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace mjm {

/// Decodes a configuration document. Unknown members and members of the wrong type are errors. Relations
/// between records are checked by `validate_config`.
[[nodiscard]] tl::expected<fleet_config, config_error> decode_config(std::string_view text);
/// Returns the canonical JSON text: equal configurations give the same bytes.
[[nodiscard]] std::string encode_config(const fleet_config& config);

} // namespace mjm
