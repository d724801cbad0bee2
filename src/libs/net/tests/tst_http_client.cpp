#include "core/clock.h"
#include "loopback.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <future>
#include <thread>

using namespace mjm;
using boost::asio::buffer;
using boost::asio::ip::tcp;

namespace {

http_request get_request()
{
    http_request request;
    request.method = "GET";
    request.path = "/";
    return request;
}

http_client_settings patient()
{
    http_client_settings s;
    s.connect_timeout = never;
    s.idle_timeout = never;
    return s;
}

struct client_fixture {
    client_fixture() { runtime.start(); }

    io_runtime runtime;
    http_client client{runtime, patient()};
    raw_server server;
};

const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEST_CASE("guards against a connection failure that claims that something was sent")
{
    client_fixture f;
    std::uint16_t closed_port = 0;
    {
        const raw_server gone;
        closed_port = gone.port();
    }
    CHECK(send_async(f.client, closed_port, get_request()).get().error() == http_errc::not_connected);
}

TEST_CASE("guards against a lost connection that claims that nothing was sent")
{
    client_fixture f;
    auto reply = send_async(f.client, f.server.port(), get_request());
    tcp::socket socket = f.server.accept();
    raw_server::read_head(socket);
    socket.close();
    CHECK(reply.get().error() == http_errc::connection_lost);
}

TEST_CASE("guards against an incomplete or malformed response passed on as whole")
{
    client_fixture f;
    const std::string answer =
        GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "HTTP/1.1 200",
                 "garbage\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\nno length");
    CAPTURE(answer);
    auto reply = send_async(f.client, f.server.port(), get_request());
    tcp::socket socket = f.server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(answer));
    socket.close();
    CHECK(reply.get().error() == http_errc::bad_response);
}

TEST_CASE("guards against a time-out after sending reported as if nothing had been sent")
{
    client_fixture f;
    auto first = send_async(f.client, f.server.port(), get_request());
    tcp::socket socket = f.server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(ok));
    REQUIRE(first.get());
    // Long enough that the request is sent before its deadline on a busy machine, too.
    auto second = send_async(f.client, f.server.port(), get_request(), std::chrono::seconds{2});
    raw_server::read_head(socket);
    CHECK(second.get().error() == http_errc::timed_out);
}

TEST_CASE("guards against a new connection for each request, and against use of one closed while idle")
{
    client_fixture f;
    auto first = send_async(f.client, f.server.port(), get_request());
    tcp::socket socket = f.server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(ok));
    CHECK(first.get()->body == "ok");
    auto second = send_async(f.client, f.server.port(), get_request());
    raw_server::read_head(socket); // the same connection
    boost::asio::write(socket, buffer(ok));
    CHECK(second.get()->body == "ok");
    socket.close();
    auto third = send_async(f.client, f.server.port(), get_request());
    tcp::socket next = f.server.accept();
    raw_server::read_head(next);
    boost::asio::write(next, buffer("HTTP/1.1 100 Continue\r\n\r\n" + ok));
    CHECK(third.get()->body == "ok");
}

TEST_CASE("guards against more connections to one address than allowed")
{
    io_runtime runtime;
    runtime.start();
    http_client_settings settings = patient();
    settings.max_connections_per_endpoint = 1;
    http_client client{runtime, settings};
    raw_server server;
    auto first = send_async(client, server.port(), get_request());
    CHECK(send_async(client, server.port(), get_request()).get().error() == http_errc::too_many);
    tcp::socket socket = server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(ok));
    CHECK(first.get().has_value());
}

TEST_CASE("guards against a response over the limit being buffered")
{
    io_runtime runtime;
    runtime.start();
    http_client_settings settings = patient();
    settings.max_response = 4;
    http_client client{runtime, settings};
    raw_server server;
    auto reply = send_async(client, server.port(), get_request());
    tcp::socket socket = server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(std::string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"}));
    CHECK(reply.get().error() == http_errc::bad_response);
}

TEST_CASE("guards against a callback that is lost when the client is destroyed")
{
    io_runtime runtime;
    runtime.start();
    raw_server server;
    std::optional<http_client> client;
    client.emplace(runtime, patient());
    auto reply = send_async(*client, server.port(), get_request());
    tcp::socket socket = server.accept();
    raw_server::read_head(socket);
    client.reset();
    CHECK(reply.get().error() == http_errc::connection_lost);
}

TEST_CASE("guards against answers that cross between concurrent calls")
{
    io_runtime runtime;
    http_server_settings server_settings;
    server_settings.header_timeout = never;
    server_settings.idle_timeout = never;
    http_server server{runtime, server_settings, [](const http_request& request, const auto& respond) {
                           http_response response;
                           response.body = request.query.at("n") + request.body;
                           respond(response);
                       }};
    const std::uint16_t port = server.listen().value();
    http_client client{runtime, patient()};
    runtime.start();
    const std::string big(300'000, 'x');
    std::vector<std::future<tl::expected<http_response, http_errc>>> replies;
    for (int round = 0; round < 20; ++round) {
        replies.clear();
        for (int i = 0; i < 30; ++i) {
            http_request request = get_request();
            request.method = "POST";
            request.query["n"] = std::to_string(i);
            request.body = i == 7 ? big : "b";
            replies.push_back(send_async(client, port, request));
        }
        for (int i = 0; i < 30; ++i) {
            const tl::expected<http_response, http_errc> r = replies[static_cast<std::size_t>(i)].get();
            REQUIRE(r);
            CHECK(r->body == std::to_string(i) + (i == 7 ? big : "b"));
        }
    }
    CHECK(server.open_connections() <= 30);
}

// An orderly close would deliver unsent bytes of the failed call after a partition has healed.
TEST_CASE("guards against a failed call that is closed without a reset")
{
    client_fixture f;
    auto reply = send_async(f.client, f.server.port(), get_request(), std::chrono::milliseconds{50});
    tcp::socket socket = f.server.accept();
    raw_server::read_head(socket);
    CHECK(reply.get().error() == http_errc::timed_out);
    char c = 0;
    boost::system::error_code ec;
    boost::asio::read(socket, buffer(&c, 1), ec);
    CHECK(ec == boost::asio::error::connection_reset);
}

TEST_CASE("guards against calls beyond the limit of connections that are lost instead of waiting")
{
    io_runtime runtime;
    runtime.start();
    http_client_settings settings = patient();
    settings.max_connections_per_endpoint = 1;
    settings.wait_for_connection = true;
    http_client client{runtime, settings};
    raw_server server;
    auto first = send_async(client, server.port(), get_request());
    auto second = send_async(client, server.port(), get_request());
    tcp::socket socket = server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(ok));
    CHECK(first.get());
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(ok));
    CHECK(second.get());
}

TEST_CASE("guards against bytes that are sent after the call's deadline by a thread that was delayed")
{
    // The caller counts a call as failed once its deadline is over, and the permission on which it was made
    // may have run out by then.
    client_fixture f;
    auto warm_up = send_async(f.client, f.server.port(), get_request());
    tcp::socket socket = f.server.accept();
    raw_server::read_head(socket);
    boost::asio::write(socket, buffer(ok));
    REQUIRE(warm_up.get().has_value());

    constexpr std::chrono::milliseconds timeout{20};
    std::promise<void> release;
    boost::asio::post(f.runtime.context(), [released = release.get_future().share()] { released.wait(); });
    std::promise<http_errc> outcome;
    f.client.send({"127.0.0.1", f.server.port()}, get_request(), timeout,
                  [&outcome](const tl::expected<http_response, http_errc>& r) {
                      outcome.set_value(r ? http_errc::bad_response : r.error());
                  });
    std::this_thread::sleep_for(timeout * 2);
    release.set_value();
    CHECK(outcome.get_future().get() == http_errc::not_connected);
    boost::system::error_code ec;
    std::array<char, 1> byte{};
    CHECK(socket.read_some(buffer(byte), ec) == 0);
}

// Guards against an order that is sent after what permitted it has ended.
TEST_CASE("a call that waited beyond its limit for sending is not sent, and says so")
{
    io_runtime runtime;
    runtime.start();
    http_client_settings settings = patient();
    settings.max_connections_per_endpoint = 1;
    settings.wait_for_connection = true;
    http_client client{runtime, settings};
    raw_server server;
    auto first = send_async(client, server.port(), get_request());
    tcp::socket socket = server.accept();
    raw_server::read_head(socket);
    const system_clock_source time;
    const timestamp limit = time.now() + std::chrono::milliseconds{20};
    std::promise<tl::expected<http_response, http_errc>> second;
    client.send(
        {"127.0.0.1", server.port()}, get_request(), never,
        [&second](tl::expected<http_response, http_errc> r) { second.set_value(std::move(r)); }, limit);
    while (time.now() < limit)
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    boost::asio::write(socket, buffer(ok));
    CHECK(first.get());
    const tl::expected<http_response, http_errc> result = second.get_future().get();
    REQUIRE_FALSE(result);
    CHECK(result.error() == http_errc::expired);
    std::array<char, 1> byte{};
    boost::system::error_code ec;
    CHECK(socket.read_some(buffer(byte), ec) == 0);
}

// Guards against calls that wait for one dead connection after the other when all that were open have gone
// silent.
TEST_CASE("guards against waiting for each of several connections that went silent together")
{
    const bool by_timeout = GENERATE(true, false);
    CAPTURE(by_timeout);
    io_runtime runtime;
    runtime.start();
    http_client_settings settings = patient();
    std::promise<std::size_t> closed;
    settings.on_suspects_closed = [&closed](std::size_t n) { closed.set_value(n); };
    if (!by_timeout)
        settings.overdue_after = std::chrono::milliseconds{100};
    http_client client{runtime, settings};
    raw_server server;
    std::vector<std::future<tl::expected<http_response, http_errc>>> calls;
    std::vector<tcp::socket> silent;
    for (int i = 0; i < 3; ++i) {
        calls.push_back(send_async(client, server.port(), get_request()));
        silent.push_back(server.accept());
        raw_server::read_head(silent.back());
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        boost::asio::write(silent[i], buffer(ok));
        REQUIRE(calls[i].get());
    }
    auto unanswered = send_async(client, server.port(), get_request(),
                                 by_timeout ? std::chrono::seconds{1} : duration{never});
    std::future<std::size_t> closed_connections = closed.get_future();
    REQUIRE(closed_connections.wait_for(std::chrono::seconds{30}) == std::future_status::ready);
    CHECK(closed_connections.get() == 2);
    if (by_timeout)
        CHECK(unanswered.get().error() == http_errc::timed_out);
    auto next = send_async(client, server.port(), get_request());
    tcp::socket fresh = server.accept();
    raw_server::read_head(fresh);
    boost::asio::write(fresh, buffer(ok));
    CHECK(next.get()->body == "ok");
}

// Guards against a connection that isn't given up when the time for connecting is over.
TEST_CASE("guards against waiting for a connection beyond its time-out")
{
    io_runtime runtime;
    runtime.start();
    http_client_settings settings = patient();
    settings.connect_timeout = std::chrono::milliseconds{200};
    http_client client{runtime, settings};
    boost::asio::io_context context;
    tcp::acceptor full{context};
    full.open(tcp::v4());
    full.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    full.listen(0); // Has room for one connection that isn't accepted.
    using pending_answer = std::future<tl::expected<http_response, http_errc>>;
    std::vector<pending_answer> calls(4);
    for (pending_answer& call : calls)
        call = send_async(client, full.local_endpoint().port(), get_request());
    const auto gave_up = [](pending_answer& call) {
        return call.wait_for(std::chrono::seconds{30}) == std::future_status::ready &&
               call.get().error() == http_errc::not_connected;
    };
    CHECK(gave_up(calls.back()));
}
