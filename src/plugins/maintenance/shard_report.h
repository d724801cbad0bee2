#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>
#include <set>

namespace mjm {

/// What the owner of a shard tells about its targets, about once a second.
struct shard_report {
    shard_id shard;
    shard_epoch epoch = 0;
    std::uint64_t sequence = 0;                ///< Grows with each report of one epoch.
    std::uint64_t cordon_version = 0;          ///< Version of the cordons that the owner obeys.
    std::map<target_id, std::int64_t> running; ///< Tasks, for each target fenced at this epoch.
    std::set<target_id> unreachable;           ///< Lease lost or never opened.
};

} // namespace mjm
