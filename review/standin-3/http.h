#pragma once

// Small blocking HTTP/1.1 server and client for the stand-ins of the third review.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

struct http_request {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body = "{}";
};

/// Returns no value to close the connection without an answer.
using http_handler = std::function<std::optional<http_response>(const http_request&)>;

/// Serves each connection on a thread of its own, on a free port of the loopback interface.
class http_server {
public:
    explicit http_server(http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }

private:
    void accept_connections();
    void serve(int fd);

    const http_handler handler_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::set<int> open_;
    std::thread thread_;
};

/// Opens a listening socket on a free port of the loopback interface.
int listen_on_loopback(std::uint16_t& port);
/// Returns -1 if nothing listens there.
int connect_to_loopback(std::uint16_t port);
bool send_all(int fd, const std::string& data);

/// Sends one request on a connection of its own. Returns no value without a whole answer in time.
std::optional<http_response> call(std::uint16_t port, const std::string& method, const std::string& path,
                                  const std::map<std::string, std::string>& headers, const std::string& body,
                                  int timeout_ms);

} // namespace review
