#pragma once

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <future>
#include <string>
#include <string_view>

namespace mjm {

// Long enough never to be reached in a test that passes.
constexpr std::chrono::minutes never{10};

/// Blocking socket that sends raw bytes.
class raw_client {
public:
    explicit raw_client(std::uint16_t port)
    {
        socket_.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    }

    void send(std::string_view bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    void end_input() { socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send); }
    std::string read_to_end()
    {
        std::string out;
        boost::system::error_code ec;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(out), ec);
        return out;
    }
    std::string read_bytes(std::size_t n)
    {
        std::string out(n, '\0');
        boost::asio::read(socket_, boost::asio::buffer(out));
        return out;
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
};

/// Server that accepts one connection at a time and answers with raw bytes.
class raw_server {
public:
    raw_server() : acceptor_{context_, {boost::asio::ip::make_address("127.0.0.1"), 0}} {}

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    boost::asio::ip::tcp::socket accept() { return acceptor_.accept(); }
    /// Reads until the end of a request header.
    static void read_head(boost::asio::ip::tcp::socket& socket)
    {
        std::string head;
        char c = 0;
        while (!head.ends_with("\r\n\r\n")) {
            boost::asio::read(socket, boost::asio::buffer(&c, 1));
            head += c;
        }
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

inline std::future<tl::expected<http_response, http_errc>>
send_async(http_client& client, std::uint16_t port, http_request request, duration timeout = never)
{
    const auto promise = std::make_shared<std::promise<tl::expected<http_response, http_errc>>>();
    client.send({"127.0.0.1", port}, std::move(request), timeout,
                [promise](tl::expected<http_response, http_errc> r) { promise->set_value(std::move(r)); });
    return promise->get_future();
}

} // namespace mjm
