#pragma once

#include "core/hybrid_clock.h"
#include "core/identifiers.h"
#include "shard/shard_owner.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mjm {

struct shard_status {
    shard_id shard;
    shard_epoch epoch = 0;
    shard_load load;
};

/// What entry hosts tell each other about themselves.
struct status_message {
    host_id host;
    zone_id zone;
    hybrid_time sent;
    std::uint64_t config_version = 0;
    /// Age of the latest confirmation that `config_version` is the newest; negative when there is none.
    duration confirmed_age{-1};
    bool store_reachable = true;
    /// With an answer only: the sender commits no configuration for the length of a promise from now on.
    bool no_commit_promised = false;
    bool wants_config = false;        ///< The sender cannot read the store and has heard of a newer version.
    std::string config;               ///< Text of `config_version`, for a sender that wants it.
    std::vector<shard_status> shards; ///< Owned by the sender.
    std::map<team_id, std::int64_t> running; ///< Tasks by team in the sender's shards.
};

enum class status_errc { malformed };

/// CBOR form.
[[nodiscard]] std::string encode_status(const status_message& message);
[[nodiscard]] tl::expected<status_message, status_errc> decode_status(const std::string& text);

} // namespace mjm
