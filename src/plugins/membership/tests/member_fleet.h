#pragma once

#include "membership/membership_agent.h"
#include "permits/tests/simulated_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mjm {

/// Simulates the entry hosts of one or more zones in virtual time. Checks after each step that no two
/// processes own a shard at the same epoch, and records violations.
class member_fleet {
public:
    struct process {
        host_id host;
        zone_id zone;
        std::unique_ptr<simulated_store::client> store;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<membership_agent> agent; ///< Null once the process was killed.
        bool paused = false;
    };

    static constexpr duration step_time{std::chrono::milliseconds{100}};

    member_fleet(std::uint64_t seed, int shard_count);

    process& start(const std::string& host, const std::string& zone = "a");
    void kill(process& it);
    void pause(process& it);
    void resume(process& it);
    void step();
    void run(duration time);
    /// Steps until `done` returns true. Returns the number of steps, or std::nullopt if `done` is still false
    /// after `max_steps`.
    std::optional<int> steps_until(const std::function<bool()>& done, int max_steps);
    /// Whether each shard of the zone has exactly one owner among the running processes and their numbers of
    /// shards differ by at most 1.
    [[nodiscard]] bool balanced(const std::string& zone = "a") const;
    /// Whether each shard of the zone has exactly one owner among the running processes.
    [[nodiscard]] bool all_owned(const std::string& zone = "a") const;
    /// Number of ownership epochs that processes have gained so far.
    [[nodiscard]] std::size_t owner_changes() const { return gained_by_.size(); }

    simulated_store store;
    seeded_random random;
    timestamp now{std::chrono::hours{1}};
    std::set<shard_id> shards;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<std::string> violations;

private:
    void record_gain(const process& it, const shard_id& shard, shard_epoch epoch);

    std::map<std::pair<shard_id, shard_epoch>, const process*> gained_by_;
};

} // namespace mjm
