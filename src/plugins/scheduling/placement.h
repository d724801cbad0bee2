#pragma once

#include "core/identifiers.h"
#include "core/random_source.h"
#include "core/resources.h"

#include <optional>
#include <vector>

namespace mjm {

/// State of a target as the owner of its shard knows it.
struct placement_candidate {
    target_id id;
    rack_id rack;
    resources capacity;
    resources reserved;      ///< Resources of the owner's tasks that are not known to have ended.
    resources reported_used; ///< Usage in the last report, which lags behind the current usage.
    double weight = 1.0;     ///< Health weight: 0 while ejected, below 1 while returning from an ejection.
    bool usable = true;      ///< Whether the lease is open and the target is not leaving.
};

/// Returns the target for a task that needs `need`, or std::nullopt if no target can take it. Prefers targets
/// with low load in racks with low load from this shard.
[[nodiscard]] std::optional<target_id> choose_target(const std::vector<placement_candidate>& candidates,
                                                     const resources& need, random_source& random);

/// Returns the target to reserve for a large task (`fair_queue::reserved`), which is the least loaded one
/// whose capacity is large enough. Returns std::nullopt if no usable target is large enough.
[[nodiscard]] std::optional<target_id> choose_reservation(const std::vector<placement_candidate>& candidates,
                                                          const resources& need);

} // namespace mjm
