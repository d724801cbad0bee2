#include "http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <chrono>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>

namespace review {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

std::uint16_t bound_port(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

int listen_on(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 256) != 0) {
        close(fd);
        throw std::runtime_error("can't listen on port " + std::to_string(port));
    }
    return fd;
}

std::string percent_decoded(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

request to_request(const http::request<http::string_body>& message)
{
    request out;
    out.method = std::string{message.method_string()};
    const std::string target{message.target()};
    const std::size_t mark = target.find('?');
    out.path = target.substr(0, mark);
    std::string rest = mark == std::string::npos ? std::string{} : target.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string pair = rest.substr(0, end);
        const std::size_t equal = std::min(pair.find('='), pair.size());
        out.query[percent_decoded(pair.substr(0, equal))] =
            equal < pair.size() ? percent_decoded(pair.substr(equal + 1)) : std::string{};
        rest.erase(0, end + 1);
    }
    for (const auto& field : message) {
        std::string name{field.name_string()};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        out.headers[name] = std::string{field.value()};
    }
    out.body = message.body();
    return out;
}

} // namespace

struct server::state {
    std::mutex mutex;
    int listener = -1;
    bool stopped = false;
    std::set<int> connections;

    /// Returns false if the server has been stopped.
    bool add(int fd)
    {
        const std::lock_guard lock{mutex};
        if (stopped)
            return false;
        connections.insert(fd);
        return true;
    }

    void remove(int fd)
    {
        const std::lock_guard lock{mutex};
        connections.erase(fd);
    }
};

namespace {

void serve(tcp::socket& socket, const server::handler& on_request)
{
    boost::beast::flat_buffer buffer;
    while (true) {
        boost::system::error_code ec;
        http::request_parser<http::string_body> parser;
        parser.body_limit(64U << 20U);
        http::read(socket, buffer, parser, ec);
        if (ec)
            return;
        const reply answer = on_request(to_request(parser.get()));
        if (answer.silent) {
            std::array<char, 256> ignored{};
            while (socket.read_some(asio::buffer(ignored), ec) > 0 && !ec) {
            }
            return;
        }
        http::response<http::string_body> out{http::int_to_status(static_cast<unsigned>(answer.status)), 11};
        out.set(http::field::content_type, "application/json");
        out.body() = answer.body;
        out.prepare_payload();
        http::write(socket, out, ec);
        if (ec)
            return;
    }
}

} // namespace

server::server(handler h) : handler_{std::move(h)} {}

server::~server()
{
    stop();
}

void server::start()
{
    state_ = std::make_shared<state>();
    state_->listener = listen_on(port_);
    port_ = bound_port(state_->listener);
    std::thread{[s = state_, on_request = handler_] {
        while (true) {
            const int fd = accept4(s->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                return;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            if (!s->add(fd)) {
                close(fd);
                return;
            }
            std::thread{[s, fd, on_request] {
                asio::io_context context;
                tcp::socket socket{context, tcp::v4(), fd};
                serve(socket, on_request);
                s->remove(fd);
            }}.detach();
        }
    }}.detach();
}

void server::stop()
{
    if (!state_)
        return;
    const std::lock_guard lock{state_->mutex};
    if (state_->stopped)
        return;
    state_->stopped = true;
    shutdown(state_->listener, SHUT_RDWR);
    close(state_->listener);
    for (const int fd : state_->connections) {
        const linger reset{1, 0};
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(fd, SHUT_RDWR);
    }
}

std::uint16_t free_port()
{
    const int fd = listen_on(0);
    const std::uint16_t port = bound_port(fd);
    close(fd);
    return port;
}

std::optional<reply> call(std::uint16_t port, const std::string& method, const std::string& path,
                          const std::map<std::string, std::string>& headers, const std::string& body,
                          int timeout_ms)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    std::string text = method + " " + path + " HTTP/1.1\r\ncontent-type: application/json\r\n" +
                       "connection: close\r\ncontent-length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "\r\n" + body;
    std::string received;
    bool ended = false;
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size())) {
        while (!ended) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                deadline - std::chrono::steady_clock::now());
            pollfd waited{fd, POLLIN, 0};
            if (left.count() <= 0 || poll(&waited, 1, static_cast<int>(left.count())) <= 0)
                break;
            std::array<char, 4096> part{};
            const ssize_t n = recv(fd, part.data(), part.size(), 0);
            ended = n <= 0;
            if (n > 0)
                received.append(part.data(), static_cast<std::size_t>(n));
        }
    }
    close(fd);
    const std::size_t head_end = received.find("\r\n\r\n");
    if (!ended || head_end == std::string::npos || received.size() < 12)
        return std::nullopt;
    return reply{std::stoi(received.substr(9, 3)), received.substr(head_end + 4), false};
}

} // namespace review
