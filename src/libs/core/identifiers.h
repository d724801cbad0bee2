#pragma once

#include "core/strong_string.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace mjm {

using team_id = strong_string<struct team_tag>;
using service_id = strong_string<struct service_tag>;
/// An entry host: one process of the system at one address.
using host_id = strong_string<struct host_tag>;
/// A worker that runs tasks.
using target_id = strong_string<struct target_tag>;
using zone_id = strong_string<struct zone_tag>;
using rack_id = strong_string<struct rack_tag>;
using pool_id = strong_string<struct pool_tag>;
using owner_id = strong_string<struct owner_tag>;
using key_id = strong_string<struct key_tag>;
using request_id = strong_string<struct request_tag>;
/// One attempt to run a request on a target: the request identifier and the attempt number.
using task_id = strong_string<struct task_tag>;

/// Fencing token of a shard's ownership; grows by one with each change of owner.
using shard_epoch = std::uint64_t;

/// One service's pool in one availability zone: the unit of ownership, queueing and permits.
struct shard_id {
    service_id service;
    zone_id zone;

    friend bool operator==(const shard_id&, const shard_id&) = default;
    friend auto operator<=>(const shard_id&, const shard_id&) = default;
};

/// Text form `service@zone`.
[[nodiscard]] std::string to_string(const shard_id& id);
[[nodiscard]] std::optional<shard_id> parse_shard_id(std::string_view text);
std::ostream& operator<<(std::ostream& out, const shard_id& id);

/// True for 1 to 64 characters out of letters, digits, '-', '_' and '.', starting with a letter or digit.
[[nodiscard]] bool is_valid_name(std::string_view text);

} // namespace mjm

template <>
struct std::hash<mjm::shard_id> {
    std::size_t operator()(const mjm::shard_id& id) const noexcept
    {
        return std::hash<std::string>{}(id.service.str()) * 31 + std::hash<std::string>{}(id.zone.str());
    }
};
