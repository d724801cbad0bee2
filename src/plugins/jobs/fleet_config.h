#pragma once

#include "jobs/job_types.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

/// A queue and where its jobs run.
struct queue_config {
    queue_id id;
    std::string host;   ///< Of the URL that callers use.
    std::string prefix; ///< Of the path; the longest one that matches counts.
    service_id service;
    int priority = 0; ///< 0 comes first.
    std::uint32_t max_attempts = 1;
    double stretch = 1.0;            ///< Objective as a multiple of the job's longest chain of work.
    duration objective_allowance{0}; ///< Added to the objective.
    bool anonymous = false;          ///< Open to all, without a key.
    bool needs_advice = false;       ///< Only targets that the advice service names may run it.
    duration advice_fixed{0};        ///< Time of one call for advice ...
    duration advice_per_target{0};   ///< ... and for each target named in it.
};

struct service_config {
    service_id id;
    bool rejects_overload = false; ///< Its targets refuse what does not fit.
    bool standby = false;          ///< Its hosts are switched off.
};

struct team_config {
    team_id id;
    double weight = 1.0;
    resources cap; ///< Limit on what runs over all targets; 0 for no limit.
};

/// One version of the operator's configuration.
struct fleet_config {
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::map<service_id, service_config> services;
    std::map<team_id, team_config> teams;
    std::map<std::string, team_id, std::less<>> teams_by_key;

    /// The queue with the longest prefix that `path` begins with; nothing when there is none.
    [[nodiscard]] const queue_config* match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const queue_config* find_queue(const queue_id& id) const;
};

/// Hosts that the operator wants maintained.
struct maintenance_wave {
    std::string name;
    std::string status_key; ///< Where the operator expects the state.
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    duration time_limit{0};
    std::uint32_t max_down = 1; ///< Hosts of the wave that may be down at a time.
};

} // namespace mjm
