#pragma once

#include "membership/member_records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mjm {

/// Rendezvous score of a member for a shard; the same on every host.
[[nodiscard]] std::uint64_t rendezvous_score(const host_id& host, const shard_id& shard);

/// Chooses the owner of each shard in `unowned` among `hosts`: the highest score among the hosts that own
/// fewer than an even part. `load` is the number of shards that each host owns already.
[[nodiscard]] std::map<shard_id, host_id> assign_unowned(const std::set<shard_id>& unowned,
                                                         const std::vector<host_id>& hosts,
                                                         std::map<host_id, std::size_t> load,
                                                         std::size_t shard_count);

struct shard_move {
    shard_id shard;
    host_id from;
    host_id to;
};

/// The one move that evens out the division best, or nothing when it is even (loads differ by at most 1).
[[nodiscard]] std::optional<shard_move> next_move(const std::map<shard_id, host_id>& owners,
                                                  const std::vector<host_id>& hosts);

} // namespace mjm
