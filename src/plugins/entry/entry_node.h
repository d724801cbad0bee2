#pragma once

#include "configuration/commit_promise.h"
#include "configuration/config_commit.h"
#include "configuration/config_progress.h"
#include "configuration/config_replica.h"
#include "configuration/key_freshness.h"
#include "entry/fleet_view.h"
#include "entry/owned_shard.h"
#include "front/front.h"
#include "membership/membership_agent.h"
#include "platform/host_list.h"
#include "timeline/timeline.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mjm {

struct entry_node_settings {
    member self; ///< Host, zone and peer address; the incarnation is found in the store.
    membership_settings membership;
    config_replica_settings replica;
    key_freshness_settings freshness;
    permit_agent_settings permits;
    shard_owner_settings shards;
    front_settings front;
    duration status_interval{std::chrono::seconds{1}};
    std::size_t status_fanout = 2;
    /// The roster itself is read once a second; copying it at each tick cost most of an idle host's time.
    duration roster_interval{std::chrono::milliseconds{200}};
    duration progress_interval{std::chrono::seconds{1}};
    duration month_interval{std::chrono::minutes{1}};
    duration host_list_interval{std::chrono::seconds{5}};
    /// A configured target that the platform's list has left out for this long is gone.
    duration host_list_lag{std::chrono::seconds{60}};
};

/// Outward services that a node works with.
struct entry_services {
    kv_store& store;
    target_client& targets;
    peer_client& peers;
    host_list& hosts;
    const clock& time;
    random_source& random;
    timeline& events; ///< Also the source of the hybrid time sent to other hosts.
};

struct node_status {
    host_id host;
    zone_id zone;
    std::uint64_t config_version = 0;
    key_policy keys = key_policy::refusing;
    bool store_reachable = false;
    bool draining = false;
    std::size_t outstanding = 0;
    std::vector<shard_status> shards;
};

/// One entry host as a single state machine: everything but sockets and threads. An outside bench drives it
/// through `entry_services` and the members below; all calls come from one thread.
class entry_node final : private routing_view {
public:
    entry_node(const entry_node_settings& settings, const entry_services& services);
    ~entry_node() override;

    /// Drives all timers; call every few tens of milliseconds.
    void tick();

    [[nodiscard]] front& callers() { return front_; }
    /// A request, look-up or cancellation that another entry host forwarded.
    void on_forward(const forwarded_request& message, outcome_function done);
    void on_cancel(const shard_id& shard, const request_id& id, outcome_function done);
    /// Answers a status exchange; malformed messages are answered all the same and counted.
    [[nodiscard]] std::string on_status(const std::string& message);

    /// Begins a graceful shutdown: refuses new work, hands shards over, sees outstanding requests through.
    void drain();
    [[nodiscard]] bool drained() const;
    /// True when this host can take callers' work.
    [[nodiscard]] bool ready() const { return was_ready_ && !draining_; }
    [[nodiscard]] node_status status() const;

    [[nodiscard]] std::shared_ptr<const fleet_config> config() const override { return replica_.current(); }
    [[nodiscard]] membership_agent& membership() { return membership_; }
    /// For the operators' API.
    [[nodiscard]] config_commit& commits() { return commit_; }
    [[nodiscard]] const config_replica& replica() const { return replica_; }
    [[nodiscard]] const config_progress& progress() const { return progress_; }
    [[nodiscard]] const key_freshness& freshness() const { return freshness_; }
    [[nodiscard]] std::size_t malformed_status_messages() const { return malformed_; }

private:
    [[nodiscard]] key_policy keys() const override { return freshness_.policy(services_.time.now()); }
    [[nodiscard]] std::optional<shard_route> route(const shard_id& shard) const override;
    [[nodiscard]] const std::vector<shard_id>& shards_of(const service_id& service) const override;
    [[nodiscard]] std::optional<shard_load> load(const shard_id& shard) const override;
    [[nodiscard]] const zone_id& zone() const override { return settings_.self.zone; }

    void install(const std::shared_ptr<const fleet_config>& config);
    void gain(const shard_id& shard, shard_epoch epoch);
    void lose(const shard_id& shard);
    void update_freshness();
    void refresh_roster();
    void exchange_status();
    void send_status(const member& peer);
    void receive_status(const status_message& message, std::optional<timestamp> asked);
    void update_remote_usage();
    void read_host_list();
    /// Tells the owned shards what the latest host list says about their targets.
    void apply_host_list();
    [[nodiscard]] status_message own_status();
    [[nodiscard]] status_message status_answer(const std::optional<status_message>& question);
    void drive_commits();
    [[nodiscard]] bool store_reachable() const;
    void record(timeline_kind kind, const shard_id& shard, std::string detail);
    void record_shard_event(const shard_event_record& event);
    void watch_changes();
    [[nodiscard]] bool knows_owners() const;

    entry_node_settings settings_;
    entry_services services_;
    membership_agent membership_;
    config_replica replica_;
    key_freshness freshness_;
    commit_promise promise_;
    config_commit commit_;
    config_progress progress_;
    std::uint64_t newest_heard_ = 0; ///< Newest configuration version that another host has reported.
    fleet_view fleet_;
    std::map<shard_id, std::unique_ptr<owned_shard>> owned_;
    std::vector<std::unique_ptr<owned_shard>> retired_; ///< Destroyed at the next tick, outside callbacks.
    front front_;
    std::optional<std::vector<listed_host>> listed_; ///< As last read, at `listed_at_`.
    timestamp listed_at_;
    std::map<target_id, timestamp> unlisted_since_;
    std::vector<member> roster_;                            ///< Refreshed at `roster_interval`.
    std::map<host_id, peer_endpoint> endpoints_;            ///< Of the roster.
    std::map<service_id, std::vector<shard_id>> shards_of_; ///< Of the configuration in force.
    timestamp next_roster_;
    timestamp next_status_;
    timestamp next_host_list_;
    timestamp next_progress_;
    timestamp next_month_;
    bool reading_host_list_ = false;
    bool draining_ = false;
    bool was_ready_ = false;
    bool store_was_reachable_ = true;
    key_policy last_policy_ = key_policy::refusing;
    std::size_t malformed_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace mjm
