#pragma once

#include "core/time_types.h"
#include "net/connection_admission.h"
#include "net/http_message.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace mjm {

class io_runtime;

enum class listen_errc { bad_address, address_in_use, other };

struct http_server_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0 picks a free port.
    std::size_t max_body = 1 << 20;
    std::size_t max_header = 16 << 10;
    std::size_t max_fields = 128;       ///< Header fields of a request; query parameters alike.
    std::size_t max_connections = 2000; ///< Beyond it, a new connection displaces another one.
    std::size_t max_held_bytes =
        256 << 20;                         ///< Held for all requests and answers; see `connection_admission`.
    std::size_t receive_buffer = 64 << 10; ///< Of the operating system, for each connection.
    std::size_t send_buffer = 32 << 10;    ///< The same; holds answers that a client has not read.
    std::size_t max_pipelined = 16;        ///< Requests of one connection answered at once.
    duration header_timeout{std::chrono::seconds{10}}; ///< For a whole request, against slow clients.
    duration idle_timeout{std::chrono::seconds{60}};   ///< Between requests, and to read an answer.
    /// Called on the I/O thread for each refusal and closure; may be empty.
    std::function<void(refusal_reason)> on_refusal;
};

/// HTTP/1.1 server. Malformed, oversized and too slow requests are answered by the server itself with a
/// typed JSON error `{"error": {"code": ..., "detail": ...}}` and never reach the handler.
class http_server {
public:
    /// Answers the request; may be called once, from any thread, now or later.
    using responder = std::function<void(http_response)>;
    /// Called on the I/O thread; must not block. `closed` becomes true when the client has gone.
    using handler = std::function<void(http_request request, responder respond)>;

    http_server(io_runtime& runtime, const http_server_settings& settings, handler on_request);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Starts to listen; returns the port.
    [[nodiscard]] tl::expected<std::uint16_t, listen_errc> listen();
    /// Takes no new connections; open ones get `connection: close` with their next answer.
    void drain();
    /// Closes everything.
    void stop();
    [[nodiscard]] std::size_t open_connections() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
