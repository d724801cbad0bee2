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

/// Entry hosts of one or more zones in virtual time, with the checks after each step.
class member_fleet {
public:
    struct process {
        host_id host;
        zone_id zone;
        std::unique_ptr<simulated_store::client> store;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<membership_agent> agent; ///< Empty once the process was killed.
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
    /// Steps until `done` holds; the number of steps, or nothing after `most`.
    std::optional<int> steps_until(const std::function<bool()>& done, int most);
    /// Every shard of the zone has exactly one owner among the running processes, in even parts.
    [[nodiscard]] bool settled(const std::string& zone = "a") const;
    [[nodiscard]] bool all_owned(const std::string& zone = "a") const;
    /// Owner changes recorded in the store so far.
    [[nodiscard]] std::size_t changes() const { return epochs_.size(); }

    simulated_store store;
    seeded_random random;
    timestamp now{std::chrono::hours{1}};
    std::set<shard_id> shards;
    std::vector<std::unique_ptr<process>> processes;
    std::vector<std::string> violations;

private:
    void gained(const process& it, const shard_id& shard, shard_epoch epoch);

    std::map<std::pair<shard_id, shard_epoch>, const process*> epochs_;
};

} // namespace mjm
