#pragma once

#include "configuration/config_error.h"
#include "configuration/fleet_config.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace mjm {

/// Reads a configuration document. Members are strict: an unknown member or a wrong type is an error.
/// Relations between records are checked by `validate_config`, not here.
[[nodiscard]] tl::expected<fleet_config, config_error> decode_config(std::string_view text);
/// Canonical JSON text: the same configuration always gives the same bytes.
[[nodiscard]] std::string encode_config(const fleet_config& config);

} // namespace mjm
