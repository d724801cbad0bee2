#include "permits/bench/permit_benchmark.h"

#include "permits/permit_agent.h"
#include "permits/tests/simulated_store.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <memory>
#include <ostream>
#include <string>

namespace mjm {

namespace {

constexpr double step_s = 0.2;
constexpr double mean_task_s = 2.0;
constexpr double demand_period_s = 300.0;
// Demand at the peak_factor and in between, relative to the mean.
constexpr double peak_factor = 5.0;
constexpr double trough_factor = 0.05;
// Fraction of the period at the peak_factor for which the mean factor is 1.
constexpr double peak_fraction = (1.0 - trough_factor) / (peak_factor - trough_factor);
// Slots of the current fleet, used for cases of up to `max_current_shards`, and at the design scale.
constexpr double current_slots = 400.0;
constexpr double design_scale_slots = 4240.0;
constexpr int max_current_shards = 20;
// Callers abandon further tasks once this many times the mean demand waits.
constexpr double max_waiting_factor = 20.0;

struct queue_state {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
};

/// Queues and sums of one permit policy.
struct policy_run {
    std::vector<queue_state> queues; ///< Ordered by shard, then team.
    std::uint64_t starts = 0;
    std::uint64_t ends = 0;
    double waiting_sum = 0.0;   ///< Waiting tasks, summed over steps and teams.
    double under_use_sum = 0.0; ///< Unused fraction of the limit, summed over steps and teams.
};

std::int64_t poisson(random_source& random, double mean)
{
    const double bound = std::exp(-mean);
    std::int64_t n = 0;
    for (double p = random.uniform01(); p > bound; p *= random.uniform01())
        ++n;
    return n;
}

class simulation {
public:
    simulation(const permit_benchmark_case& config, std::uint64_t seed);
    permit_benchmark_row run();

private:
    struct owner {
        std::unique_ptr<simulated_store::client> client;
        std::unique_ptr<seeded_random> random;
        std::unique_ptr<permit_agent> agent;
    };

    [[nodiscard]] double demand(int shard) const;
    void step();
    /// Ends, queues, starts and counts the tasks of one team under one policy. `held` returns the permits of
    /// a shard.
    template <typename Held>
    void step_team(policy_run& it, int team, const Held& held);
    [[nodiscard]] permit_benchmark_result result_of(const policy_run& it) const;
    [[nodiscard]] permit_agent_counters counters() const;
    [[nodiscard]] std::size_t index(int shard, int team) const
    {
        return static_cast<std::size_t>(shard) * static_cast<std::size_t>(config_.teams) +
               static_cast<std::size_t>(team);
    }
    queue_state& queue(policy_run& it, int shard, int team) const { return it.queues[index(shard, team)]; }

    permit_benchmark_case config_;
    simulated_store store_;
    seeded_random random_;
    double mean_demand_;
    std::int64_t limit_;
    std::vector<team_id> teams_;
    std::vector<owner> owners_;
    std::vector<std::int64_t> arrivals_;
    policy_run agent_run_;
    policy_run static_division_run_;
    policy_run write_per_task_run_;
    double now_s_ = 0.0;
    bool measuring_ = false;
};

simulation::simulation(const permit_benchmark_case& config, std::uint64_t seed)
    : config_{config}, store_{seed}, random_{seed + 1},
      mean_demand_{(config.shards <= max_current_shards ? current_slots : design_scale_slots) /
                   (config.shards * config.teams)},
      limit_{static_cast<std::int64_t>(std::ceil(mean_demand_ * config.shards * config.limit_ratio))}
{
    const std::size_t size = index(config.shards, 0);
    for (policy_run* it : {&agent_run_, &static_division_run_, &write_per_task_run_})
        it->queues.resize(size);
    arrivals_.resize(size);
    std::map<team_id, std::int64_t> limits;
    for (int n = 0; n < config.teams; ++n) {
        teams_.emplace_back("t" + std::to_string(n));
        limits[teams_.back()] = limit_;
    }
    for (int n = 0; n < config.shards; ++n) {
        owner it;
        it.client = store_.connect();
        it.random = std::make_unique<seeded_random>(random_.next());
        it.agent = std::make_unique<permit_agent>(shard_id{service_id{"s" + std::to_string(n)}, zone_id{"a"}},
                                                  1, *it.client, *it.random, permit_agent_settings{});
        it.agent->set_limits(limits, 1);
        owners_.push_back(std::move(it));
    }
}

double simulation::demand(int shard) const
{
    const double phase =
        std::fmod(now_s_ / demand_period_s + static_cast<double>(shard) / config_.shards, 1.0);
    return mean_demand_ * (phase < peak_fraction ? peak_factor : trough_factor);
}

template <typename Held>
void simulation::step_team(policy_run& it, int team, const Held& held)
{
    std::int64_t used = 0;
    std::int64_t waiting = 0;
    for (int n = 0; n < config_.shards; ++n) {
        queue_state& state = queue(it, n, team);
        for (std::int64_t k = state.running; k > 0; --k) {
            if (random_.chance(step_s / mean_task_s)) {
                --state.running;
                it.ends += measuring_ ? 1 : 0;
            }
        }
    }
    for (int n = 0; n < config_.shards; ++n) {
        queue_state& state = queue(it, n, team);
        state.waiting += arrivals_[index(n, team)];
        state.waiting =
            std::min(state.waiting, static_cast<std::int64_t>(std::ceil(max_waiting_factor * mean_demand_)));
        const std::int64_t start = std::clamp<std::int64_t>(held(n) - state.running, 0, state.waiting);
        state.running += start;
        state.waiting -= start;
        it.starts += measuring_ ? static_cast<std::uint64_t>(start) : 0;
        used += state.running;
        waiting += state.waiting;
    }
    if (!measuring_)
        return;
    it.waiting_sum += static_cast<double>(waiting);
    it.under_use_sum += static_cast<double>(std::clamp<std::int64_t>(limit_ - used, 0, waiting)) /
                        static_cast<double>(limit_);
}

void simulation::step()
{
    now_s_ += step_s;
    const timestamp now{duration{static_cast<duration::rep>(now_s_ * 1e6)}};
    store_.advance(now);
    for (int n = 0; n < config_.shards; ++n) {
        const double rate = demand(n) * step_s / mean_task_s;
        for (int team = 0; team < config_.teams; ++team)
            arrivals_[index(n, team)] = poisson(random_, rate);
    }
    for (int team = 0; team < config_.teams; ++team) {
        const team_id& name = teams_[static_cast<std::size_t>(team)];
        step_team(agent_run_, team,
                  [&](int n) { return owners_[static_cast<std::size_t>(n)].agent->held(name); });
        step_team(static_division_run_, team,
                  [&](int n) { return limit_ / config_.shards + (n < limit_ % config_.shards ? 1 : 0); });
        std::int64_t used = 0;
        for (int n = 0; n < config_.shards; ++n)
            used += queue(write_per_task_run_, n, team).running;
        bool first = true;
        step_team(write_per_task_run_, team, [&](int n) {
            if (first) { // Excludes the tasks that ended in this step.
                used = 0;
                for (int k = 0; k < config_.shards; ++k)
                    used += queue(write_per_task_run_, k, team).running;
                first = false;
            }
            const queue_state& state = queue(write_per_task_run_, n, team);
            const std::int64_t start = std::min(state.waiting, std::max<std::int64_t>(0, limit_ - used));
            used += start;
            return state.running + start;
        });
        for (int n = 0; n < config_.shards; ++n) {
            const queue_state& state = queue(agent_run_, n, team);
            owners_[static_cast<std::size_t>(n)].agent->set_demand(name, state.running + state.waiting,
                                                                   state.running);
        }
    }
    for (const owner& it : owners_)
        it.agent->tick(now);
}

permit_agent_counters simulation::counters() const
{
    permit_agent_counters sum;
    for (const owner& it : owners_) {
        const permit_agent_counters each = it.agent->counters();
        sum.reads += each.reads;
        sum.writes += each.writes;
        sum.conflicts += each.conflicts;
    }
    return sum;
}

permit_benchmark_result simulation::result_of(const policy_run& it) const
{
    const double steps = config_.seconds / step_s * config_.teams;
    permit_benchmark_result out;
    out.under_use = it.under_use_sum / steps;
    out.mean_wait_s = it.waiting_sum * step_s / static_cast<double>(std::max<std::uint64_t>(1, it.starts));
    return out;
}

permit_benchmark_row simulation::run()
{
    for (int n = static_cast<int>(config_.seconds / step_s / 4); n > 0; --n)
        step();
    measuring_ = true;
    const permit_agent_counters before = counters();
    for (int n = static_cast<int>(config_.seconds / step_s); n > 0; --n)
        step();
    const permit_agent_counters after = counters();
    permit_benchmark_row out{result_of(agent_run_), result_of(static_division_run_),
                             result_of(write_per_task_run_)};
    const auto rate = [this](std::uint64_t count) { return static_cast<double>(count) / config_.seconds; };
    out.agent.writes_per_s = rate(after.writes - before.writes);
    out.agent.conflicts_per_s = rate(after.conflicts - before.conflicts);
    out.agent.reads_per_s = rate(after.reads - before.reads);
    out.write_per_task.writes_per_s = rate(write_per_task_run_.starts + write_per_task_run_.ends);
    return out;
}

} // namespace

permit_benchmark_row run_permit_benchmark(const permit_benchmark_case& it, std::uint64_t seed)
{
    return simulation{it, seed}.run();
}

void print_permit_benchmark(const std::vector<permit_benchmark_case>& cases, std::uint64_t seed,
                            std::ostream& out)
{
    out << "shards teams seconds | agent: writes/s conflicts/s reads/s under-use wait_s | static: under-use "
           "wait_s | write per task: writes/s under-use wait_s\n"
        << std::fixed << std::setprecision(3);
    for (const permit_benchmark_case& it : cases) {
        const permit_benchmark_row row = run_permit_benchmark(it, seed);
        out << it.shards << ' ' << it.teams << ' ' << it.seconds << " | " << row.agent.writes_per_s << ' '
            << row.agent.conflicts_per_s << ' ' << row.agent.reads_per_s << ' ' << row.agent.under_use << ' '
            << row.agent.mean_wait_s << " | " << row.static_division.under_use << ' '
            << row.static_division.mean_wait_s << " | " << row.write_per_task.writes_per_s << ' '
            << row.write_per_task.under_use << ' ' << row.write_per_task.mean_wait_s << std::endl;
    }
}

} // namespace mjm
