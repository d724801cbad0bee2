#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>

namespace mjm {

/// Returns the part of `total` due to each shard, in proportion to the needs. No shard gets more than its
/// need. If `total` covers one permit for each shard with a need, each of these gets at least one.
/// Deterministic.
[[nodiscard]] std::map<shard_id, std::int64_t>
divide_in_proportion(std::int64_t total, const std::map<shard_id, std::int64_t>& needs);

} // namespace mjm
