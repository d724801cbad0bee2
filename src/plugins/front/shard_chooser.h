#pragma once

#include "core/random_source.h"
#include "front/routing_view.h"

#include <optional>
#include <set>

namespace mjm {

/// Chooses the shard for a new request of `service`: the one in the host's own zone while its estimated wait
/// is short, otherwise one of all zones at random, weighted by free capacity. Returns std::nullopt if no
/// shard outside `avoid` has a known owner.
[[nodiscard]] std::optional<shard_id> choose_shard(const routing_view& view, const service_id& service,
                                                   const std::set<shard_id>& avoid, random_source& random);

} // namespace mjm
