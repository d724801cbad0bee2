#pragma once

#include "core/clock.h"
#include "jobs/host_operations.h"
#include "jobs/host_order_journal.h"
#include "jobs/job_scheduler.h"
#include "jobs/pool_plan.h"
#include "jobs/wave_record.h"
#include "logging/logger.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mjm {

struct host_manager_settings {
    /// A new leader gives no order for this long for a host that the former one may have ordered, so that two
    /// never alternate; the platform's `lease-ms` and a margin.
    duration handover{std::chrono::milliseconds{3200}};
    duration list_interval{std::chrono::milliseconds{700}}; ///< Between two listings of all hosts.
    duration plan_interval{std::chrono::milliseconds{150}}; ///< Between two decisions.
    duration retry{std::chrono::milliseconds{500}};         ///< After an order that was refused.
    /// Hosts are chosen for maintenance early enough that this share of the wave's time is enough for all.
    double wave_share = 0.75;
    /// Time that one host's maintenance takes, with the work that ends on it before.
    duration host_time{std::chrono::milliseconds{5000}};
    /// Work that still runs on a chosen host after this long is stopped if it saves its progress ...
    duration patience{std::chrono::milliseconds{2500}};
    /// ... and is given up after this long.
    duration longest_patience{std::chrono::milliseconds{6000}};
    /// A host that the platform has not listed for this long has gone.
    duration missing_time{std::chrono::milliseconds{5000}};
    /// An order without an answer is looked up in the list of hosts after this long.
    duration doubt_time{std::chrono::milliseconds{4000}};
    /// An order of the former leader that the list of hosts does not show after this long was not given: the
    /// time that an order's call may take.
    duration restored_doubt{std::chrono::milliseconds{1000}};
    pool_plan_settings pools;
};

struct host_manager_services {
    job_scheduler& scheduler;
    host_operations& operations;
    transaction_store& store;
    const clock& time;
    logger log;
};

/// Moves hosts between pools and takes them down for maintenance, for one term of leadership.
class host_manager {
public:
    host_manager(host_manager_settings settings, host_manager_services services, fencing_token token,
                 std::function<bool()> certain);
    ~host_manager();
    host_manager(const host_manager&) = delete;
    host_manager& operator=(const host_manager&) = delete;

    void set_config(std::shared_ptr<const fleet_config> config) { config_ = std::move(config); }
    /// What earlier leaders stored; comes before the first `set_waves`, and before any order. Without a
    /// readable record of orders, all hosts wait for the end of the hand-over.
    void restore(std::map<std::string, wave_record> waves, const std::optional<host_order_record>& orders,
                 store_revision orders_revision);
    void set_waves(const std::map<std::string, maintenance_wave>& waves);
    void tick();

private:
    /// A host that is about to be ordered down, or has been.
    struct host_work {
        host_order order;
        timestamp chosen_at;
        timestamp ordered_at;
        timestamp not_before; ///< Of the next order.
        bool ordered = false; ///< An order was sent; the host may be down.
        bool order_out = false;
        bool confirmed = false;
        bool restored = false; ///< Of the former leader, which may have sent the order.
    };
    struct wave_state {
        maintenance_wave wave;
        wave_record record;
        bool completed = false;
        bool status_out = false;
        std::string reported; ///< The record that was last written.
        bool completed_reported = false;
    };

    // host_manager.cpp
    void refresh_hosts();
    void on_hosts(std::vector<host_info> hosts, timestamp asked_at);
    void choose_moves();
    void store_orders();
    void drive_orders();
    void send_order(const std::string& host, host_work& work);
    void on_order_answer(const std::string& host, const tl::expected<void, host_errc>& answer);
    void finish_arrivals(timestamp asked_at);
    void update_cordons();
    void index_targets();
    [[nodiscard]] target_id target_of(const std::string& host) const;
    [[nodiscard]] std::vector<pool_state> pool_states();
    /// Hosts by which the pool's demand grows in a second; 0 while it falls.
    double growth_of(const service_id& service, double present);
    void log_pools(const std::vector<pool_state>& pools);
    [[nodiscard]] double hosts_for(const resources& need, const service_id& service) const;

    // host_waves.cpp
    void choose_maintenance();
    void choose_for(wave_state& w);
    void report(wave_state& w);
    void mark_done(const host_work& work, const std::string& host);
    [[nodiscard]] std::size_t down_for(const std::string& wave) const;
    [[nodiscard]] bool ready_to_go_down(const std::string& host, host_work& work);

    const host_manager_settings settings_;
    job_scheduler& scheduler_;
    host_operations& operations_;
    const clock& time_;
    logger log_;
    const fencing_token token_;
    host_order_journal journal_;
    const std::function<bool()> certain_; ///< Whether no other host can lead at this moment.
    const timestamp began_;
    std::shared_ptr<const fleet_config> config_;
    std::map<std::string, host_info> hosts_;
    std::map<std::string, target_id> target_by_host_; ///< Present lives, by discovery.
    std::map<std::string, timestamp> last_listed_;
    std::map<std::string, timestamp> idle_since_;
    std::map<std::string, host_work> work_;
    std::map<std::string, wave_state> waves_;
    std::map<std::string, wave_record> restored_;
    /// Orders that were sent, until no later leader can come into conflict with them.
    std::map<std::string, std::pair<host_order, timestamp>> recent_orders_;
    std::map<service_id, std::deque<std::pair<timestamp, double>>> demand_samples_;
    /// Hosts that the former leader may have ordered; until the end of the hand-over.
    std::set<std::string> held_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    timestamp next_list_;
    timestamp next_plan_;
    timestamp next_pool_log_;
    bool listing_ = false;
    bool listed_ = false;
    bool restored_known_ = false;
};

} // namespace mjm
