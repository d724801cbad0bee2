#pragma once

#include "core/random_source.h"
#include "jobs/evacuation_gauges.h"
#include "jobs/job_front.h"
#include "jobs/job_leader.h"
#include "jobs/leadership.h"

#include <functional>
#include <memory>
#include <string>

namespace mjm {

struct job_node_settings {
    std::string peer_address; ///< `address:port` at which other entry hosts reach this host.
    leadership_settings election;
    job_leader_settings leader;
    job_front_settings front;
};

struct job_node_services {
    transaction_store& store;
    target_orders& orders;
    target_directory& directory;
    host_operations* hosts; ///< Null where hosts can't be moved or maintained.
    leader_link& leader;
    executor& callbacks; ///< Runs work on the node's thread, after the work that is already queued there.
    const clock& time;
    random_source& random;
    logger log;
    metric_registry& metrics;
    /// Returns the time whose configuration and requests of the operator the node has been given; null if
    /// they don't change.
    std::function<timestamp()> config_known_at = {};
};

/// The job service of one entry host: handles callers' requests, and schedules all jobs while it is elected
/// leader.
class job_node {
public:
    job_node(job_node_settings settings, job_node_services services);

    void tick();
    void set_config(std::shared_ptr<const fleet_config> config);
    void set_waves(const std::map<std::string, maintenance_wave>& waves);
    /// Sets the zones to whose targets nothing more is sent.
    void set_evacuated_zones(const std::set<zone_id>& zones);
    /// Gives up what an exception may have left inconsistent: this host's term as leader, whose state the
    /// next leader reads from the store. This host remains a candidate.
    void recover(const std::string& why);
    /// Resigns the leadership for good. Callers' requests are still answered.
    void resign();

    [[nodiscard]] job_front& front() { return front_; }
    /// Returns nullptr while this host does not lead.
    [[nodiscard]] const job_leader* leader() const { return leader_.get(); }
    /// Returns the current leader's `address:port`; empty if none is known.
    [[nodiscard]] std::string leader_address() const { return election_.leader(); }

private:
    void on_election(leadership_event event, const std::string& detail);

    const job_node_settings settings_;
    job_node_services services_;
    job_front front_;
    std::shared_ptr<const fleet_config> config_;
    operator_requests requests_;
    evacuation_gauges evacuation_gauges_;
    std::unique_ptr<job_leader> leader_;
    std::string step_down_reason_; ///< Why the term ends, for the log; set with `step_down_`.
    bool step_down_ = false;       ///< The leader has been superseded; the next `tick` ends its term.
    bool start_leader_ = false;
    bool end_leader_ = false;
    leadership election_;
};

} // namespace mjm
