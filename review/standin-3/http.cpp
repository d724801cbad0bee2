#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cctype>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(port);
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string decode_url(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            out += text[i] == '+' ? ' ' : text[i];
        }
    }
    return out;
}

/// Reads from `fd` until `buffer` holds a whole head; returns its length with the empty line, or 0.
std::size_t read_head(int fd, std::string& buffer)
{
    std::array<char, 16384> chunk{};
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos)
            return end + 4;
        const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
        if (n <= 0)
            return 0;
        buffer.append(chunk.data(), static_cast<std::size_t>(n));
    }
}

bool read_until(int fd, std::string& buffer, std::size_t size)
{
    std::array<char, 16384> chunk{};
    while (buffer.size() < size) {
        const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
        if (n <= 0)
            return false;
        buffer.append(chunk.data(), static_cast<std::size_t>(n));
    }
    return true;
}

std::map<std::string, std::string> parse_headers(const std::string& head)
{
    std::map<std::string, std::string> out;
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        const std::size_t begin = at + 2;
        at = head.find("\r\n", begin);
        const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        out[lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    return out;
}

std::size_t body_size(const std::map<std::string, std::string>& headers)
{
    const auto it = headers.find("content-length");
    return it == headers.end() ? 0 : static_cast<std::size_t>(std::strtoull(it->second.c_str(), nullptr, 10));
}

void parse_target(const std::string& target, http_request& out)
{
    const std::size_t mark = target.find('?');
    out.path = decode_url(target.substr(0, mark));
    std::size_t begin = mark;
    while (begin != std::string::npos) {
        const std::size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end == std::string::npos ? end : end - begin - 1);
        const std::size_t equals = pair.find('=');
        if (equals != std::string::npos)
            out.query[decode_url(pair.substr(0, equals))] = decode_url(pair.substr(equals + 1));
        begin = end;
    }
}

void set_no_delay(int fd)
{
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

int listen_on_loopback(std::uint16_t& port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd, 1024) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        std::_Exit(2);
    port = ntohs(address.sin_port);
    return fd;
}

int connect_to_loopback(std::uint16_t port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    sockaddr_in address = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(fd);
        return -1;
    }
    set_no_delay(fd);
    return fd;
}

bool send_all(int fd, const std::string& data)
{
    std::size_t sent = 0;
    while (sent < data.size()) {
        const ssize_t n = send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

http_server::http_server(http_handler handler) : handler_{std::move(handler)}
{
    listener_ = listen_on_loopback(port_);
    thread_ = std::thread{[this] { accept_connections(); }};
}

http_server::~http_server()
{
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    while (true) {
        {
            const std::lock_guard lock{mutex_};
            if (open_.empty())
                return;
            for (const int fd : open_)
                shutdown(fd, SHUT_RDWR);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
}

void http_server::accept_connections()
{
    while (!stopping_) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        set_no_delay(fd);
        {
            const std::lock_guard lock{mutex_};
            open_.insert(fd);
        }
        std::thread{[this, fd] { serve(fd); }}.detach();
    }
}

void http_server::serve(int fd)
{
    std::string buffer;
    while (!stopping_) {
        const std::size_t head_size = read_head(fd, buffer);
        if (head_size == 0)
            break;
        const std::string head = buffer.substr(0, head_size - 2);
        http_request request;
        request.headers = parse_headers(head);
        const std::size_t first = head.find(' ');
        const std::size_t second = head.find(' ', first + 1);
        request.method = head.substr(0, first);
        parse_target(head.substr(first + 1, second - first - 1), request);
        const std::size_t size = head_size + body_size(request.headers);
        if (!read_until(fd, buffer, size))
            break;
        request.body = buffer.substr(head_size, size - head_size);
        buffer.erase(0, size);
        const std::optional<http_response> response = handler_(request);
        if (!response ||
            !send_all(fd, "HTTP/1.1 " + std::to_string(response->status) +
                              " Status\r\ncontent-type: application/json\r\ncontent-length: " +
                              std::to_string(response->body.size()) + "\r\n\r\n" + response->body))
            break;
    }
    const std::lock_guard lock{mutex_};
    open_.erase(fd);
    close(fd);
}

std::optional<http_response> call(std::uint16_t port, const std::string& method, const std::string& path,
                                  const std::map<std::string, std::string>& headers, const std::string& body,
                                  int timeout_ms)
{
    const int fd = connect_to_loopback(port);
    if (fd < 0)
        return std::nullopt;
    const std::int64_t left_ms = timeout_ms % 1000;
    timeval limit{timeout_ms / 1000, left_ms * 1000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    text += "content-type: application/json\r\ncontent-length: " + std::to_string(body.size()) + "\r\n\r\n";
    std::optional<http_response> out;
    std::string buffer;
    if (send_all(fd, text + body)) {
        const std::size_t head_size = read_head(fd, buffer);
        const std::size_t size =
            head_size == 0 ? 0 : head_size + body_size(parse_headers(buffer.substr(0, head_size - 2)));
        if (head_size > 12 && read_until(fd, buffer, size))
            out = http_response{std::atoi(buffer.c_str() + 9), buffer.substr(head_size, size - head_size)};
    }
    close(fd);
    return out;
}

} // namespace review
