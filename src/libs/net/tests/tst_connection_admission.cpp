#include "net/connection_admission.h"

#include "loopback.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace mjm;

namespace {

using ids = std::vector<connection_admission::connection_id>;

/// Opens connections 0 to n - 1; each has begun a request and holds `bytes`.
void open_receiving(connection_admission& a, std::size_t n, std::size_t bytes)
{
    for (std::size_t id = 0; id < n; ++id) {
        REQUIRE(a.open(id).admitted);
        a.set_phase(id, connection_phase::receiving);
        REQUIRE(a.hold(id, bytes).admitted);
    }
}

} // namespace

TEST_CASE("guards against a full listener that turns ordinary clients away for stalled ones")
{
    connection_admission a{{3, 1000}};
    open_receiving(a, 3, 10);
    a.set_phase(0, connection_phase::handling);
    a.set_phase(1, connection_phase::idle);
    CHECK(a.open(3).displaced == ids{2}); // unfinished
    CHECK(a.open(4).displaced == ids{1}); // idle for longest
    a.set_phase(3, connection_phase::handling);
    a.set_phase(4, connection_phase::handling);
    CHECK_FALSE(a.open(5).admitted);
    CHECK(a.connections() == 3);
}

TEST_CASE("guards against unfinished requests that hold more memory than allowed")
{
    connection_admission a{{10, 100}};
    open_receiving(a, 3, 30);
    const connection_admission::decision d = a.hold(2, 60);
    CHECK(d.admitted);
    CHECK(d.displaced == ids{0});
    CHECK(a.bytes() == 90);
    // Nothing is closed for a request that doesn't fit even so.
    const connection_admission::decision refused = a.hold(2, 101);
    CHECK_FALSE(refused.admitted);
    CHECK(refused.displaced.empty());
    CHECK(a.bytes() == 90);
}

TEST_CASE("guards against a request that was passed on being forgotten or displaced")
{
    connection_admission a{{10, 100}};
    open_receiving(a, 1, 80);
    CHECK(a.pass_on(0, 90) == 80);
    a.set_phase(0, connection_phase::handling);
    REQUIRE(a.open(1).admitted);
    CHECK_FALSE(a.hold(1, 30).admitted);
    a.close(0);
    CHECK_FALSE(a.hold(1, 30).admitted);
    a.release_passed_on(80);
    CHECK(a.hold(1, 30).admitted);
}

TEST_CASE("guards against bytes that are lost from the books")
{
    seeded_random random{7};
    connection_admission a{{20, 1000}};
    std::size_t passed_on = 0;
    for (connection_admission::connection_id id = 0; id < 2000; ++id) {
        static_cast<void>(a.open(id));
        const std::size_t bytes = random.below(300);
        a.set_phase(id, static_cast<connection_phase>(random.below(4)));
        if (a.hold(id, bytes).admitted && random.below(10) == 0) {
            passed_on += a.pass_on(id, bytes);
        }
        if (random.below(4) == 0) {
            a.release_passed_on(passed_on);
            passed_on = 0;
        }
        a.close(random.below(id + 1));
        REQUIRE(a.connections() <= 20);
        REQUIRE(a.bytes() <= 1000);
    }
    for (connection_admission::connection_id id = 0; id < 2000; ++id)
        a.close(id);
    CHECK(a.bytes() == passed_on);
}

TEST_CASE("guards against parsers that fail on damaged headers and chunks")
{
    seeded_random random{11};
    io_runtime runtime;
    http_server_settings settings;
    settings.max_body = 256;
    http_server server{runtime, settings,
                       [](const http_request& request, const http_server::responder& respond) {
                           http_response response;
                           response.body = request.body;
                           respond(response);
                       }};
    const std::uint16_t port = server.listen().value();
    runtime.start();
    const std::string request =
        "POST /a?b=c&d HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: t\r\n\r\n"
        "5;e=\"f\"\r\n12345\r\n0\r\nt: v\r\n\r\n";
    for (int i = 0; i < 200; ++i) {
        std::string damaged = request;
        for (std::uint64_t n = random.below(4); n > 0; --n)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        raw_client client{port};
        client.send(damaged.substr(0, random.below(damaged.size() + 1)));
        client.end_input();
        const std::string answer = client.read_to_end();
        REQUIRE((answer.empty() || answer.starts_with("HTTP/1.")));
    }
    raw_client client{port};
    client.send(request);
    client.end_input();
    CHECK(client.read_to_end().ends_with("12345"));
}

TEST_CASE("guards against requests with many short fields")
{
    io_runtime runtime;
    http_server server{
        runtime, {}, [](const http_request&, const http_server::responder& respond) { respond({}); }};
    const std::uint16_t port = server.listen().value();
    runtime.start();
    std::string fields;
    std::string parameters;
    for (int i = 0; i < 1000; ++i) {
        fields += "a:\r\n";
        parameters += "&a";
    }
    for (const std::string& request : {"GET / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n",
                                       "GET /?a" + parameters + " HTTP/1.1\r\nHost: x\r\n\r\n"}) {
        raw_client client{port};
        client.send(request);
        CHECK(client.read_to_end().starts_with("HTTP/1.1 431 "));
    }
}
