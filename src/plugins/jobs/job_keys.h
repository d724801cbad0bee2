#pragma once

#include "jobs/job_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Keys of the job plugin in the store.
namespace job_keys {

/// Followed by the leader: accepted jobs and requests to cancel one.
inline constexpr std::string_view inbox = "mjm/inbox/";
inline constexpr std::string_view accepted = "mjm/inbox/job/";
inline constexpr std::string_view cancelled = "mjm/inbox/cancel/";
/// Written by the leader only.
inline constexpr std::string_view progress = "mjm/progress/";
/// Rewritten with each transaction of the leader, so that one that is executed late finds its condition gone.
inline constexpr std::string_view journal = "mjm/journal";
inline constexpr std::string_view leader = "mjm/leader";
/// What the next leader has to know about hosts: all keys below are read together.
inline constexpr std::string_view hosts = "mjm/hosts/";
/// When a wave was first seen, and its hosts that have begun their maintenance.
inline constexpr std::string_view waves = "mjm/hosts/wave/";
/// Orders for hosts that may have been given.
inline constexpr std::string_view host_orders = "mjm/hosts/orders";

[[nodiscard]] inline std::string of(std::string_view prefix, const job_id& id)
{
    return std::string{prefix} + id.str();
}

/// The job whose key below `prefix` this is.
[[nodiscard]] inline std::optional<job_id> job_of(std::string_view prefix, std::string_view key)
{
    if (!key.starts_with(prefix) || key.size() == prefix.size())
        return std::nullopt;
    return job_id{std::string{key.substr(prefix.size())}};
}

} // namespace job_keys

} // namespace mjm
