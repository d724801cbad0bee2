#pragma once

#include "configuration/fleet_config.h"
#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mjm {

enum class wave_state {
    running,
    paused,   ///< No host is taken out; those taken out go on.
    stopped,  ///< As `paused`, by correlated failures; hosts not yet rebooting return to service.
    aborting, ///< Hosts not yet rebooting return to service and are skipped.
    finished,
};

template <>
struct enum_names<wave_state> {
    static constexpr std::array<std::pair<wave_state, std::string_view>, 5> entries{{
        {wave_state::running, "running"},
        {wave_state::paused, "paused"},
        {wave_state::stopped, "stopped"},
        {wave_state::aborting, "aborting"},
        {wave_state::finished, "finished"},
    }};
};

enum class host_stage { waiting, cordoned, draining, rebooting, verifying, returned, failed, skipped };

template <>
struct enum_names<host_stage> {
    static constexpr std::array<std::pair<host_stage, std::string_view>, 8> entries{{
        {host_stage::waiting, "waiting"},
        {host_stage::cordoned, "cordoned"},
        {host_stage::draining, "draining"},
        {host_stage::rebooting, "rebooting"},
        {host_stage::verifying, "verifying"},
        {host_stage::returned, "returned"},
        {host_stage::failed, "failed"},
        {host_stage::skipped, "skipped"},
    }};
};

/// Why a host does not leave its stage yet, or why it failed or was skipped.
enum class wait_reason {
    none,
    wave_not_running,
    speed_limit,
    min_available,
    other_rack,
    other_zone,
    other_wave,
    host_down,
    not_configured,
    configuration_behind,
    cordon_not_in_force,
    tasks_running,
    power_unknown,
    reboot_pending,
    host_not_listed,
    probe_pending,
    return_not_in_force,
    reboot_deadline,
    verify_deadline,
};

template <>
struct enum_names<wait_reason> {
    static constexpr std::array<std::pair<wait_reason, std::string_view>, 19> entries{{
        {wait_reason::none, "none"},
        {wait_reason::wave_not_running, "wave_not_running"},
        {wait_reason::speed_limit, "speed_limit"},
        {wait_reason::min_available, "min_available"},
        {wait_reason::other_rack, "other_rack"},
        {wait_reason::other_zone, "other_zone"},
        {wait_reason::other_wave, "other_wave"},
        {wait_reason::host_down, "host_down"},
        {wait_reason::not_configured, "not_configured"},
        {wait_reason::configuration_behind, "configuration_behind"},
        {wait_reason::cordon_not_in_force, "cordon_not_in_force"},
        {wait_reason::tasks_running, "tasks_running"},
        {wait_reason::power_unknown, "power_unknown"},
        {wait_reason::reboot_pending, "reboot_pending"},
        {wait_reason::host_not_listed, "host_not_listed"},
        {wait_reason::probe_pending, "probe_pending"},
        {wait_reason::return_not_in_force, "return_not_in_force"},
        {wait_reason::reboot_deadline, "reboot_deadline"},
        {wait_reason::verify_deadline, "verify_deadline"},
    }};
};

enum class stop_reason { none, verification_failures, unplanned_failures };

template <>
struct enum_names<stop_reason> {
    static constexpr std::array<std::pair<stop_reason, std::string_view>, 3> entries{{
        {stop_reason::none, "none"},
        {stop_reason::verification_failures, "verification_failures"},
        {stop_reason::unplanned_failures, "unplanned_failures"},
    }};
};

/// What happens to tasks that still run at the drain deadline.
enum class drain_policy { wait, checkpoint, stop };

template <>
struct enum_names<drain_policy> {
    static constexpr std::array<std::pair<drain_policy, std::string_view>, 3> entries{{
        {drain_policy::wait, "wait"},
        {drain_policy::checkpoint, "checkpoint"},
        {drain_policy::stop, "stop"},
    }};
};

/// Most hosts of the wave out of service at once.
struct wave_speed {
    std::int64_t hosts = 8;
    std::int64_t per_pool = 4;
    std::int64_t per_rack = 4;
    std::int64_t per_zone = 8;

    friend bool operator==(const wave_speed&, const wave_speed&) = default;
};

struct wave_host {
    host_stage stage = host_stage::waiting;
    wait_reason reason = wait_reason::none;
    std::string boot;     ///< Boot identifier that the reboot ends; empty before `rebooting`.
    bool cleared = false; ///< May return to service: verified, or given back without a reboot.

    friend bool operator==(const wave_host&, const wave_host&) = default;
};

/// Content of the store key `waves/<id>`. Every change is one compare-and-swap.
struct wave_document {
    std::string id;
    std::uint64_t epoch = 0; ///< Highest controller epoch that has written the document.
    wave_state state = wave_state::running;
    stop_reason stopped_by = stop_reason::none;
    wave_speed speed;
    drain_policy drain = drain_policy::wait;
    std::chrono::seconds drain_deadline{600};
    std::int64_t accepted_failures = 0; ///< Failed hosts that an operator has seen when resuming.
    /// Hosts down without plan in the wave's pools when it began; -1 until the controller counts them.
    std::int64_t failure_baseline = -1;
    std::map<target_id, wave_host> hosts;

    friend bool operator==(const wave_document&, const wave_document&) = default;

    [[nodiscard]] std::int64_t count(host_stage stage) const;
};

/// Hosts that a wave covers: the union of the three parts.
struct wave_scope {
    std::set<pool_id> pools;
    std::set<std::pair<zone_id, rack_id>> racks;
    std::set<target_id> hosts;
};

[[nodiscard]] wave_document make_wave(const std::string& id, const wave_scope& scope,
                                      const fleet_config& config);
/// True for stages in which the host may be out of service.
[[nodiscard]] bool is_out(host_stage stage);
[[nodiscard]] bool is_final(host_stage stage);
[[nodiscard]] std::string wave_key(const std::string& id);

} // namespace mjm
