#include "loopback.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <vector>

using namespace mjm;

namespace {

/// Collects requests so that the test answers them in an order of its choice.
class held_requests {
public:
    void add(http_request request, http_server::responder respond)
    {
        {
            const std::lock_guard lock{mutex_};
            items_.emplace_back(std::move(request), std::move(respond));
        }
        added_.notify_all();
    }
    void wait_for(std::size_t n)
    {
        std::unique_lock lock{mutex_};
        added_.wait(lock, [&] { return items_.size() >= n; });
    }
    std::size_t size()
    {
        const std::lock_guard lock{mutex_};
        return items_.size();
    }
    http_request request(std::size_t i)
    {
        const std::lock_guard lock{mutex_};
        return items_.at(i).first;
    }
    void answer(std::size_t i, const std::string& body)
    {
        http_server::responder respond;
        {
            const std::lock_guard lock{mutex_};
            respond = items_.at(i).second;
        }
        http_response response;
        response.body = body;
        respond(response);
    }

private:
    std::mutex mutex_;
    std::condition_variable added_;
    std::vector<std::pair<http_request, http_server::responder>> items_;
};

http_server_settings patient()
{
    http_server_settings s;
    s.header_timeout = never;
    s.idle_timeout = never;
    return s;
}

struct server_fixture {
    explicit server_fixture(const http_server_settings& settings = patient())
        : server{runtime, settings, [this](http_request request, http_server::responder respond) {
                     if (request.path == "/held") {
                         held.add(std::move(request), std::move(respond));
                         return;
                     }
                     ++handled;
                     http_response response;
                     response.status = request.path == "/drop" ? 0 : 200;
                     response.body = request.method + " " + request.path + " " + request.body;
                     respond(std::move(response));
                 }}
    {
        port = server.listen().value();
        runtime.start();
    }

    io_runtime runtime;
    held_requests held;
    std::atomic<int> handled{0};
    http_server server;
    std::uint16_t port = 0;
};

const std::string end = "Host: x\r\nConnection: close\r\n\r\n";

std::string body_of(const std::string& answer)
{
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

} // namespace

TEST_CASE("guards against a wrong answer to chunked bodies and against a lost keep-alive")
{
    server_fixture f;
    raw_client client{f.port};
    client.send("POST /a%20b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
    client.send("GET /second HTTP/1.1\r\n" + end);
    const std::string answers = client.read_to_end();
    CHECK(answers.find("POST /a b abcdefg") != std::string::npos);
    CHECK(answers.ends_with("GET /second "));
    CHECK(f.handled == 2);
}

TEST_CASE("guards against pipelined answers in another order than their requests")
{
    server_fixture f;
    raw_client client{f.port};
    client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\nGET /held HTTP/1.1\r\nHost: x\r\n\r\n"
                "GET /held HTTP/1.1\r\n" +
                end);
    f.held.wait_for(3);
    f.held.answer(2, "third");
    f.held.answer(1, "second");
    f.held.answer(0, "first");
    const std::string answers = client.read_to_end();
    CHECK(answers.find("first") < answers.find("second"));
    CHECK(answers.find("second") < answers.find("third"));
    CHECK(answers.ends_with("third"));
}

TEST_CASE("guards against unbounded pipelining")
{
    http_server_settings settings = patient();
    settings.max_pipelined = 2;
    server_fixture f{settings};
    raw_client client{f.port};
    for (int i = 0; i < 4; ++i)
        client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
    f.held.wait_for(2);
    // An exchange on another connection shows that the I/O thread has had its turn meanwhile.
    raw_client other{f.port};
    other.send("GET /x HTTP/1.1\r\n" + end);
    (void)other.read_to_end();
    CHECK(f.held.size() == 2);
    f.held.answer(0, "a");
    f.held.wait_for(3);
    f.held.answer(1, "b");
    f.held.wait_for(4);
    f.held.answer(2, "c");
    f.held.answer(3, "d");
    client.end_input();
    CHECK(client.read_to_end().ends_with("d"));
}

TEST_CASE("guards against an invalid request that is untyped or reaches the handler")
{
    http_server_settings settings = patient();
    settings.max_body = 100;
    settings.max_header = 500;
    server_fixture f{settings};
    const auto [input, status, code] = GENERATE(table<std::string, std::string, std::string>({
        {"nonsense\r\n\r\n", "400", "malformed_request"},
        {"GET / HTTP/3.7\r\n\r\n", "400", "malformed_request"},
        {"GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n", "400", "bad_target"},
        {"GET / HTTP/1.1\r\n\r\n", "400", "missing_host"},
        {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", "413", "body_too_large"},
        {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + std::string(255, 'x') +
             "\r\n0\r\n\r\n",
         "413", "body_too_large"},
        {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400",
         "malformed_request"},
        {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\n", "501",
         "unsupported_transfer_encoding"},
        {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400",
         "malformed_request"},
        {"GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(600, 'a') + "\r\n\r\n", "431", "header_too_large"},
        {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc", "400", "incomplete_request"},
    }));
    CAPTURE(input);
    raw_client client{f.port};
    client.send(input);
    client.end_input();
    const std::string answer = client.read_to_end();
    CHECK(answer.starts_with("HTTP/1.1 " + status + " "));
    CHECK(body_of(answer).find("\"code\": \"" + code + "\"") != std::string::npos);
    CHECK(f.handled == 0);
}

TEST_CASE("guards against a slow client holding its connection")
{
    http_server_settings settings = patient();
    settings.header_timeout = std::chrono::milliseconds{1};
    server_fixture f{settings};
    raw_client client{f.port};
    client.send("GET / HTTP/1.1\r\nHo");
    CHECK(client.read_to_end().starts_with("HTTP/1.1 408 "));
    CHECK(f.handled == 0);
}

TEST_CASE("guards against the idle time ending a connection whose request is still being answered")
{
    http_server_settings settings = patient();
    settings.idle_timeout = std::chrono::milliseconds{1};
    server_fixture f{settings};
    raw_client idle{f.port};
    idle.send("GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
    raw_client busy{f.port};
    busy.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
    f.held.wait_for(1);
    CHECK(idle.read_to_end().ends_with("GET /x "));
    f.held.answer(0, "late");
    CHECK(busy.read_to_end().ends_with("late"));
}

TEST_CASE("guards against clients above the limit of connections being served or left hanging")
{
    http_server_settings settings = patient();
    settings.max_connections = 1;
    server_fixture f{settings};
    raw_client first{f.port};
    first.send("GET /held HTTP/1.1\r\n" + end);
    f.held.wait_for(1);
    raw_client second{f.port};
    CHECK(second.read_to_end().find("too_many_connections") != std::string::npos);
    f.held.answer(0, "served");
    CHECK(first.read_to_end().ends_with("served"));
}

TEST_CASE("guards against a drain that drops accepted pipelined requests or keeps connections")
{
    server_fixture f;
    raw_client client{f.port};
    client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\nGET /held HTTP/1.1\r\nHost: x\r\n\r\n");
    f.held.wait_for(2);
    f.server.drain();
    f.held.answer(0, "one");
    f.held.answer(1, "two");
    const std::string answers = client.read_to_end();
    CHECK(answers.find("one") != std::string::npos);
    CHECK(answers.ends_with("two"));
    CHECK(answers.find("connection: close") > answers.find("one"));
}

TEST_CASE("guards against an answer after the client has gone or the server has stopped")
{
    server_fixture f;
    {
        raw_client client{f.port};
        client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
        f.held.wait_for(1);
    }
    f.held.answer(0, "to nobody");
    f.held.answer(0, "twice");
    raw_client client{f.port};
    client.send("GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
    f.held.wait_for(2);
    f.server.stop();
    f.held.answer(1, "too late");
    CHECK(client.read_to_end().empty());
}

TEST_CASE("guards against a client that waits for 100 Continue for ever")
{
    server_fixture f;
    raw_client client{f.port};
    client.send("POST /p HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n" + end);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    CHECK(client.read_bytes(interim.size()) == interim);
    client.send("ok");
    CHECK(client.read_to_end().ends_with("POST /p ok"));
}

TEST_CASE("guards against listening twice on a port or on a bad address without an error")
{
    server_fixture f;
    http_server_settings settings = patient();
    settings.port = f.port;
    http_server same_port{f.runtime, settings, [](const http_request&, const http_server::responder&) {}};
    CHECK(same_port.listen().error() == listen_errc::address_in_use);
    settings.address = "nowhere";
    http_server bad_address{f.runtime, settings, [](const http_request&, const http_server::responder&) {}};
    CHECK(bad_address.listen().error() == listen_errc::bad_address);
}

TEST_CASE("guards against a partial answer when the handler drops the connection")
{
    server_fixture f;
    raw_client client{f.port};
    client.send("GET /drop HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(client.read_to_end().empty());
}
