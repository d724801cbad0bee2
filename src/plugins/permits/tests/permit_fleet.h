#pragma once

#include "permits/permit_agent.h"
#include "permits/permit_document.h"
#include "permits/tests/simulated_store.h"

#include <memory>
#include <string>
#include <vector>

namespace mjm {

/// Simulates the shards of one team in virtual time with their owners, tasks and store faults. Checks the
/// permits after each step and records violations.
class permit_fleet {
public:
    struct owner {
        std::unique_ptr<simulated_store::client> store;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<permit_agent> agent;
        shard_epoch epoch = 0;
        std::int64_t seen_in_use = 0;
        bool paused = false;
    };
    struct shard {
        shard_id id;
        std::vector<owner> owners; ///< Oldest first; the last one has fenced the others at the targets.
        std::int64_t wanted = 0;
        std::int64_t running = 0;
        double end_chance = 0.05; ///< Probability that a task ends in a step.

        [[nodiscard]] owner& current() { return owners.back(); }
    };

    static constexpr duration step_time{std::chrono::milliseconds{50}};

    permit_fleet(std::uint64_t seed, std::size_t shard_count, std::int64_t initial_limit);

    void step();
    void run(duration time);
    /// Starts a new owner at the next epoch. The former owners continue until they read that they are
    /// superseded.
    void replace_owner(std::size_t n);
    void set_limit(std::int64_t value);
    void set_limit_at(std::size_t n, std::int64_t value, std::uint64_t version);
    [[nodiscard]] std::int64_t held(std::size_t n) { return shards[n].current().agent->held(team); }
    [[nodiscard]] std::int64_t held_sum();
    [[nodiscard]] permit_document document() const;
    /// Steps until `done` returns true. Returns the number of steps, or std::nullopt if `done` is still false
    /// after `max_steps`.
    std::optional<int> steps_until(const std::function<bool()>& done, int max_steps);

    const team_id team{"studio"};
    simulated_store store;
    seeded_random random;
    std::vector<shard> shards;
    timestamp now{std::chrono::hours{1}};
    std::uint64_t config_version = 1;
    std::int64_t limit = 0;
    std::vector<std::string> violations;

private:
    void check();
    void run_tasks(shard& it);

    std::map<std::uint64_t, std::int64_t> limits_written_; ///< By configuration version.
};

} // namespace mjm
