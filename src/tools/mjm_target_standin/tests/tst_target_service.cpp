#include "manual_executor.h"
#include "net/io_runtime.h"
#include "platform/http_target_client.h"
#include "target_service.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>

using namespace mjm;
using nlohmann::json;

namespace {

// Long enough never to be reached in a test that passes.
constexpr std::chrono::minutes never{10};

struct service_fixture {
    service_fixture() : service{runtime, {target_id{"t1"}, "127.0.0.1", 0, {}, 1}}
    {
        endpoint = {target_id{"t1"}, "127.0.0.1", service.listen().value()};
        runtime.start();
    }

    template <typename Value, typename Call>
    tl::expected<Value, target_errc> wait(Call call)
    {
        std::optional<tl::expected<Value, target_errc>> result;
        call([&result](const tl::expected<Value, target_errc>& r) { result = r; });
        callbacks.run_until([&result] { return result.has_value(); });
        return *result;
    }
    tl::expected<lease_grant, target_errc> open(lease_token& token)
    {
        const target_challenge c =
            wait<target_challenge>([&](auto done) { targets.challenge(endpoint, done); }).value();
        token.boot_id = c.boot_id;
        return wait<lease_grant>([&](auto done) {
            targets.open_lease(endpoint, token, c.challenge, std::chrono::hours{1}, done);
        });
    }
    lease_token opened(shard_epoch epoch = 1)
    {
        lease_token token{{service_id{"s"}, zone_id{"z"}}, 1, epoch, {}};
        REQUIRE(open(token));
        return token;
    }
    tl::expected<task_result, target_errc> start(const lease_token& token, const std::string& task,
                                                 const json& body)
    {
        return wait<task_result>([&](auto done) { targets.start(endpoint, token, order(task, body), done); });
    }
    static start_order order(const std::string& task, const json& body)
    {
        return {task_id{task}, request_id{"req-" + task}, team_id{"a"}, service_id{"s"}, {}, body.dump()};
    }
    json admin(const std::string& method, const std::string& path, const json& body = {})
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body.is_null() ? "" : body.dump();
        std::optional<tl::expected<http_response, http_errc>> reply;
        client.send({"127.0.0.1", endpoint.port}, request, never,
                    [&](const auto& r) { callbacks.post([&reply, r] { reply = r; }); });
        callbacks.run_until([&reply] { return reply.has_value(); });
        return json::parse(reply->value().body);
    }

    manual_executor callbacks;
    io_runtime runtime;
    http_client client{runtime, {64, 64 << 20, never, never}};
    http_target_client targets{client, callbacks, {"h1", never, never}};
    target_service service;
    target_endpoint endpoint;
};

} // namespace

TEST_CASE("guards against a result that is not the one of the request, and a failure told as success")
{
    service_fixture f;
    const lease_token token = f.opened();
    const task_result ok = f.start(token, "a", {{"run_ms", 0}, {"echo", "unique-1"}}).value();
    CHECK(ok.succeeded);
    CHECK(json::parse(ok.body).at("echo") == "unique-1");
    CHECK(json::parse(ok.body).at("request") == "req-a");
    CHECK_FALSE(f.start(token, "b", {{"run_ms", 0}, {"fail", true}})->succeeded);
    CHECK(f.wait<task_result>([&](auto done) { f.targets.fetch(f.endpoint, task_id{"a"}, done); })->body ==
          ok.body);
    CHECK(f.wait<task_result>([&](auto done) { f.targets.fetch(f.endpoint, task_id{"c"}, done); }).error() ==
          target_errc::unknown_task);
}

TEST_CASE("guards against a fenced owner starting work, and against a start after its stop")
{
    service_fixture f;
    const lease_token old_owner = f.opened(1);
    const lease_token token = f.opened(2);
    CHECK(f.start(old_owner, "a", {}).error() == target_errc::fenced);
    CHECK(f.wait<task_state>([&](auto done) { f.targets.stop(f.endpoint, token, task_id{"b"}, done); }) ==
          task_state::never_started);
    CHECK(f.start(token, "b", {}).error() == target_errc::task_stopped);
    CHECK(f.admin("GET", "/admin/runs").at("runs").empty());
    f.admin("POST", "/admin/leaving", {{"on", true}});
    CHECK(f.start(token, "c", {}).error() == target_errc::leaving);
    CHECK(f.wait<usage_report>([&](auto done) { f.targets.renew(f.endpoint, token, done); })->leaving);
}

TEST_CASE("guards against a call for another target being taken by this one")
{
    service_fixture f;
    f.endpoint.id = target_id{"t2"};
    CHECK(f.wait<target_challenge>([&](auto done) { f.targets.challenge(f.endpoint, done); }).error() ==
          target_errc::not_connected);
}

TEST_CASE("guards against a connection lost after the start hiding that the task runs")
{
    service_fixture f;
    const lease_token token = f.opened();
    f.admin("POST", "/admin/faults", {{"drop_after_start", 1.0}});
    CHECK(f.start(token, "a", {{"run_ms", 0}}).error() == target_errc::connection_lost);
    CHECK(
        f.wait<task_result>([&](auto done) { f.targets.fetch(f.endpoint, task_id{"a"}, done); })->succeeded);
    CHECK(f.start(token, "a", {{"run_ms", 0}})->succeeded);
    const json runs = f.admin("GET", "/admin/runs").at("runs");
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].at("task") == "a");
    CHECK(runs[0].at("request") == "req-a");
    CHECK(runs[0].at("team") == "a");
    CHECK(runs[0].at("state") == "finished");
    CHECK(runs[0].at("ended_us") >= runs[0].at("started_us"));
    f.admin("POST", "/admin/faults", {{"drop_after_start", 0.0}, {"drop_before_start", 1.0}});
    CHECK(f.start(token, "b", {{"run_ms", 0}}).error() == target_errc::connection_lost);
    CHECK(f.admin("GET", "/admin/runs").at("runs").size() == 1);
}

TEST_CASE("guards against truncated and crossed results passed on")
{
    service_fixture f;
    const lease_token token = f.opened();
    REQUIRE(f.start(token, "a", {{"run_ms", 0}}));
    f.admin("POST", "/admin/faults", {{"cross", 1.0}});
    for (int i = 0; i < 8; ++i)
        CHECK(f.start(token, "cross" + std::to_string(i), {{"run_ms", 0}}).error() ==
              target_errc::bad_response);
    f.admin("POST", "/admin/faults", {{"cross", 0.0}, {"truncate", 1.0}});
    CHECK(f.start(token, "c", {{"run_ms", 0}}).error() == target_errc::bad_response);
    f.admin("POST", "/admin/faults", {{"truncate", 0.0}, {"fail_all", true}});
    CHECK_FALSE(f.start(token, "d", {{"run_ms", 1000000}})->succeeded);
}

TEST_CASE(
    "guards against tasks and leases that survive a reboot, and against a waiter left without an answer")
{
    service_fixture f;
    const lease_token token = f.opened();
    std::optional<target_errc> lost;
    f.targets.start(f.endpoint, token, service_fixture::order("a", {{"run_ms", 10'000'000}}),
                    [&](const auto& r) { lost = r.error(); });
    while (f.admin("GET", "/admin/state").at("running") != 1) {
    }
    f.admin("POST", "/admin/reboot");
    f.callbacks.run_until([&] { return lost.has_value(); });
    CHECK(*lost == target_errc::connection_lost);
    CHECK(f.start(token, "b", {}).error() == target_errc::lease_expired);
    lease_token again = token;
    const lease_grant grant = f.open(again).value();
    CHECK(again.boot_id != token.boot_id);
    CHECK(grant.uptime < std::chrono::minutes{10});
    CHECK(grant.tasks.empty());
}

TEST_CASE("guards against a stopped task that goes on, and against more tasks than slots")
{
    service_fixture f;
    const lease_token token = f.opened();
    int stopped = 0;
    for (int i = 0; i < 8; ++i)
        f.targets.start(f.endpoint, token,
                        service_fixture::order("t" + std::to_string(i), {{"run_ms", 10'000'000}}),
                        [&](const auto& r) { stopped += r.error() == target_errc::bad_response ? 1 : 0; });
    while (f.admin("GET", "/admin/state").at("running") != 8) {
    }
    CHECK(f.start(token, "more", {}).error() == target_errc::busy);
    for (int i = 0; i < 8; ++i)
        CHECK(f.wait<task_state>([&](auto done) {
            f.targets.stop(f.endpoint, token, task_id{"t" + std::to_string(i)}, done);
        }) == task_state::stopped);
    f.callbacks.run_until([&] { return stopped == 8; });
    CHECK(f.admin("GET", "/admin/state").at("running_high_water") == 8);
    CHECK(f.admin("GET", "/admin/state").at("running") == 0);
}
