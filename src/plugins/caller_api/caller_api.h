#pragma once

#include "core/clock.h"
#include "front/front.h"
#include "net/http_message.h"

#include <functional>
#include <memory>
#include <vector>

namespace mjm {

struct caller_api_settings {
    duration longest_wait{std::chrono::seconds{60}}; ///< After it a waiting caller is told `pending`.
    std::size_t max_tickets = 100;                   ///< Issued by one call.
};

/// The callers' HTTP API on top of a front. Runs on the thread of the front.
///
///     POST   /v1/services/{service}/requests[?wait=false]
///     POST   /v1/services/{service}/tickets[?count=n]
///     GET    /v1/requests/{id}[?wait=true]
///     DELETE /v1/requests/{id}
class caller_api {
public:
    using responder = std::function<void(http_response)>;

    caller_api(front& callers, const clock& time, const caller_api_settings& settings);

    void handle(const http_request& request, responder respond);
    /// Answers callers that have waited for the longest time.
    void tick();

    /// Answer of a process that cannot take the request into its queue.
    [[nodiscard]] static http_response overloaded();

private:
    /// A caller's open HTTP request; answered once.
    struct waiting_call {
        responder respond;
        request_id id;
        timestamp until;
        bool answered = false;
    };

    void submit(const service_id& service, const http_request& request, responder respond);
    void issue_tickets(const service_id& service, const http_request& request, const responder& respond);
    void look_up(const request_id& id, const http_request& request, responder respond);
    void cancel(const request_id& id, const http_request& request, responder respond);
    [[nodiscard]] std::shared_ptr<waiting_call> wait_for(responder respond);

    front& front_;
    const clock& time_;
    caller_api_settings settings_;
    std::vector<std::shared_ptr<waiting_call>> waiting_;
};

} // namespace mjm
