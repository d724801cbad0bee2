#pragma once

#include "jobs/job_types.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

/// A queue: the URLs that it serves, the service that runs its jobs, and their objective.
struct queue_config {
    queue_id id;
    std::string host;   ///< Host name in the callers' URL.
    std::string prefix; ///< Prefix of the path in the callers' URL; the longest match wins.
    service_id service; ///< Service whose targets run the jobs.
    int priority = 0;   ///< 0 is the highest priority.
    std::uint32_t max_attempts = 1;
    double stretch = 1.0;            ///< Objective for a job's duration, as a multiple of its critical path.
    duration objective_allowance{0}; ///< Constant time added to the objective.
    bool anonymous = false;          ///< Whether callers need no key.
    bool needs_advice = false;       ///< Whether only targets that the advice service names may run a job.
    duration advice_fixed{0};        ///< Time that a call to the advice service takes, without its targets.
    duration advice_per_target{0};   ///< Additional time of such a call per target named in it.
};

struct service_config {
    service_id id;
    bool rejects_overload = false; ///< Whether its targets refuse tasks that exceed their free capacity.
    bool standby = false;          ///< Whether the hosts of its pool are switched off.
};

struct team_config {
    team_id id;
    double weight = 1.0;
    resources cap; ///< Limit on the resources of its runs on all targets; 0 for no limit.
};

/// One version of the operator's configuration.
struct fleet_config {
    std::uint64_t version = 0;
    std::vector<queue_config> queues;
    std::map<service_id, service_config> services;
    std::map<team_id, team_config> teams;
    std::map<std::string, team_id, std::less<>> teams_by_key;

    /// Returns the queue of `host` with the longest prefix of `path`, or nullptr if there is none.
    [[nodiscard]] const queue_config* match(std::string_view host, std::string_view path) const;
    /// Returns nullptr if there is no such queue.
    [[nodiscard]] const queue_config* find_queue(const queue_id& id) const;
};

/// A set of hosts that the operator wants maintained.
struct maintenance_wave {
    std::string name;
    std::string status_key; ///< Store key to which the wave's state is written for the operator.
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    duration time_limit{0};     ///< Time in which all hosts are to be maintained.
    std::uint32_t max_down = 1; ///< Largest number of the wave's hosts that may be down at a time.
};

/// What the operator requests beside the configuration.
struct operator_requests {
    std::map<std::string, maintenance_wave> waves; ///< By name.
    std::set<zone_id> evacuated_zones;             ///< Nothing is started on targets in these zones.
};

} // namespace mjm
