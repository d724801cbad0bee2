#pragma once

#include "configuration/config_error.h"
#include "configuration/fleet_config.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace mjm {

/// In bytes. The store holds values of up to 1 MiB; 4096 bytes are reserved for the head that carries the
/// document.
inline constexpr std::size_t max_document_size = (1U << 20) - 4096;

/// Returns the rules that one version breaks, at most 50.
[[nodiscard]] std::vector<config_error> validate_config(const fleet_config& config);

/// Decodes and validates a document as the successor of `before`, which is null for the first version.
[[nodiscard]] tl::expected<fleet_config, std::vector<config_error>>
check_document(std::string_view text, const fleet_config* before);

/// Whether the text is "YYYY-MM" with a month from 01 to 12.
[[nodiscard]] bool is_month(std::string_view text);

} // namespace mjm
