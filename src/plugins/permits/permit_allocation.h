#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>

namespace mjm {

/// Divides `total` in proportion to the needs. No shard gets more than its need; while `total` covers one
/// permit for each shard with a need, each of them gets at least one. Deterministic.
[[nodiscard]] std::map<shard_id, std::int64_t>
divide_in_proportion(std::int64_t total, const std::map<shard_id, std::int64_t>& needs);

} // namespace mjm
