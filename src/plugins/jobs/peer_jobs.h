#pragma once

#include "core/executor.h"
#include "jobs/job_front.h"
#include "jobs/job_leader.h"
#include "net/http_client.h"
#include "net/http_message.h"

#include <functional>
#include <optional>
#include <string>

namespace mjm {

/// Asks the leader, either directly on this host or over HTTP on another one.
class peer_leader_link final : public leader_link {
public:
    struct source {
        /// Returns this host's leader, or nullptr if it does not lead.
        std::function<const job_leader*()> local;
        /// Returns the current leader's `address:port`; empty if unknown.
        std::function<std::string()> leader_address;
    };

    peer_leader_link(http_client& client, executor& callbacks, source where);

    void state_of(const job_id& id, state_callback done) override;
    void waiting_jobs(const queue_id& queue, count_callback done) override;

private:
    void ask(const std::string& path,
             std::function<void(const tl::expected<http_response, front_errc>&)> done);

    http_client& client_;
    executor& callbacks_;
    const source where_;
};

/// Returns the job's status from an answer to `GET /jobs/ID`, or std::nullopt if it is malformed.
[[nodiscard]] std::optional<job_status> read_job_status(const http_response& answer);

/// Answers a request of another entry host: `GET /jobs/ID` with the job's state and owner, `GET /queues/ID`
/// with the number of the queue's waiting jobs. The status is 404 for an unknown job or path, and 503 if this
/// host does not lead or has not loaded the jobs yet.
[[nodiscard]] http_response answer_peer(const http_request& request, const job_leader* leader);

} // namespace mjm
