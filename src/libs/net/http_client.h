#pragma once

#include "core/time_types.h"
#include "net/http_message.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
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
    /// Time after which an answer is overdue, beyond the delay that the server was asked for. Without a value
    /// only a time-out tells that a connection may be dead.
    std::optional<duration> overdue_after = std::nullopt;
    /// Is given the number of idle connections that were closed since a call to their endpoint was overdue.
    /// Runs on the I/O thread.
    std::function<void(std::size_t)> on_suspects_closed = nullptr;
};

/// HTTP/1.1 client with persistent connections. Never repeats a request by itself, except on a reused
/// connection that was closed before any byte of the request had been written. The connection of a call that
/// has failed is reset, so that nothing of the call arrives later.
///
/// A path may lose all its open connections at once without a reset, while new ones work. So a call that is
/// overdue or times out makes the idle connections to its endpoint suspect, and they are closed: the next
/// call opens a new one instead of waiting for the next dead one.
class http_client {
public:
    using callback = std::function<void(tl::expected<http_response, http_errc>)>;

    http_client(io_runtime& runtime, const http_client_settings& settings);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// `done` is invoked once on the I/O thread, also when the client is destroyed first. From `send_until`
    /// on, a time on the clock of the system, no byte of the request is sent; the error is then `expired`.
    /// `answer_delay` is the part of the timeout for which the server may delay its answer on purpose.
    void send(const http_endpoint& endpoint, http_request request, duration timeout, callback done,
              timestamp send_until = timestamp::max(), duration answer_delay = duration{0});

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
