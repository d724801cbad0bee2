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
constexpr double task_s = 2.0;
constexpr double period_s = 300.0;
constexpr double peak = 5.0;
constexpr double trough = 0.05;
// Part of the period at the peak that makes the mean 1.
constexpr double peak_part = (1.0 - trough) / (peak - trough);
// Slots of the fleet today and at the target scale.
constexpr double slots_today = 400.0;
constexpr double slots_target = 4240.0;
constexpr int shards_today = 20;
// Callers give up beyond this many times the mean.
constexpr double max_waiting = 20.0;

struct queue_state {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
};

/// One way to hand out permits with its own copy of the queues.
struct lane {
    std::vector<queue_state> queues; ///< By shard, then team.
    std::uint64_t starts = 0;
    std::uint64_t ends = 0;
    double waiting_sum = 0.0;
    double under_use_sum = 0.0;
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
    /// Ends, starts and counts of one team in one lane; `held` gives the permits of a shard.
    template <typename Held>
    void step_team(lane& it, int team, const Held& held);
    [[nodiscard]] permit_benchmark_result result_of(const lane& it) const;
    [[nodiscard]] permit_agent_counters counters() const;
    [[nodiscard]] std::size_t index(int shard, int team) const
    {
        return static_cast<std::size_t>(shard) * static_cast<std::size_t>(config_.teams) +
               static_cast<std::size_t>(team);
    }
    queue_state& queue(lane& it, int shard, int team) const { return it.queues[index(shard, team)]; }

    permit_benchmark_case config_;
    simulated_store store_;
    seeded_random random_;
    double mean_;
    std::int64_t limit_;
    std::vector<team_id> teams_;
    std::vector<owner> owners_;
    std::vector<std::int64_t> arrivals_;
    lane agent_lane_;
    lane static_lane_;
    lane ideal_lane_;
    double now_s_ = 0.0;
    bool measuring_ = false;
};

simulation::simulation(const permit_benchmark_case& config, std::uint64_t seed)
    : config_{config}, store_{seed}, random_{seed + 1}, mean_{(config.shards <= shards_today ? slots_today
                                                                                             : slots_target) /
                                                              (config.shards * config.teams)},
      limit_{static_cast<std::int64_t>(std::ceil(mean_ * config.shards * config.limit_ratio))}
{
    const std::size_t size = index(config.shards, 0);
    for (lane* it : {&agent_lane_, &static_lane_, &ideal_lane_})
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
    const double phase = std::fmod(now_s_ / period_s + static_cast<double>(shard) / config_.shards, 1.0);
    return mean_ * (phase < peak_part ? peak : trough);
}

template <typename Held>
void simulation::step_team(lane& it, int team, const Held& held)
{
    std::int64_t used = 0;
    std::int64_t waiting = 0;
    for (int n = 0; n < config_.shards; ++n) {
        queue_state& state = queue(it, n, team);
        for (std::int64_t k = state.running; k > 0; --k) {
            if (random_.chance(step_s / task_s)) {
                --state.running;
                it.ends += measuring_ ? 1 : 0;
            }
        }
    }
    for (int n = 0; n < config_.shards; ++n) {
        queue_state& state = queue(it, n, team);
        state.waiting += arrivals_[index(n, team)];
        state.waiting = std::min(state.waiting, static_cast<std::int64_t>(std::ceil(max_waiting * mean_)));
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
        const double rate = demand(n) * step_s / task_s;
        for (int team = 0; team < config_.teams; ++team)
            arrivals_[index(n, team)] = poisson(random_, rate);
    }
    for (int team = 0; team < config_.teams; ++team) {
        const team_id& name = teams_[static_cast<std::size_t>(team)];
        step_team(agent_lane_, team,
                  [&](int n) { return owners_[static_cast<std::size_t>(n)].agent->held(name); });
        step_team(static_lane_, team,
                  [&](int n) { return limit_ / config_.shards + (n < limit_ % config_.shards ? 1 : 0); });
        std::int64_t used = 0;
        for (int n = 0; n < config_.shards; ++n)
            used += queue(ideal_lane_, n, team).running;
        bool first = true;
        step_team(ideal_lane_, team, [&](int n) {
            if (first) { // Ends of this step have been taken off by now.
                used = 0;
                for (int k = 0; k < config_.shards; ++k)
                    used += queue(ideal_lane_, k, team).running;
                first = false;
            }
            const queue_state& state = queue(ideal_lane_, n, team);
            const std::int64_t start = std::min(state.waiting, std::max<std::int64_t>(0, limit_ - used));
            used += start;
            return state.running + start;
        });
        for (int n = 0; n < config_.shards; ++n) {
            const queue_state& state = queue(agent_lane_, n, team);
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

permit_benchmark_result simulation::result_of(const lane& it) const
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
    permit_benchmark_row out{result_of(agent_lane_), result_of(static_lane_), result_of(ideal_lane_)};
    const auto rate = [this](std::uint64_t count) { return static_cast<double>(count) / config_.seconds; };
    out.agent.writes_per_s = rate(after.writes - before.writes);
    out.agent.conflicts_per_s = rate(after.conflicts - before.conflicts);
    out.agent.reads_per_s = rate(after.reads - before.reads);
    out.write_per_task.writes_per_s = rate(ideal_lane_.starts + ideal_lane_.ends);
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
