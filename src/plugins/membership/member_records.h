#pragma once

#include "membership/membership_agent.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Content of the store key `shards/<zone>`. An entry is never removed, because the epoch of a shard must
/// keep growing if the shard is configured again. A shard without an owner has an empty owner name.
using ownership_document = std::map<shard_id, shard_owner_record>;

/// Returns the store key of a host's record.
[[nodiscard]] std::string member_key(const host_id& host);
/// Returns the store key of a host's incarnation counter.
[[nodiscard]] std::string incarnation_key(const host_id& host);
/// Returns the store key of the owners of a zone's shards.
[[nodiscard]] std::string ownership_key(const zone_id& zone);

/// Codecs of the store values. The parsers return std::nullopt if the text is not valid.
[[nodiscard]] std::string member_to_json(const member& value);
[[nodiscard]] std::optional<member> member_from_json(std::string_view text);
[[nodiscard]] std::string ownership_to_json(const ownership_document& value);
[[nodiscard]] std::optional<ownership_document> ownership_from_json(std::string_view text);
[[nodiscard]] std::string incarnation_to_json(std::uint64_t value);
[[nodiscard]] std::optional<std::uint64_t> incarnation_from_json(std::string_view text);

} // namespace mjm
