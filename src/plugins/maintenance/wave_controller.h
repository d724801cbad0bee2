#pragma once

#include "configuration/fleet_config.h"
#include "core/time_types.h"
#include "maintenance/host_power.h"
#include "maintenance/host_probe.h"
#include "maintenance/shard_report.h"
#include "platform/host_list.h"
#include "platform/kv_store.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mjm {

struct wave_controller_settings {
    std::string scope = "fleet";
    std::string holder;
    duration lease_ttl{std::chrono::seconds{15}};
    duration renew_interval{std::chrono::seconds{4}};
    duration poll_interval{std::chrono::seconds{2}};
    duration retry_interval{std::chrono::seconds{1}}; ///< After a failed store call.
    duration host_interval{std::chrono::seconds{5}};  ///< Between two power or probe calls for one host.
    duration down_after{std::chrono::seconds{10}};    ///< A host missing for as long counts as down.
    duration reboot_deadline{std::chrono::minutes{15}};
    duration verify_deadline{std::chrono::minutes{10}};
    duration skip_down_after{std::chrono::minutes{30}}; ///< A waiting host down for as long is skipped.
    duration reason_interval{std::chrono::seconds{30}}; ///< Between two writes of changed reasons only.
    std::int64_t failed_limit = 2;                      ///< Failed hosts that stop a wave.
    std::int64_t unplanned_limit = 3; ///< Hosts newly down in the wave's pools that stop it.
};

/// Holds the controller role of a scope and drives its waves. Every decision is a compare-and-swap of a
/// document stamped with the controller's epoch, so that a controller that wrongly believes to hold the
/// role changes nothing.
class wave_controller {
public:
    wave_controller(kv_store& store, host_power& power, host_probe& probe,
                    const wave_controller_settings& settings);
    ~wave_controller();
    wave_controller(const wave_controller&) = delete;
    wave_controller& operator=(const wave_controller&) = delete;

    void set_config(const fleet_config& config);
    void observe_hosts(const std::vector<listed_host>& hosts, timestamp now);
    void observe_report(const shard_report& report, timestamp now);
    void tick(timestamp now);

    [[nodiscard]] bool active() const;
    [[nodiscard]] std::uint64_t epoch() const;
    /// Keys of waves and budgets that could not be decoded; the controller leaves them alone.
    [[nodiscard]] const std::set<std::string>& unreadable() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
