#pragma once

#include "core/clock.h"
#include "front/front.h"
#include "net/http_message.h"

#include <functional>
#include <memory>
#include <vector>

namespace mjm {

struct caller_api_settings {
    /// A caller that waits longer is answered with `pending`.
    duration longest_wait{std::chrono::seconds{60}};
    std::size_t max_tickets = 100; ///< Maximum for one call.
};

/// The HTTP API for callers, on top of a front. Runs on the thread of the front.
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
    /// Answers the calls that have waited for `longest_wait` with `pending`.
    void tick();

    /// Returns the answer for a request that doesn't fit into the queue of the process.
    [[nodiscard]] static http_response overloaded();

private:
    /// A caller's HTTP request that awaits its answer; it is answered once.
    struct waiting_call {
        responder respond;
        request_id id;
        timestamp wait_until;
        bool answered = false;
    };

    void submit(const service_id& service, const http_request& request, responder respond);
    void issue_tickets(const service_id& service, const http_request& request, const responder& respond);
    void look_up(const request_id& id, const http_request& request, responder respond);
    void cancel(const request_id& id, const http_request& request, responder respond);
    [[nodiscard]] std::shared_ptr<waiting_call> add_waiting_call(responder respond);

    front& front_;
    const clock& time_;
    caller_api_settings settings_;
    std::vector<std::shared_ptr<waiting_call>> waiting_;
};

} // namespace mjm
