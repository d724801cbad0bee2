#pragma once

#include "core/identifiers.h"
#include "core/task_types.h"
#include "core/time_types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace mjm {

/// Permission to submit one request that is not idempotent. It binds the request to one shard, so that
/// every retry reaches the same table of requests.
struct ticket {
    shard_id shard;
    shard_epoch epoch = 0; ///< Epoch of the shard's owner at the time of issue.
    team_id team;          ///< Empty in a queue open to all.
    wall_time issued;
    std::string nonce; ///< Unique; hexadecimal.

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// Writes and checks tickets. The text form carries an HMAC-SHA256, so that a caller cannot make one up.
class ticket_codec {
public:
    /// `secret` comes from the configuration and is shared by all entry hosts.
    explicit ticket_codec(std::string secret) : secret_{std::move(secret)} {}

    [[nodiscard]] std::string encode(const ticket& value) const;
    /// Error: `ticket_invalid`. Age is not checked here.
    [[nodiscard]] tl::expected<ticket, reason> decode(std::string_view text) const;

private:
    [[nodiscard]] std::string signature(std::string_view text) const;

    std::string secret_;
};

/// Identifier of a request: names its shard and team, so that any entry host can route to the owner.
[[nodiscard]] request_id make_request_id(const shard_id& shard, const team_id& team, std::string_view suffix);
/// Parts of a request identifier.
struct request_id_parts {
    shard_id shard;
    team_id team;
    std::string suffix;
};
[[nodiscard]] std::optional<request_id_parts> parse_request_id(const request_id& id);

} // namespace mjm
