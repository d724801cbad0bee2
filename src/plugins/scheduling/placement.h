#pragma once

#include "core/identifiers.h"
#include "core/random_source.h"
#include "core/resources.h"

#include <optional>
#include <vector>

namespace mjm {

/// What the owner of a shard knows about one of its targets.
struct placement_candidate {
    target_id id;
    rack_id rack;
    resources capacity;
    resources reserved;      ///< Sum of what the owner has placed there and not seen end.
    resources reported_used; ///< Last usage report; lags behind.
    double weight = 1.0;     ///< Health: 0 when ejected, below 1 while it returns from an ejection.
    bool usable = true;      ///< Lease open, not leaving.
};

/// Chooses the target for a task that needs `need`, or nothing when none can take it. Prefers the least
/// loaded target and racks with little of the shard's work on them.
[[nodiscard]] std::optional<target_id> choose_target(const std::vector<placement_candidate>& candidates,
                                                     const resources& need, random_source& random);

/// Target to keep free for a large task (`fair_queue::reserved`): the least loaded one that can hold it
/// when empty. Nothing when no usable target is
/// large enough.
[[nodiscard]] std::optional<target_id> choose_reservation(const std::vector<placement_candidate>& candidates,
                                                          const resources& need);

} // namespace mjm
