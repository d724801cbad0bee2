#pragma once

#include "entry/entry_node.h"
#include "net/http_message.h"

#include <functional>

namespace mjm {

/// The HTTP API for other entry hosts. Runs on the thread of the node.
class peer_api {
public:
    using responder = std::function<void(http_response)>;

    explicit peer_api(entry_node& node, host_id self) : node_{node}, self_{std::move(self)} {}

    void handle(const http_request& request, responder respond);

private:
    void forward(const http_request& request, responder respond);
    void cancel(const http_request& request, responder respond);

    entry_node& node_;
    host_id self_;
};

} // namespace mjm
