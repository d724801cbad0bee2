#pragma once

#include "configuration/config_error.h"
#include "configuration/fleet_config.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <string_view>
#include <vector>

namespace mjm {

/// The store holds values up to 1 MiB; the difference is room for the head that carries the document.
inline constexpr std::size_t max_document_size = (1U << 20) - 4096;

/// Every broken rule within one version, at most 50.
[[nodiscard]] std::vector<config_error> validate_config(const fleet_config& config);

/// Decodes and validates a document as the successor of `before` (null for the first version).
[[nodiscard]] tl::expected<fleet_config, std::vector<config_error>>
check_document(std::string_view text, const fleet_config* before);

/// True for "YYYY-MM" with a month from 01 to 12.
[[nodiscard]] bool is_month(std::string_view text);

} // namespace mjm
