#pragma once

#include "core/time_types.h"
#include "net/http_message.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mjm {

class io_runtime;

enum class http_errc {
    not_connected,   ///< Nothing was sent.
    connection_lost, ///< Broke after the request had been sent at least in part.
    timed_out,
    bad_response, ///< Not a whole HTTP response.
    too_many,     ///< The limit of connections to this address is reached; nothing was sent.
    expired,      ///< The request was not to be sent any more when its turn came; nothing was sent.
};

struct http_endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const http_endpoint&, const http_endpoint&) = default;
};

struct http_client_settings {
    std::size_t max_connections_per_endpoint = 64;
    std::size_t max_response = 64 << 20;
    duration connect_timeout{std::chrono::seconds{1}};
    duration idle_timeout{std::chrono::seconds{30}}; ///< An unused connection is closed after this.
    /// Calls beyond the limit of connections wait for a free one instead of failing with `too_many`.
    bool wait_for_connection = false;
    /// Bytes read at a time, at least. Other connections get their turn after each.
    std::size_t read_size = 4 << 10;
};

/// HTTP/1.1 client with persistent connections. Never repeats a request by itself, except on a reused
/// connection that was closed before any byte of the request had been written. The connection of a call that
/// has failed is reset, so that nothing of the call arrives later.
class http_client {
public:
    using callback = std::function<void(tl::expected<http_response, http_errc>)>;

    http_client(io_runtime& runtime, const http_client_settings& settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// `done` is invoked once on the I/O thread, also when the client is destroyed first. From `send_until`
    /// on, a time on the clock of the system, no byte of the request is sent; the error is then `expired`.
    void send(const http_endpoint& endpoint, http_request request, duration timeout, callback done,
              timestamp send_until = timestamp::max());

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
