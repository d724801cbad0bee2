#pragma once

#include "call_pump.h"
#include "core/clock.h"
#include "core/random_source.h"
#include "entry/entry_node.h"
#include "fake_host_list.h"
#include "fake_kv_store.h"
#include "fake_peer_network.h"
#include "fake_target.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mjm::bench {

/// Size of a fleet whose cost is measured.
struct fleet_size {
    std::size_t zones = 3;
    std::size_t hosts_per_zone = 2;
    std::size_t services = 5;
    std::size_t targets_per_shard = 3;
    std::size_t teams = 6;
    double requests_per_s = 0.0; ///< Submitted at each host.
};

/// Cost of one entry host, averaged over all hosts of the fleet and over the measured time.
struct node_cost {
    double cpu_percent = 0.0; ///< Of one core.
    double heap_kib = 0.0;    ///< Held by the state machines.
    double store_reads_per_s = 0.0;
    double store_writes_per_s = 0.0;
    double store_lease_calls_per_s = 0.0;
    double target_control_calls_per_s = 0.0; ///< Challenges, leases and renewals.
    double peer_bytes_per_s = 0.0;           ///< Status messages, both directions.
    double config_bytes = 0.0;               ///< Text of the configuration.
};

/// Counts the calls and the processor time of one entry host.
struct node_meter {
    std::uint64_t store_reads = 0;
    std::uint64_t store_writes = 0;
    std::uint64_t store_lease_calls = 0;
    std::uint64_t target_control_calls = 0;
    std::uint64_t peer_bytes = 0;
    std::uint64_t cpu_ns = 0;

    /// Adds the processor time of `work` on this thread.
    void time(const std::function<void()>& work);
};

/// Entry hosts over fakes in virtual time, with one meter for each.
class measured_fleet {
public:
    explicit measured_fleet(const fleet_size& size);
    ~measured_fleet();
    measured_fleet(const measured_fleet&) = delete;
    measured_fleet& operator=(const measured_fleet&) = delete;

    /// Runs `warm_up` unmeasured and then `measured`.
    [[nodiscard]] node_cost run(duration warm_up, duration measured);

private:
    class metered_host;

    void build_config();
    void advance(duration d);
    void step();
    void submit_due();

    fleet_size size_;
    manual_clock time_;
    seeded_random random_{1};
    call_pump pump_;
    fake_kv_store store_{pump_, time_};
    fake_target targets_{pump_, time_};
    fake_peer_network peers_{pump_};
    fake_host_list host_list_{pump_};
    fleet_config config_;
    std::size_t config_bytes_ = 0;
    std::vector<std::unique_ptr<metered_host>> hosts_;
    double due_requests_ = 0.0;
};

} // namespace mjm::bench
