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
/// A grant stays with count 0 after all its permits were returned, because its epoch fences older owners. The
/// grant of a shard that is no longer configured stays until its owner returns the permits.
struct permit_document {
    std::int64_t limit = 0;
    std::uint64_t limit_version = 0; ///< Configuration version that `limit` comes from.
    std::map<shard_id, permit_grant> grants;
    std::map<shard_id, std::int64_t> wanted; ///< Total need of each shard that holds too few permits.
    /// Usable permits of each shard whose grant exceeds its part of a lowered limit.
    std::map<shard_id, std::int64_t> caps;

    friend bool operator==(const permit_document&, const permit_document&) = default;

    /// Sum of all grants.
    [[nodiscard]] std::int64_t granted() const;
    /// Permits of the limit that are not granted; 0 while the grants exceed a lowered limit.
    [[nodiscard]] std::int64_t free() const;
    /// Permits granted to the shard.
    [[nodiscard]] std::int64_t count_of(const shard_id& shard) const;
    /// Permits that the shard may use: its grant, or its cap if that is lower.
    [[nodiscard]] std::int64_t usable_by(const shard_id& shard) const;
    /// Sets the count of a shard's grant and removes its cap if the count no longer exceeds it.
    void set_count(const shard_id& shard, std::int64_t count);
    /// Sets the limit and the configuration version that it comes from. Caps the grants in proportion if
    /// their sum exceeds the limit, and removes all caps otherwise.
    void set_limit(std::int64_t new_limit, std::uint64_t version);
    /// Returns whether the usable permits are within the limit. Reports a violation of
    /// `invariant::team_limit` if they are not.
    bool check_limit(const team_id& team) const;

    [[nodiscard]] std::string to_json() const;
    /// Returns std::nullopt if the text is not a valid document.
    [[nodiscard]] static std::optional<permit_document> from_json(std::string_view text);
};

/// Returns the store key of a team's document.
[[nodiscard]] std::string permit_key(const team_id& team);

} // namespace mjm
