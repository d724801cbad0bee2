#include "manual_executor.h"
#include "net/http_server.h"
#include "net/io_runtime.h"
#include "platform/error_body.h"
#include "platform/http_peer_client.h"
#include "platform/peer_codec.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace mjm;

namespace {

// Long enough never to be reached in a test that passes.
constexpr std::chrono::minutes never{10};

/// A peer whose answer to each call the test decides.
struct peer_fixture {
    peer_fixture()
        : server{runtime, {}, [this](const http_request& request, const http_server::responder& respond) {
                     seen = request;
                     respond(answer(request));
                 }}
    {
        peer = {host_id{"h2"}, "127.0.0.1", server.listen().value()};
        runtime.start();
    }

    tl::expected<outcome, peer_errc> forward()
    {
        std::optional<tl::expected<outcome, peer_errc>> result;
        forwarded_request message;
        message.shard = shard;
        message.work.id = request_id{"r1"};
        message.work.body = "work";
        client.forward(peer, message, [&result](const auto& r) { result = r; });
        callbacks.run_until([&result] { return result.has_value(); });
        return *result;
    }
    static http_response outcome_response(const std::string& id)
    {
        http_response response;
        response.body = encode_outcome(request_id{id}, {outcome_kind::completed, reason::none, {}, "done"});
        return response;
    }

    const shard_id shard{service_id{"s"}, zone_id{"z"}};
    manual_executor callbacks;
    io_runtime runtime;
    std::function<http_response(const http_request&)> answer;
    http_request seen;
    http_server server;
    http_client http{runtime, {64, 64 << 20, never, never}};
    http_peer_client client{http, callbacks, {never, never}};
    peer_endpoint peer;
};

} // namespace

TEST_CASE("guards against a forwarded request or its outcome changing on the way")
{
    peer_fixture f;
    f.answer = [](const http_request& request) {
        const forwarded_request m = decode_forwarded_request(request.body).value();
        http_response response;
        response.body = encode_outcome(m.work.id, {outcome_kind::completed, reason::none, {}, m.work.body});
        return response;
    };
    CHECK(f.forward()->body == "work");
    CHECK(f.seen.method == "POST");
    CHECK(f.seen.path == peer_forward_path);
    CHECK(f.seen.header(peer_to_header) == "h2");
}

TEST_CASE("guards against a crossed or damaged outcome passed on")
{
    peer_fixture f;
    f.answer = [](const http_request&) { return peer_fixture::outcome_response("r2"); };
    CHECK(f.forward().error() == peer_errc::bad_response);
    f.answer = [](const http_request&) {
        http_response response = peer_fixture::outcome_response("r1");
        response.body.pop_back();
        return response;
    };
    CHECK(f.forward().error() == peer_errc::bad_response);
}

TEST_CASE("guards against peer failures that claim too little or too much about the call's effect")
{
    peer_fixture f;
    f.answer = [](const http_request&) { return error_response(503, "refused"); };
    CHECK(f.forward().error() == peer_errc::refused);
    f.answer = [](const http_request&) { return error_response(421, "wrong_host"); };
    CHECK(f.forward().error() == peer_errc::not_connected);
    f.answer = [](const http_request&) { return error_response(500, "internal_error"); };
    CHECK(f.forward().error() == peer_errc::bad_response);
    f.answer = [](const http_request&) { return http_response{0, {}, {}, {}}; };
    CHECK(f.forward().error() == peer_errc::connection_lost);
}

TEST_CASE("guards against cancel and status messages going to the wrong place")
{
    peer_fixture f;
    f.answer = [](const http_request& request) {
        if (request.path == peer_cancel_path)
            return peer_fixture::outcome_response(decode_cancel(request.body)->request.str());
        http_response response;
        response.body = "re:" + request.body;
        return response;
    };
    std::optional<tl::expected<outcome, peer_errc>> cancelled;
    f.client.cancel(f.peer, f.shard, request_id{"r7"}, [&](const auto& r) { cancelled = r; });
    std::optional<tl::expected<std::string, peer_errc>> status;
    f.client.exchange_status(f.peer, "hello", [&](const auto& r) { status = r; });
    f.callbacks.run_until([&] { return cancelled.has_value() && status.has_value(); });
    CHECK(cancelled->value().body == "done");
    CHECK(status->value() == "re:hello");
}
