#include "jobs/pool_plan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace mjm {

namespace {

std::size_t with_headroom(double needed, const pool_plan_settings& settings)
{
    return static_cast<std::size_t>(std::ceil(needed * (1.0 + settings.headroom) + settings.spare_hosts));
}

/// Returns the size that the pool should have. `equal_share` is the number of hosts of each pool if all
/// active pools had the same number.
std::size_t wanted_hosts(const pool_state& p, const pool_plan_settings& settings, double equal_share)
{
    const double expected = std::max(p.needed, p.present + p.growth * settings.join_seconds);
    const double kept = std::ceil(settings.reserved_fraction * equal_share);
    return std::max({with_headroom(expected, settings), static_cast<std::size_t>(kept), settings.min_hosts});
}

/// Returns the number of hosts that a pool keeps while another pool is short of hosts.
std::size_t hosts_kept_when_lending(const pool_state& p, const pool_plan_settings& settings)
{
    return std::max(with_headroom(p.present + p.growth * settings.join_seconds, settings),
                    settings.min_hosts);
}

/// Plans moves of busy hosts to a pool that is short of hosts and has fewer than its equal share, from pools
/// that have waiting work and more than their equal share. The hosts move when their work has ended.
void claim_equal_share(pool_state& to, std::vector<pool_state>& pools, const pool_plan_settings& settings,
                       double equal_share, std::vector<host_move>& moves)
{
    if (to.standby || to.waiting < settings.shortage_threshold)
        return;
    const std::size_t share_limit = static_cast<std::size_t>(equal_share);
    const std::size_t claim = std::min(share_limit, hosts_kept_when_lending(to, settings));
    for (pool_state& from : pools) {
        while (!from.standby && from.waiting > 0.0 && from.hosts > share_limit && to.hosts < claim &&
               !from.busy.empty()) {
            moves.push_back({from.busy.front(), from.service, to.service});
            from.busy.erase(from.busy.begin());
            --from.hosts;
            ++to.hosts;
        }
    }
}

/// Removes and returns the host that has been idle longest.
spare_host take_longest_idle(pool_state& p)
{
    const auto it =
        std::max_element(p.idle.begin(), p.idle.end(),
                         [](const spare_host& a, const spare_host& b) { return a.idle_for < b.idle_for; });
    spare_host out = *it;
    p.idle.erase(it);
    --p.hosts;
    return out;
}

std::int64_t median_amount(const std::vector<resources>& capacities, std::int64_t resources::*kind)
{
    std::vector<std::int64_t> amounts;
    for (const resources& r : capacities) {
        if (r.*kind > 0)
            amounts.push_back(r.*kind);
    }
    if (amounts.empty())
        return 0;
    const auto middle = amounts.begin() + static_cast<std::ptrdiff_t>(amounts.size() / 2);
    std::nth_element(amounts.begin(), middle, amounts.end());
    return *middle;
}

} // namespace

double hosts_needed(const resources& need, const std::vector<resources>& host_capacities)
{
    resources typical;
    typical.milli_cpu = median_amount(host_capacities, &resources::milli_cpu);
    typical.memory_mib = median_amount(host_capacities, &resources::memory_mib);
    typical.accelerators = median_amount(host_capacities, &resources::accelerators);
    return need.dominant_fraction(typical);
}

std::vector<host_move> plan_moves(std::vector<pool_state> pools, const pool_plan_settings& settings)
{
    std::vector<host_move> moves;
    std::size_t hosts = 0;
    std::size_t active = 0;
    for (const pool_state& p : pools) {
        hosts += p.hosts;
        active += p.standby ? 0 : 1;
    }
    const double equal_share = active == 0 ? 0.0 : static_cast<double>(hosts) / static_cast<double>(active);
    // Pools with more waiting work get hosts first.
    std::sort(pools.begin(), pools.end(),
              [](const pool_state& a, const pool_state& b) { return a.waiting > b.waiting; });
    for (pool_state& to : pools) {
        if (to.standby)
            continue;
        const std::size_t wanted = wanted_hosts(to, settings, equal_share);
        const auto take_from = [&](pool_state& from) {
            const bool lends = to.waiting > std::max(from.waiting, settings.shortage_threshold);
            std::size_t kept = 0;
            if (!from.standby)
                kept = lends ? hosts_kept_when_lending(from, settings)
                             : wanted_hosts(from, settings, equal_share);
            while (to.hosts < wanted && !from.idle.empty() && from.hosts > kept) {
                moves.push_back({take_longest_idle(from).id, from.service, to.service});
                ++to.hosts;
            }
        };
        for (pool_state& from : pools) {
            if (from.standby)
                take_from(from);
        }
        for (pool_state& from : pools) {
            if (!from.standby && from.service != to.service && from.waiting <= 0.0)
                take_from(from);
        }
    }
    for (pool_state& to : pools)
        claim_equal_share(to, pools, settings, equal_share, moves);
    const auto standby =
        std::find_if(pools.begin(), pools.end(), [](const pool_state& p) { return p.standby; });
    if (standby == pools.end())
        return moves;
    for (pool_state& from : pools) {
        // The number of hosts doesn't tell whether those that are left can do restricted work.
        if (from.standby || from.restricted)
            continue;
        const std::size_t wanted = wanted_hosts(from, settings, equal_share);
        std::erase_if(from.idle, [&](const spare_host& h) { return h.idle_for < settings.idle_time; });
        while (from.hosts > wanted && !from.idle.empty())
            moves.push_back({take_longest_idle(from).id, from.service, standby->service});
    }
    return moves;
}

} // namespace mjm
