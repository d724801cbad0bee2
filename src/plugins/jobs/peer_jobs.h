#pragma once

#include "core/executor.h"
#include "jobs/job_front.h"
#include "jobs/job_leader.h"
#include "net/http_client.h"
#include "net/http_message.h"

#include <functional>
#include <string>

namespace mjm {

/// Asks the leader, which is this host or another one.
class peer_leader_link final : public leader_link {
public:
    struct source {
        std::function<const job_leader*()> local;    ///< This host's leader; null when it does not lead.
        std::function<std::string()> leader_address; ///< `address:port` of the current leader; may be empty.
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

/// Answers other entry hosts: `GET /jobs/ID` with the state, `GET /queues/ID` with the waiting jobs.
/// 404 for an unknown job, 503 when this host does not lead.
[[nodiscard]] http_response answer_peer(const http_request& request, const job_leader* leader);

} // namespace mjm
