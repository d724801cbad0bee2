#pragma once

#include <cstddef>
#include <optional>

namespace mjm {

/// Returns the memory in bytes that this process occupies, or no value if the system doesn't tell.
[[nodiscard]] std::optional<std::size_t> resident_memory();

} // namespace mjm
