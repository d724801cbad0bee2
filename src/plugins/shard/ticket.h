#pragma once

#include "core/identifiers.h"
#include "core/task_types.h"
#include "core/time_types.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace mjm {

/// Permission to submit one request that is not idempotent. A ticket binds the request to one shard, so that
/// every retry reaches the same request table.
struct ticket {
    shard_id shard;
    shard_epoch epoch = 0; ///< Epoch of the shard's owner at the time of issue.
    team_id team;          ///< Empty in a queue open to all.
    wall_time issued;
    std::string nonce; ///< Unique hexadecimal text.

    friend bool operator==(const ticket&, const ticket&) = default;
};

/// Encodes and decodes tickets. The text contains an HMAC-SHA256, so that callers cannot forge tickets.
class ticket_codec {
public:
    /// `secret` is the key of the HMAC. It comes from the configuration and is the same on all entry hosts.
    explicit ticket_codec(std::string secret) : secret_{std::move(secret)} {}

    [[nodiscard]] std::string encode(const ticket& value) const;
    /// Returns `ticket_invalid` if the text is malformed or its HMAC is wrong. The ticket's age is not
    /// checked.
    [[nodiscard]] tl::expected<ticket, reason> decode(std::string_view text) const;

private:
    [[nodiscard]] std::string signature(std::string_view text) const;

    std::string secret_;
};

/// Returns a request identifier that contains the shard and the team, so that any entry host can route the
/// request to the shard's owner.
[[nodiscard]] request_id make_request_id(const shard_id& shard, const team_id& team, std::string_view suffix);
/// Parts of a request identifier.
struct request_id_parts {
    shard_id shard;
    team_id team;
    std::string suffix;
};
/// Returns the parts of a request identifier, or std::nullopt if it is malformed.
[[nodiscard]] std::optional<request_id_parts> parse_request_id(const request_id& id);

} // namespace mjm
