#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace review {

struct request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct reply {
    int status = 200;
    std::string body = "{}";
    bool silent = false; ///< Nothing more is sent on the connection.
};

/// HTTP/1.1 server on a loopback port with one thread per connection.
class server {
public:
    using handler = std::function<reply(const request&)>;

    /// Port 0 selects a free port, which later starts use again.
    explicit server(handler h);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void start();
    /// Closes the listener and resets all connections.
    void stop();
    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    struct state;
    handler handler_;
    std::uint16_t port_ = 0;
    std::shared_ptr<state> state_;
};

/// Returns a loopback port that no process listens on at present.
std::uint16_t free_port();

/// Sends one request on a new connection; no value if no complete answer has arrived in time.
std::optional<reply> call(std::uint16_t port, const std::string& method, const std::string& path,
                          const std::map<std::string, std::string>& headers, const std::string& body,
                          int timeout_ms);

} // namespace review
