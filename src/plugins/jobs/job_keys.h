#pragma once

#include "jobs/job_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Keys of the jobs plugin in the store.
namespace job_keys {

/// Entries that the leader follows: accepted jobs and requests to cancel a job.
inline constexpr std::string_view inbox = "mjm/inbox/";
inline constexpr std::string_view accepted = "mjm/inbox/job/";
inline constexpr std::string_view cancelled = "mjm/inbox/cancel/";
/// Progress of jobs; written by the leader only.
inline constexpr std::string_view progress = "mjm/progress/";
/// Sequence number of the latest transaction of progress. Each transaction rewrites it, so that the condition
/// of one that the store executes late no longer holds.
inline constexpr std::string_view journal = "mjm/journal";
/// Key that the leader holds by its lease. The value is the leader's address.
inline constexpr std::string_view leader = "mjm/leader";
/// State of hosts for the next leader. All keys with this prefix are read together.
inline constexpr std::string_view hosts = "mjm/hosts/";
/// Progress of waves, see `wave_record`.
inline constexpr std::string_view waves = "mjm/hosts/wave/";
/// Orders that may have been sent to hosts, see `host_order_record`.
inline constexpr std::string_view host_orders = "mjm/hosts/orders";

/// Waits for the leases of silent targets, see `lease_waits`.
inline constexpr std::string_view lease_waits = "mjm/hosts/lease-waits";
/// Runs that were given up while their targets were silent, see `given_up_runs`.
inline constexpr std::string_view given_up_runs = "mjm/hosts/given-up-runs";
/// What leaders have learned of run times, see `run_time_model`.
inline constexpr std::string_view run_times = "mjm/hosts/run-times";

/// Returns the key of a job below `prefix`.
[[nodiscard]] inline std::string of(std::string_view prefix, const job_id& id)
{
    return std::string{prefix} + id.str();
}

/// Returns the job that `key` belongs to, or std::nullopt if `key` is not a job's key below `prefix`.
[[nodiscard]] inline std::optional<job_id> job_of(std::string_view prefix, std::string_view key)
{
    if (!key.starts_with(prefix) || key.size() == prefix.size())
        return std::nullopt;
    return job_id{std::string{key.substr(prefix.size())}};
}

} // namespace job_keys

} // namespace mjm
