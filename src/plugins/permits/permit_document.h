#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Permits of one shard and the epoch of the owner that may use and return them.
struct permit_grant {
    std::int64_t count = 0;
    shard_epoch epoch = 0;

    friend bool operator==(const permit_grant&, const permit_grant&) = default;
};

/// Content of the store key `permits/<team>`.
///
/// A grant stays at count 0 after its permits were returned, because its epoch fences older owners. Grants
/// of shards that left the configuration stay until their owner returns them.
struct permit_document {
    std::int64_t limit = 0;
    std::uint64_t limit_version = 0; ///< Configuration version that `limit` comes from.
    std::map<shard_id, permit_grant> grants;
    std::map<shard_id, std::int64_t> wanted; ///< Total need of the shards whose need is not met.
    std::map<shard_id, std::int64_t> caps;   ///< Present for grants above their part of a lowered limit.

    friend bool operator==(const permit_document&, const permit_document&) = default;

    [[nodiscard]] std::int64_t granted() const;
    /// Permits that no shard holds; 0 while a lowered limit has not been reached.
    [[nodiscard]] std::int64_t free() const;
    [[nodiscard]] std::int64_t count_of(const shard_id& shard) const;
    /// Permits that the shard may use: its grant, or its cap when that is lower.
    [[nodiscard]] std::int64_t usable_by(const shard_id& shard) const;
    /// Sets a grant's count and drops the cap when it is no longer exceeded.
    void set_count(const shard_id& shard, std::int64_t count);
    /// Installs a limit and caps the grants in proportion when their sum exceeds it.
    void set_limit(std::int64_t new_limit, std::uint64_t version);
    /// Checks that the usable permits do not exceed the limit (`invariant::team_limit`).
    bool check(const team_id& team) const;

    [[nodiscard]] std::string to_json() const;
    /// Nothing when the text is not a valid document.
    [[nodiscard]] static std::optional<permit_document> from_json(std::string_view text);
};

/// Store key of a team's document.
[[nodiscard]] std::string permit_key(const team_id& team);

} // namespace mjm
