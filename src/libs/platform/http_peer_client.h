#pragma once

#include "core/executor.h"
#include "net/http_client.h"
#include "platform/peer_client.h"

namespace mjm {

struct http_peer_client_settings {
    duration control_timeout{std::chrono::seconds{2}};
    /// For a forwarded request, which is answered when its work has ended.
    duration forward_timeout{std::chrono::minutes{5}};
};

/// Calls to other entry hosts over HTTP with CBOR bodies. Callbacks run on `callbacks`, which must
/// outlive the client's `io_runtime`.
class http_peer_client final : public peer_client {
public:
    http_peer_client(http_client& client, executor& callbacks, const http_peer_client_settings& settings);

    void forward(const peer_endpoint& peer, const forwarded_request& message, outcome_callback done) override;
    void cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request,
                outcome_callback done) override;
    void exchange_status(const peer_endpoint& peer, const std::string& message,
                         message_callback done) override;

private:
    template <typename Value, typename Decode>
    void call(const peer_endpoint& peer, std::string_view path, std::string body, duration timeout,
              std::function<void(tl::expected<Value, peer_errc>)> done, Decode decode);

    http_client& client_;
    executor& callbacks_;
    const http_peer_client_settings settings_;
};

} // namespace mjm
