#pragma once

#include "maintenance/maintenance_codec.h"
#include "maintenance/wave_commands.h"
#include "maintenance/wave_controller.h"
#include "permits/tests/simulated_store.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mjm::test {

using namespace std::chrono_literals;

inline constexpr duration step_length{200'000};

/// Pools `p0`, `p1`, ... with one service each, in zones `z0` to `z2`, `per_zone` hosts in each, two to a
/// rack.
[[nodiscard]] fleet_config make_config(int pools, int per_zone, std::int64_t min_available);

/// Breaks compare-and-swap on purpose: every write takes effect, whatever the present revision.
class unconditional_store final : public kv_store {
public:
    explicit unconditional_store(kv_store& store) : store_{store} {}

    void get(const std::string& key, store_revision known, get_callback done) override
    {
        store_.get(key, known, std::move(done));
    }
    void put(const kv_write& write, put_callback done) override
    {
        store_.put({write.key, write.value, std::nullopt, write.lease}, std::move(done));
    }
    void erase(const std::string& key, std::optional<store_revision>, erase_callback done) override
    {
        store_.erase(key, std::nullopt, std::move(done));
    }
    void list(const std::string& prefix, list_callback done) override
    {
        store_.list(prefix, std::move(done));
    }
    void grant_lease(duration ttl, lease_callback done) override { store_.grant_lease(ttl, std::move(done)); }
    void keep_alive(store_lease_id lease, erase_callback done) override
    {
        store_.keep_alive(lease, std::move(done));
    }

private:
    kv_store& store_;
};

/// A host and what its shard's owner does with it.
struct fleet_host {
    std::uint64_t boot = 1;
    std::optional<timestamp> down_until;
    bool broken = false;  ///< Fails every probe.
    bool by_wave = false; ///< The present or last outage is a reboot of a wave.
    std::int64_t tasks = 0;
    std::int64_t reboots = 0; ///< By waves.
};

struct fleet_owner {
    shard_epoch epoch = 1;
    std::uint64_t sequence = 0;
    cordon_document cordons;
};

/// Hosts, shard owners, the store and any number of controllers in virtual time; checks the rules of
/// maintenance after each step.
class maintenance_fleet final : public host_power, public host_probe {
public:
    struct process {
        std::unique_ptr<simulated_store::client> client;
        std::unique_ptr<unconditional_store> unconditional;
        std::unique_ptr<wave_controller> controller;
        timestamp paused_until;
    };

    maintenance_fleet(const fleet_config& fleet, std::uint64_t seed);

    void start_controller(const wave_controller_settings& settings = {});
    void kill_controller(std::size_t n);
    void pause_controller(std::size_t n, duration length);
    void create(const wave_document& wave);
    void step();
    void run(duration length);
    /// True when the wave finished within `limit`.
    bool run_until_finished(const std::string& id, duration limit);
    void fail_host(const target_id& id, duration length);
    void change_owner(const shard_id& shard);
    void set_outage(bool on);

    [[nodiscard]] std::optional<wave_document> wave(const std::string& id) const;
    [[nodiscard]] budget_document budget(const pool_id& pool) const;
    [[nodiscard]] cordon_document cordons() const;
    [[nodiscard]] bool is_up(const target_id& id) const;
    [[nodiscard]] std::size_t active_controllers() const;

    void request_reboot(const target_id& id, const std::string& boot, request_callback done) override;
    void state(const target_id& id, state_callback done) override;
    void run_probe(const target_id& id, std::function<void(bool)> done) override;
    void end_tasks(const target_id& id, drain_policy policy) override;

    fleet_config config;
    seeded_random random;
    simulated_store store;
    std::unique_ptr<simulated_store::client> operators;
    wave_commands commands;
    std::vector<process> processes;
    std::map<target_id, fleet_host> hosts;
    std::map<shard_id, fleet_owner> owners;
    timestamp now;
    store_faults faults;        ///< Of the controllers' calls.
    bool unconditional = false; ///< Controllers started from now on write without compare-and-swap.
    bool owners_follow = true;  ///< Shard owners read the cordons.
    double task_rate = 0.02;    ///< Chance in a step that a host that takes work starts a task.
    double task_end_rate = 0.05;
    double late_power = 0.0; ///< Chance that a reboot request arrives up to a minute late.
    std::vector<std::string> faults_found;
    std::int64_t ended_by_policy = 0;

private:
    void after(duration delay, std::function<void()> action)
    {
        events_.emplace(now + delay, std::move(action));
    }
    [[nodiscard]] bool owner_cordons(const target_id& id) const;
    void move_hosts();
    void move_owners();
    void check();
    void check_pool(const pool_id& pool);
    void found(const std::string& text)
    {
        faults_found.push_back("at " + std::to_string(now.time_since_epoch().count() / 1000) +
                               " ms: " + text);
    }

    std::multimap<timestamp, std::function<void()>> events_;
    std::map<pool_id, budget_document> checked_;
    std::map<pool_id, std::pair<budget_document, store_revision>> budgets_;
    cordon_document cordons_;
    store_revision cordon_revision_ = 0;
    std::uint64_t steps_ = 0;
    std::uint64_t started_ = 0;
};

} // namespace mjm::test
