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
    /// A new leader sends no order for this long to a host that the previous leader may have ordered, so that
    /// orders of two leaders never interleave. It is the platform's `lease-ms` plus a margin.
    duration handover{std::chrono::milliseconds{3200}};
    duration list_interval{std::chrono::milliseconds{700}}; ///< Time between two requests for the host list.
    duration plan_interval{std::chrono::milliseconds{150}}; ///< Time between two planning rounds.
    duration retry{std::chrono::milliseconds{500}};         ///< Delay before a refused order is sent again.
    /// Fraction of a wave's time limit within which the maintenance of all its hosts is planned to finish.
    double wave_time_share = 0.75;
    /// Expected time to maintain one host, including the time until the work on it has ended.
    duration maintenance_time{std::chrono::milliseconds{5000}};
    /// Runs that save their progress and are still on a host this long after it was chosen are stopped. A
    /// move that could not be sent within this time, or maintenance that the platform has refused for this
    /// long, is dropped.
    duration drain_timeout{std::chrono::milliseconds{2500}};
    /// Runs that are not permanent delay the maintenance of a chosen host for at most this long.
    duration max_drain_time{std::chrono::milliseconds{6000}};
    /// A host that the platform has not listed for this long has left the fleet.
    duration missing_timeout{std::chrono::milliseconds{5000}};
    /// An order whose effect the list of hosts does not show within this time is dropped. While its host is
    /// up, an unanswered order is sent again after this long.
    duration order_timeout{std::chrono::milliseconds{4000}};
    /// An order of the previous leader whose effect the list of hosts does not show within this time counts
    /// as never sent. It is the longest time that an order's call may take.
    duration restored_order_timeout{std::chrono::milliseconds{1000}};
    /// Entries of targets that have lapsed are back by this long after the registrations can be read again.
    /// One that is still missing then belongs to a target that has gone.
    duration registration_return{std::chrono::milliseconds{3000}};
    /// Hosts whose zone is no longer evacuated count as idle one after the other at this interval, so that
    /// those that are not needed don't leave their pools at the same time.
    duration return_interval{std::chrono::milliseconds{300}};
    /// Time for which no order of the same kind is chosen for a host after one that had no effect, so that
    /// the host can work.
    duration move_pause{std::chrono::milliseconds{3000}};
    /// The same after the platform has refused a move for good.
    duration refused_move_pause{std::chrono::seconds{10}};
    pool_plan_settings pools;
};

/// Whether an order to a host was carried out.
enum class order_outcome {
    not_done, ///< It was not sent, or it was refused.
    unknown,  ///< It was sent, and may have been carried out or may still be.
    done,     ///< The platform has answered that it was, now or earlier.
};

struct host_manager_services {
    job_scheduler& scheduler;
    host_operations& operations;
    transaction_store& store;
    const clock& time;
    logger log;
};

/// Moves hosts between pools and takes them down for maintenance. Lives for one term of leadership.
class host_manager {
public:
    /// `lease_until` returns the time until which no other entry host can lead.
    host_manager(host_manager_settings settings, host_manager_services services, fencing_token token,
                 std::function<timestamp()> lease_until);
    ~host_manager();
    host_manager(const host_manager&) = delete;
    host_manager& operator=(const host_manager&) = delete;

    void set_config(std::shared_ptr<const fleet_config> config) { config_ = std::move(config); }
    /// Takes over what earlier leaders stored. Must be called before the first `set_waves`; no order is sent
    /// before. If `orders` is std::nullopt because the record is unreadable, all hosts wait for the end of
    /// the handover.
    void restore(std::map<std::string, wave_record> waves, const std::optional<host_order_record>& orders,
                 store_revision orders_revision);
    void set_waves(const std::map<std::string, maintenance_wave>& waves);
    /// Requests the list of hosts and runs a planning round when they are due.
    void tick();

private:
    /// An order that is about to be sent to a host, or has been sent and whose effect is not yet visible.
    struct pending_order {
        host_order order;
        timestamp chosen_at;
        timestamp sent_at;
        timestamp not_before;                   ///< The order is not sent before this time.
        std::optional<timestamp> refused_since; ///< When the first of the attempts to send it failed.
        order_outcome outcome = order_outcome::not_done;
        bool in_flight = false; ///< The order's call awaits its answer.
        bool restored = false;  ///< The previous leader stored the order and may have sent it.

        /// Whether the platform doesn't have the order: it was not sent, or was refused.
        [[nodiscard]] bool is_planned() const
        {
            return outcome == order_outcome::not_done && !in_flight && !restored;
        }
    };
    struct wave_state {
        maintenance_wave wave;
        wave_record record;
        bool completed = false;
        bool report_in_flight = false;
        std::string reported_record; ///< The record that was last stored with a report.
        bool completed_reported = false;
    };

    // host_manager.cpp
    void refresh_hosts();
    void on_hosts(std::vector<host_info> hosts, timestamp requested_at);
    void choose_moves();
    /// Chooses hosts of retired targets to be moved to the standby pool, so that they get new targets.
    void choose_replacements();
    void choose_move(const std::string& host, const service_id& from, const service_id& to);
    void store_orders();
    void process_orders();
    void send_order(const std::string& host, pending_order& pending);
    /// Whether no other entry host can lead at this moment.
    [[nodiscard]] bool lease_valid() const { return time_.now() < lease_until_(); }
    /// Returns the time from which on the order must not be sent, unless it is checked again.
    [[nodiscard]] timestamp send_limit(const pending_order& pending) const;
    void on_order_answer(const std::string& host, const tl::expected<void, host_errc>& answer);
    void finish_orders(timestamp requested_at);
    /// Whether a list of hosts, requested at the given time, shows that the order has nothing left to wait
    /// for or must be chosen again.
    [[nodiscard]] bool is_over(const pending_order& pending, const host_info& host,
                               timestamp requested_at) const;
    void update_cordons();
    void index_targets();
    void update_awaited_targets();
    [[nodiscard]] target_id target_of(const std::string& host) const;
    /// Whether the host may have one of the awaited targets.
    [[nodiscard]] bool awaits_target(const host_info& host) const;
    /// Whether nothing may be started on the host, so that it is no capacity and isn't moved for work.
    [[nodiscard]] bool is_evacuated(const host_info& host) const;
    /// Notes since when each host is idle.
    void update_idle_hosts();
    [[nodiscard]] std::vector<pool_state> pool_states();
    /// Returns the growth of the pool's demand in hosts per second; 0 while it falls.
    double demand_growth(const service_id& service, double present);
    void log_pools(const std::vector<pool_state>& pools);

    // host_waves.cpp
    void choose_maintenance();
    void choose_hosts(wave_state& w);
    /// Drops the maintenance orders that have not been sent and wait for anything but the end of what runs on
    /// their hosts, so that the hosts take work again.
    void withdraw_maintenance();
    void report(wave_state& w);
    void mark_done(const pending_order& pending, const std::string& host);
    /// Returns the number of hosts that are down, or about to be, for a wave.
    [[nodiscard]] std::size_t hosts_down(const std::string& wave) const;
    /// Whether an order may end the work on the host now. Stops or moves runs that prevent it.
    [[nodiscard]] bool can_take_down(const host_info& host, const pending_order& pending);
    [[nodiscard]] bool can_take_down(const target_id& target, const pending_order& pending);
    /// Whether the steps with tasks on the host can miss these.
    [[nodiscard]] bool can_lose(const host_info& host) const;
    [[nodiscard]] bool can_lose(const target_id& target) const;

    const host_manager_settings settings_;
    job_scheduler& scheduler_;
    host_operations& operations_;
    const clock& time_;
    logger log_;
    const fencing_token token_;
    host_order_journal journal_;
    const std::function<timestamp()> lease_until_; ///< Time until which no other entry host can lead.
    const timestamp started_at_;
    std::shared_ptr<const fleet_config> config_;
    std::map<std::string, host_info> hosts_;
    std::map<std::string, target_id> target_by_host_; ///< Current targets according to service discovery.
    std::map<std::string, timestamp> last_listed_;
    std::map<std::string, timestamp> idle_since_;
    std::set<std::string> evacuated_hosts_;
    std::map<std::string, timestamp> no_move_until_;        ///< Hosts whose latest moves had no effect.
    std::map<std::string, timestamp> no_maintenance_until_; ///< Hosts whose maintenance was refused.
    std::map<std::string, pending_order> pending_orders_;
    std::map<std::string, wave_state> waves_;
    std::map<std::string, wave_record> restored_waves_;
    /// Orders that were sent, kept until they can't conflict with those of a later leader.
    std::map<std::string, std::pair<host_order, timestamp>> recent_orders_;
    std::map<service_id, std::deque<std::pair<timestamp, double>>> demand_samples_;
    /// Hosts to which the previous leader may have sent orders; empty after the handover.
    std::set<std::string> held_hosts_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    /// Since when the registrations can be read without a gap; std::nullopt while the view of them is old.
    std::optional<timestamp> view_recent_since_;
    /// Targets on which an earlier leader has started runs, and which are not registered but may still be.
    std::set<target_id> awaited_targets_;
    timestamp next_list_;
    timestamp next_plan_;
    timestamp next_pool_log_;
    bool list_in_flight_ = false;
    bool hosts_listed_ = false;
    bool restore_done_ = false;
};

} // namespace mjm
