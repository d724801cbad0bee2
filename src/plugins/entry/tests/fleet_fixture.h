#pragma once

#include "call_pump.h"
#include "core/clock.h"
#include "core/invariant.h"
#include "core/random_source.h"
#include "entry/entry_node.h"
#include "fake_host_list.h"
#include "fake_kv_store.h"
#include "fake_peer_network.h"
#include "fake_target.h"
#include "host_link.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mjm {

/// Store as one host sees it: it can be cut off from the shared one.
class cuttable_store final : public kv_store {
public:
    cuttable_store(fake_kv_store& shared, call_pump& pump) : shared_{shared}, pump_{pump} {}

    void set_cut(bool on) { cut_ = on; }

    void get(const std::string& key, store_revision known, get_callback done) override;
    void put(const kv_write& write, put_callback done) override;
    void erase(const std::string& key, std::optional<store_revision> expected, erase_callback done) override;
    void list(const std::string& prefix, list_callback done) override;
    void grant_lease(duration ttl, lease_callback done) override;
    void keep_alive(store_lease_id lease, erase_callback done) override;

private:
    template <typename Result>
    bool refuse(const std::function<void(Result)>& done);

    fake_kv_store& shared_;
    call_pump& pump_;
    bool cut_ = false;
};

/// What a test knows about one submitted request.
struct submission {
    std::string ticket;
    request_id id;
    std::vector<caller_answer> answers;
    [[nodiscard]] bool answered() const { return !answers.empty(); }
    [[nodiscard]] outcome_kind kind() const { return answers.at(0).result.kind; }
    [[nodiscard]] reason why() const { return answers.at(0).result.why; }
};

struct fleet_options {
    std::size_t zones = 3;
    std::size_t hosts_per_zone = 2;
    std::size_t targets_per_zone = 2;
    std::int64_t team_limit = 100;
    std::uint64_t seed = 1;
    target_model_settings target{};
    /// Puts a faulty client before the targets, to show that a check finds what it does wrong.
    std::function<std::unique_ptr<target_client>(target_client&)> wrap_targets{};
};

/// Entry hosts, targets and the platform in one thread and virtual time. One service `lens`, one open
/// service `browse`, and the teams `t1` and `t2` with the keys `key-t1` and `key-t2`.
class fleet_fixture {
public:
    explicit fleet_fixture(const fleet_options& options = {});
    ~fleet_fixture();

    /// Advances time in steps, delivering all messages and ticking all live hosts in each.
    void run(duration d);
    /// Runs until `done` holds or `limit` has passed; returns whether it holds.
    bool run_until(const std::function<bool()>& done, duration limit);
    /// Ends a task this long after its start; set before submitting. Zero leaves tasks to the test.
    void set_run_time(duration d) { run_time_ = d; }

    void kill(const std::string& id);
    void restart(const std::string& id);
    /// A paused host neither ticks nor sends; messages to it wait.
    void pause(const std::string& id, bool on);
    [[nodiscard]] bool paused(const std::string& host) const { return nodes_.at(host).paused; }
    [[nodiscard]] const std::string& zone_of(const std::string& host) const
    {
        return nodes_.at(host).self.zone.str();
    }
    void cut_from_store(const std::string& host, bool on) { nodes_.at(host).store->set_cut(on); }
    void partition_zones(const std::string& a, const std::string& b, bool on);
    /// Commits a configuration directly in the store.
    void commit(const fleet_config& committed);

    [[nodiscard]] entry_node& node(const std::string& host) { return *nodes_.at(host).node; }
    [[nodiscard]] bool alive(const std::string& host) const { return nodes_.at(host).node != nullptr; }
    [[nodiscard]] std::vector<std::string> hosts() const;
    [[nodiscard]] std::string owner_of(const shard_id& shard);

    std::shared_ptr<submission> submit(const std::string& host, const caller_request& request);
    [[nodiscard]] static caller_request call(const std::string& team, bool idempotent,
                                             const std::string& ticket = {});
    [[nodiscard]] std::string ticket(const std::string& host, const std::string& team);

    /// Times that any task of the request was started on a target.
    [[nodiscard]] std::size_t runs_of(const request_id& id) const;
    /// Tasks of a team that run on all targets now.
    [[nodiscard]] std::int64_t running_of(const std::string& team) const;
    [[nodiscard]] std::int64_t highest_running_of(const std::string& team) const { return highest_.at(team); }

    manual_clock time;
    seeded_random random;
    call_pump pump;
    fake_kv_store store{pump, time};
    fake_target targets{pump, time};
    std::unique_ptr<target_client> wrapped_targets;
    fake_peer_network peers{pump};
    fake_host_list host_list{pump};
    fleet_config config;
    std::vector<std::string> violations;
    std::set<target_id> failing_targets; ///< Every task there ends at once with a failure.
    fleet_observer* observer = nullptr;
    std::function<void()> before_round; ///< Called before each round of deliveries, to add message faults.

private:
    struct host_state {
        member self;
        std::unique_ptr<cuttable_store> store;
        std::unique_ptr<fake_peer_client> peers;
        std::shared_ptr<host_link> link;
        std::unique_ptr<linked_store> linked_to_store;
        std::unique_ptr<linked_targets> linked_to_targets;
        std::unique_ptr<linked_peers> linked_to_peers;
        std::unique_ptr<linked_host_list> linked_to_list;
        std::unique_ptr<timeline> events;
        std::unique_ptr<entry_node> node;
        bool paused = false;
    };

    void step();
    void finish_due_tasks();
    void start_node(host_state& host);

    std::map<std::string, host_state> nodes_;
    std::map<std::string, std::int64_t> highest_{{"t1", 0}, {"t2", 0}};
    std::map<task_id, timestamp> seen_;
    duration run_time_{std::chrono::milliseconds{200}};
    invariant_handler previous_handler_;
};

} // namespace mjm
