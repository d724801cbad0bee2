#pragma once

#include "membership/member_records.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mjm {

/// Returns the rendezvous hashing score of a host for a shard. All hosts compute the same score.
[[nodiscard]] std::uint64_t rendezvous_score(const host_id& host, const shard_id& shard);

/// Chooses the owner of each shard in `unowned`: the host with the highest score among those of `hosts` that
/// own fewer shards than an even part of `shard_count`, or the host with the fewest shards if there is none.
/// `load` is the number of shards that each host already owns. Returns an empty map if `hosts` is empty.
[[nodiscard]] std::map<shard_id, host_id> assign_unowned(const std::set<shard_id>& unowned,
                                                         const std::vector<host_id>& hosts,
                                                         std::map<host_id, std::size_t> load,
                                                         std::size_t shard_count);

/// Change of a shard's owner.
struct shard_move {
    shard_id shard;
    host_id from;
    host_id to;
};

/// Returns the move of a shard from the host with the most shards to the one with the fewest, or std::nullopt
/// if `hosts` is empty or their loads differ by at most 1.
[[nodiscard]] std::optional<shard_move> next_move(const std::map<shard_id, host_id>& owners,
                                                  const std::vector<host_id>& hosts);

} // namespace mjm
