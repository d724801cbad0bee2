#include "demand.h"

#include "core/random_source.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace mjm::bench {

namespace {

constexpr std::int64_t cores = 1000;
constexpr std::int64_t gib = 1024;
// Teams peak in turn within the queue's peak: each is above its mean in one half of these phases.
constexpr double team_phase_s = 20.0;
constexpr double team_high = 1.5;
constexpr double team_low = 0.5;
// 90% of tasks take 1 slot, 8% take 2 and 2% a whole worker.
constexpr double one_slot_fraction = 0.90;
constexpr double two_slot_fraction = 0.08;

// Six teams, a few of them large.
const std::vector<double> small_shares{8, 6, 3, 1, 1, 1};

/// Skewed: the largest team and two small ones ask for more than their shares, the others for less.
std::vector<double> small_demand(demand_shape shape)
{
    return shape == demand_shape::skewed ? std::vector<double>{12, 3, 1.5, 2, 1, 0.5} : small_shares;
}

double standard_normal(random_source& random)
{
    const double u = 1.0 - random.uniform01();
    return std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * std::numbers::pi * random.uniform01());
}

double service_factor(double second, const demand_settings& settings)
{
    // The part of the time at the peak that makes the mean factor 1.
    const double peak_part = (1.0 - settings.trough_factor) / (settings.peak_factor - settings.trough_factor);
    const double cycle = std::chrono::duration<double>(settings.cycle).count();
    const double position = std::fmod(second, cycle) / cycle;
    const double peak_start = 0.4;
    const bool peak = position >= peak_start && position < peak_start + peak_part;
    return peak ? settings.peak_factor : settings.trough_factor;
}

} // namespace

std::int64_t deployment::total_slots() const
{
    const std::size_t workers =
        std::accumulate(workers_per_shard.begin(), workers_per_shard.end(), std::size_t{0});
    return static_cast<std::int64_t>(workers) * slots_per_worker;
}

resources deployment::worker() const
{
    return {.milli_cpu = milli_cpu_per_worker,
            .memory_mib = memory_mib_per_worker,
            .accelerators = 0,
            .slots = slots_per_worker};
}

resources deployment::need(std::int64_t slots) const
{
    return {.milli_cpu = milli_cpu_per_worker * slots / slots_per_worker,
            .memory_mib = memory_mib_per_worker * slots / slots_per_worker,
            .accelerators = 0,
            .slots = slots};
}

deployment consortium(demand_shape shape)
{
    return {.name = "consortium",
            .workers_per_shard = {4, 3, 3},
            .shares = small_shares,
            .demand = small_demand(shape),
            .milli_cpu_per_worker = 64 * cores,
            .memory_mib_per_worker = 256 * gib};
}

deployment pilhas(demand_shape shape)
{
    return {.name = "pilhas",
            .workers_per_shard = {3, 3, 2, 2},
            .shares = small_shares,
            .demand = small_demand(shape),
            .milli_cpu_per_worker = 32 * cores,
            .memory_mib_per_worker = 128 * gib};
}

deployment target_size(demand_shape shape)
{
    // 530 workers over 5 services and 7 zones: about 15 to a shard.
    deployment d{.name = "target_size",
                 .workers_per_shard = std::vector<std::size_t>(7, 15),
                 .shares = {},
                 .demand = {},
                 .milli_cpu_per_worker = 64 * cores,
                 .memory_mib_per_worker = 256 * gib};
    constexpr int teams = 52;
    // Skewed: every fourth team asks for three times its share, the others for correspondingly less.
    constexpr double greedy_factor = 3.0;
    constexpr double modest_factor = 1.0 / 3.0;
    for (int n = 0; n < teams; ++n) {
        d.shares.push_back(n < 4 ? 12.0 : (n < 16 ? 4.0 : 1.0));
        const double factor = n % 4 == 0 ? greedy_factor : modest_factor;
        d.demand.push_back(d.shares.back() * (shape == demand_shape::skewed ? factor : 1.0));
    }
    return d;
}

std::vector<arrival> record_demand(const deployment& where, const demand_settings& settings,
                                   std::uint64_t seed)
{
    seeded_random random{seed};
    const double weights = std::accumulate(where.demand.begin(), where.demand.end(), 0.0);
    const double mean_slots =
        one_slot_fraction + 2.0 * two_slot_fraction +
        (1.0 - one_slot_fraction - two_slot_fraction) * static_cast<double>(where.slots_per_worker);
    const double mean_run = settings.median_run_s * std::exp(0.5);
    const double mean_rate =
        settings.mean_load * static_cast<double>(where.total_slots()) / (mean_slots * mean_run);
    const double length = std::chrono::duration<double>(settings.length).count();
    const double highest_factor = settings.peak_factor * team_high;

    std::vector<arrival> arrivals;
    for (std::size_t team = 0; team < where.shares.size(); ++team) {
        const double highest_rate = mean_rate * where.demand[team] / weights * highest_factor;
        const double phase = random.uniform01() * 2.0 * team_phase_s;
        // Thinning of a Poisson process at the highest rate.
        for (double t = 0.0;;) {
            t -= std::log(1.0 - random.uniform01()) / highest_rate;
            if (t >= length)
                break;
            const bool high = std::fmod(t + phase, 2.0 * team_phase_s) < team_phase_s;
            const double factor = service_factor(t, settings) * (high ? team_high : team_low);
            if (!random.chance(factor / highest_factor))
                continue;
            const double size = random.uniform01();
            const double run_s =
                std::min(settings.longest_run_s, settings.median_run_s * std::exp(standard_normal(random)));
            arrival a;
            a.at = timestamp{duration{static_cast<duration::rep>(t * 1e6)}};
            a.team = team;
            a.home_shard = random.below(where.workers_per_shard.size());
            a.slots = size < one_slot_fraction                       ? 1
                      : size < one_slot_fraction + two_slot_fraction ? 2
                                                                     : where.slots_per_worker;
            a.urgency = random.chance(settings.urgent_fraction) ? priority::urgent : priority::normal;
            a.run = duration{std::max<duration::rep>(1000, static_cast<duration::rep>(run_s * 1e6))};
            arrivals.push_back(a);
        }
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& a, const arrival& b) { return a.at < b.at; });
    return arrivals;
}

} // namespace mjm::bench
