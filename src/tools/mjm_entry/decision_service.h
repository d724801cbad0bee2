#pragma once

#include "admin/admin_api.h"
#include "caller_api/caller_api.h"
#include "core/clock.h"
#include "entry_program.h"
#include "kernel/duty_thread.h"
#include "kernel/service.h"
#include "logging/logger.h"
#include "metrics/metric_registry.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "peer_api/peer_api.h"
#include "platform/http_host_list.h"
#include "platform/http_kv_store.h"
#include "platform/http_peer_client.h"
#include "platform/http_target_client.h"
#include "timeline/timeline_writer.h"

#include <atomic>
#include <memory>

namespace mjm {

/// The decision thread: the entry node, its outward adapters, and the handlers of all APIs. Network threads
/// reach it only through its ring.
class decision_service final : public service {
public:
    decision_service(const entry_program_settings& settings, const clock& time, logger log,
                     metric_registry& metrics);
    ~decision_service() override;

    tl::expected<void, start_failure> start(const kernel& services) override;
    void stop() noexcept override;

    /// Called from network threads. A full ring is answered with a refusal at once.
    void on_caller(http_request request, const http_server::responder& respond);
    void on_peer(http_request request, const http_server::responder& respond);
    void on_operator(http_request request, const http_server::responder& respond);

    void drain();
    [[nodiscard]] bool drained() const { return drained_; }

private:
    void tick();
    void publish();
    void answer_operator(const http_request& request, const http_server::responder& respond);
    [[nodiscard]] http_response status_response() const;
    void post_request(std::function<void()> work, const http_server::responder& respond,
                      const http_response& when_full);

    entry_program_settings settings_;
    const clock& time_;
    logger log_;
    metric_registry& metrics_;
    seeded_random random_;
    timeline events_;
    std::unique_ptr<timeline_writer> writer_;
    duty_thread thread_;
    std::unique_ptr<http_client> client_;
    std::unique_ptr<http_client> target_http_;
    std::unique_ptr<http_kv_store> store_;
    std::unique_ptr<http_host_list> hosts_;
    std::unique_ptr<http_target_client> targets_;
    std::unique_ptr<http_peer_client> peers_;
    std::unique_ptr<entry_node> node_;
    std::unique_ptr<caller_api> callers_;
    std::unique_ptr<peer_api> peer_handler_;
    std::unique_ptr<admin_api> operators_;
    timestamp next_publish_;
    std::atomic<bool> drained_ = false;
};

} // namespace mjm
