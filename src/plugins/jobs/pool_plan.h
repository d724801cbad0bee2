#pragma once

#include "jobs/job_types.h"

#include <string>
#include <vector>

namespace mjm {

struct pool_plan_settings {
    /// Room kept beyond the present need, as a share of it: tasks don't fill hosts without gaps.
    double headroom = 0.2;
    /// Hosts kept beyond the present need, since a new one takes seconds to join.
    double spare_hosts = 1.5;
    std::size_t fewest_hosts = 3;
    /// A pool starves when work that fills this many hosts waits; less is a gap that the next end closes.
    double starving_hosts = 1.0;
    /// Share of an equal division of all hosts among the pools that is kept even when nothing asks for it.
    /// Not of a pool's size in the past, which a new leader does not know.
    double kept_share = 0.42;
    /// Time that a host needs to join a pool, 1.5 s for the move and the rest for its registration: a growing
    /// demand is met as it will be by then.
    double joining_seconds = 2.0;
    /// An idle host is switched off after this long, which is worth more than the cost of two moves.
    duration idle_time{std::chrono::milliseconds{2500}};
};

/// A host that could go to another pool at this moment.
struct spare_host {
    std::string id;
    duration idle_for{0};
};

/// What a pool has and needs.
struct pool_state {
    service_id service;
    bool standby = false;  ///< Its hosts are switched off.
    std::size_t hosts = 0; ///< That are there, or on their way.
    double needed = 0.0;   ///< Hosts that the present work and the next steps of its jobs fill.
    double present = 0.0;  ///< Hosts that tasks which run or could run fill.
    double waiting = 0.0;  ///< Part of `present` that waits for room.
    double growth = 0.0;   ///< Of `present`, a second.
    std::vector<spare_host> idle;
    /// Busy hosts whose work ends by itself within seconds; those with the least work first.
    std::vector<std::string> busy;
};

struct host_move {
    std::string host;
    service_id from;
    service_id to;
};

/// Decides which hosts change their pool. Answers queues whose demand rises and falls by turns: hosts follow
/// the demand, first switched-off ones, then idle ones of other pools, and go back to the switched-off pool
/// when they have been idle for a while. While a pool has work that waits, other pools keep no more idle
/// hosts than their present work needs: neither a reserve nor room for steps that can't run yet.
/// When several pools have work that waits, each gets an equal division of the hosts before any gets more, so
/// that a flood in one does not shut out the others.
[[nodiscard]] std::vector<host_move> plan_moves(std::vector<pool_state> pools,
                                                const pool_plan_settings& settings);

} // namespace mjm
