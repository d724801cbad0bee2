#pragma once

#include "core/random_source.h"
#include "fake_registrations.h"
#include "fake_targets.h"
#include "fake_transaction_store.h"
#include "jobs/job_node.h"
#include "no_leader.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mjm {

/// An entry host whose process can be killed and restarted, and whose connection to the store can be cut.
class entry_host {
public:
    entry_host(virtual_loop& loop, fake_transaction_store& store, fake_fleet& fleet, const std::string& name,
               std::uint64_t seed);

    void start(std::shared_ptr<const fleet_config> config,
               const std::map<std::string, maintenance_wave>& waves);
    void kill();
    /// Makes the host read the targets from the store. Must precede `start`.
    void read_registrations(const fake_registrations& registrations);
    /// Leaves all answers, or the changes that a watch has read, unhandled for some time.
    void set_delays(duration answers, duration watches);
    /// Whether the host handles answers or changes late.
    [[nodiscard]] bool is_late() const;
    /// Notes a fault that lasts. Called often enough that no fault passes unseen.
    void note_faults();
    /// Whether the host has had no fault for 3 s, so that bounds on time hold for what it does.
    [[nodiscard]] bool in_touch() const;
    [[nodiscard]] timestamp last_fault() const { return last_fault_; }

    fake_store_link link;
    /// Since when the host has not heard of the configuration; std::nullopt while it knows the present one.
    std::optional<timestamp> config_frozen_at;

    [[nodiscard]] fake_host_operations& operations() { return operations_; }
    [[nodiscard]] fake_fleet_orders& orders() { return orders_; }
    [[nodiscard]] fake_directory& directory() { return directory_; }

private:
    virtual_loop& loop_;
    fake_fleet_orders orders_;
    fake_directory directory_;
    std::unique_ptr<fake_store_directory> store_directory_; ///< Null if `directory_` is used.
    fake_host_operations operations_;
    no_leader leader_;
    seeded_random random_;
    log_sink sink_{log_settings{}, loop_.time(), [](const std::string&) {}};
    metric_registry metrics_;
    std::string name_;
    timestamp last_fault_;

public:
    /// Declared last, so that it is destroyed before the fakes that it calls.
    std::unique_ptr<job_node> node;
};

/// How the entry hosts of a simulation learn of targets.
enum class discovery {
    immediate, ///< From the fleet itself, at any time.
    in_store,  ///< From registrations that the store has.
};

/// Three entry hosts, six hosts with targets and a store, in one thread and virtual time.
class fleet_simulation {
public:
    explicit fleet_simulation(std::uint64_t seed, int standby_hosts = 0,
                              discovery kind = discovery::immediate);

    void run_for(duration d);
    /// Asks for the states of all accepted jobs, as callers may do at any time.
    void query_states(const job_leader& leader);
    void submit(const std::string& id, std::uint32_t tasks, bool permanent = false);
    /// Requests the maintenance of hosts from all entry hosts.
    void start_wave(const maintenance_wave& wave);
    /// Stores the request that exactly these zones are evacuated. Entry hosts whose configuration is frozen
    /// don't hear of it.
    void evacuate(const std::set<zone_id>& zones);
    /// Cancels a job through the entry host. Asks again every 0.5 s while the outcome is unknown.
    void cancel(const std::string& id, entry_host& through);
    /// Cuts an availability zone off from the others and from the store: the entry host and the hosts in it.
    void cut_zone(entry_host& entry, const std::set<std::string>& zone_hosts);
    void mend_zone();
    /// Removes or restores the entries of all targets in service discovery.
    void set_registrations_lapsed(bool lapsed);
    /// Returns nullptr if no entry host leads.
    [[nodiscard]] entry_host* leader();
    [[nodiscard]] bool completed(const std::string& id);
    /// Returns the job's state in the store; `pending` if the store has no progress of it.
    [[nodiscard]] job_state stored_state(const std::string& id);

    virtual_loop loop;
    seeded_random random;
    fake_transaction_store store{loop};
    fake_fleet fleet;
    fake_registrations registrations{loop, store, fleet}; ///< Used with `discovery::in_store`.
    std::shared_ptr<const fleet_config> config;
    std::map<std::string, maintenance_wave> waves;
    std::vector<std::unique_ptr<entry_host>> hosts;
    std::set<std::string> accepted;
    std::set<std::string> cancel_requested; ///< Also those that may not have been stored.

private:
    void note_leader_faults();

    const discovery discovery_;
    entry_host* last_leader_ = nullptr;
};

/// Returns the number in the environment variable, or `fallback` if it is not set.
[[nodiscard]] std::uint64_t environment_number(const char* name, std::uint64_t fallback);

} // namespace mjm
