#pragma once

#include "jobs/job_types.h"

#include <string>
#include <vector>

namespace mjm {

struct pool_plan_settings {
    /// Free capacity kept beyond the present need, as a fraction of it, since tasks don't fill hosts without
    /// gaps.
    double headroom = 0.2;
    /// Number of hosts kept beyond the present need, since another one takes seconds to join the pool.
    double spare_hosts = 1.5;
    std::size_t min_hosts = 3; ///< Smallest size of a pool that is not on standby.
    /// A pool is short of hosts if its waiting work would fill this many. Less waiting work starts as soon as
    /// the next task ends.
    double shortage_threshold = 1.0;
    /// Fraction of its equal share of all hosts that a pool keeps without any demand. It is not a fraction of
    /// the pool's earlier size, since a new leader does not know that.
    double reserved_fraction = 0.42;
    /// Time in seconds that a host takes to join a pool: 1.5 s for the move, the rest for its registration.
    /// Hosts are planned for the demand that is expected by then.
    double join_seconds = 2.0;
    /// An idle host is switched off after this long. Leaving it idle for longer costs more than moving it to
    /// the standby pool and back.
    duration idle_time{std::chrono::milliseconds{2500}};
};

/// A host that can be moved to another pool at this moment.
struct spare_host {
    std::string id;
    duration idle_for{0};
};

/// Hosts and demand of a pool, in hosts.
struct pool_state {
    service_id service;
    bool standby = false;    ///< Whether its hosts are switched off.
    std::size_t hosts = 0;   ///< Hosts in the pool or being moved to it.
    double needed = 0.0;     ///< Hosts filled by the present work and the next steps of its jobs.
    double present = 0.0;    ///< Hosts filled by tasks that run or could run now.
    double waiting = 0.0;    ///< Part of `present` that waits for free capacity.
    double growth = 0.0;     ///< Growth of `present` in hosts per second.
    bool restricted = false; ///< Whether some waiting work can't use every host of the pool.
    std::vector<spare_host> idle;
    /// Busy hosts without permanent tasks, whose work ends by itself within seconds; the least loaded first.
    std::vector<std::string> busy;
};

struct host_move {
    std::string host;
    service_id from;
    service_id to;
};

/// Returns how many hosts of a pool the need fills, measured by the pool's median host in each kind of
/// resource, so that a few hosts with a temporarily smaller capacity have no effect. Hosts without a kind of
/// resource are left out for that kind. Returns 0 if no host has any capacity.
[[nodiscard]] double hosts_needed(const resources& need, const std::vector<resources>& host_capacities);

/// Returns the hosts to be moved to another pool, so that hosts follow a demand that rises and falls in
/// different pools at different times. A pool gets switched-off hosts first, then idle hosts of other pools;
/// hosts that have been idle for `idle_time` return to the standby pool. While a pool is short of hosts,
/// pools without waiting work keep no more idle hosts than their present work needs: neither the reserve
/// nor free capacity for steps that can't run yet. If several pools have waiting work, each gets its equal
/// share of the hosts before any gets more, so that a burst in one pool does not leave the others without.
[[nodiscard]] std::vector<host_move> plan_moves(std::vector<pool_state> pools,
                                                const pool_plan_settings& settings);

} // namespace mjm
