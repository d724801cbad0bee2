#include "fake_kv_store.h"
#include "fake_peer_network.h"
#include "fake_target.h"

#include <catch2/catch.hpp>

using namespace mjm;

namespace {

struct target_fixture {
    manual_clock time;
    call_pump pump;
    fake_target targets{pump, time};
    target_endpoint endpoint{target_id{"t1"}, "127.0.0.1", 1};

    lease_token open(std::uint64_t assignment, shard_epoch epoch)
    {
        tl::expected<target_challenge, target_errc> challenge{tl::unexpected{target_errc::timed_out}};
        targets.challenge(endpoint, [&](const auto& r) { challenge = r; });
        pump.deliver_all();
        REQUIRE(challenge);
        lease_token token{{service_id{"s"}, zone_id{"z"}}, assignment, epoch, challenge->boot_id};
        bool opened = false;
        targets.open_lease(endpoint, token, challenge->challenge, std::chrono::seconds{60},
                           [&](const auto& r) { opened = r.has_value(); });
        pump.deliver_all();
        REQUIRE(opened);
        return token;
    }
    static start_order order(const std::string& task)
    {
        return {task_id{task}, request_id{"r"}, team_id{"a"}, service_id{"s"}, {}, "{}"};
    }
    tl::expected<task_result, target_errc> start(const lease_token& token, const std::string& task)
    {
        tl::expected<task_result, target_errc> result{tl::unexpected{target_errc::timed_out}};
        targets.start(endpoint, token, order(task), [&](const auto& r) { result = r; });
        pump.deliver_all();
        targets.finish_all();
        pump.deliver_all();
        return result;
    }
};

} // namespace

TEST_CASE("guards against a callback from within the call, and against a lost put answer hiding its effect")
{
    manual_clock time;
    call_pump pump;
    fake_kv_store store{pump, time};
    std::optional<tl::expected<store_revision, store_errc>> seen;
    store.lose_next_write_answers(1);
    store.put({"k", "v", store_revision{0}, 0}, [&](const auto& r) { seen = r; });
    CHECK_FALSE(seen.has_value());
    pump.deliver_all();
    REQUIRE(seen.has_value());
    CHECK(seen->error() == store_errc::timed_out);
    CHECK(store.model().get("k", 0, time.now())->entry.value == "v");
    CHECK(store.model().put({"k", "w", store_revision{0}, 0}, time.now()).error() == store_errc::conflict);
}

TEST_CASE("guards against a dropped request having an effect")
{
    manual_clock time;
    call_pump pump;
    fake_kv_store store{pump, time};
    std::optional<tl::expected<store_revision, store_errc>> seen;
    store.put({"k", "v", std::nullopt, 0}, [&](const auto& r) { seen = r; });
    REQUIRE(pump.drop(pump.find(call_pump::direction::request, "put k")));
    CHECK(seen->error() == store_errc::timed_out);
    CHECK(store.model().get("k", 0, time.now()).error() == store_errc::not_found);
}

TEST_CASE("guards against keys that outlive their lease")
{
    manual_clock time;
    store_model store;
    const store_lease_id lease = store.grant_lease(std::chrono::seconds{6}, time.now());
    REQUIRE(store.put({"k", "v", std::nullopt, lease}, time.now()));
    time.advance(std::chrono::seconds{5});
    REQUIRE(store.keep_alive(lease, time.now()));
    time.advance(std::chrono::seconds{5});
    CHECK(store.list("", time.now()).size() == 1);
    time.advance(std::chrono::seconds{1});
    CHECK(store.list("", time.now()).empty());
    CHECK(store.keep_alive(lease, time.now()).error() == store_errc::not_found);
}

TEST_CASE("guards against a superseded owner starting work")
{
    target_fixture f;
    f.targets.add(f.endpoint.id);
    const lease_token old_owner = f.open(1, 5);
    const lease_token new_owner = f.open(1, 6);
    CHECK(f.start(old_owner, "a").error() == target_errc::fenced);
    CHECK(f.start(new_owner, "a")->body == "a");
    const lease_token new_pool = f.open(2, 1);
    CHECK(f.start(new_owner, "b").error() == target_errc::fenced);
    CHECK(f.start(new_pool, "b"));
}

TEST_CASE("guards against a delayed start that runs after its task was stopped")
{
    target_fixture f;
    f.targets.add(f.endpoint.id);
    const lease_token token = f.open(1, 1);
    std::optional<target_errc> start_error;
    f.targets.start(f.endpoint, token, target_fixture::order("a"),
                    [&](const auto& r) { start_error = r.error(); });
    tl::expected<task_state, target_errc> stopped{tl::unexpected{target_errc::timed_out}};
    f.targets.stop(f.endpoint, token, task_id{"a"}, [&](const auto& r) { stopped = r; });
    f.pump.delay(f.pump.find(call_pump::direction::request, "start"));
    f.pump.deliver_all();
    CHECK(stopped == task_state::never_started);
    CHECK(start_error == target_errc::task_stopped);
    CHECK(f.targets.model(f.endpoint.id).runs().empty());
}

TEST_CASE("guards against a stale owner opening a lease on a rebooted target")
{
    target_fixture f;
    f.targets.add(f.endpoint.id);
    const target_challenge before = f.targets.model(f.endpoint.id).challenge(f.time.now());
    const lease_token token = f.open(1, 1);
    f.targets.reboot(f.endpoint.id);
    target_model& m = f.targets.model(f.endpoint.id);
    CHECK(m.open_lease(token, before.challenge, std::chrono::seconds{60}, f.time.now()).error() ==
          target_errc::challenge_rejected);
    CHECK(f.start(token, "a").error() == target_errc::lease_expired);
    const target_challenge old = m.challenge(f.time.now());
    f.time.advance(std::chrono::seconds{11});
    CHECK(
        m.open_lease({token.shard, 1, 1, old.boot_id}, old.challenge, std::chrono::seconds{60}, f.time.now())
            .error() == target_errc::challenge_rejected);
}

TEST_CASE("guards against a task run twice by a repeated start, and more tasks than slots")
{
    target_fixture f;
    f.targets.add(f.endpoint.id, {1, std::chrono::seconds{10}, std::chrono::minutes{10}});
    const lease_token token = f.open(1, 1);
    int answers = 0;
    for (int i = 0; i < 2; ++i)
        f.targets.start(f.endpoint, token, target_fixture::order("a"), [&](const auto&) { ++answers; });
    f.pump.deliver_all();
    CHECK(f.targets.model(f.endpoint.id).start(token, target_fixture::order("b"), f.time.now()).error() ==
          target_errc::busy);
    f.targets.finish_all();
    f.pump.deliver_all();
    CHECK(answers == 2);
    CHECK(f.start(token, "a")->body == "a");
    CHECK(f.targets.model(f.endpoint.id).runs().size() == 1);
}

TEST_CASE("guards against orphaned tasks running on after their lease lapsed, and results kept for ever")
{
    target_fixture f;
    target_model& m = f.targets.add(f.endpoint.id);
    const lease_token token = f.open(1, 1);
    REQUIRE(f.start(token, "done"));
    REQUIRE(m.start(token, target_fixture::order("orphan"), f.time.now()));
    f.time.advance(std::chrono::seconds{61});
    CHECK(m.expire(f.time.now()) == std::vector<task_id>{task_id{"orphan"}});
    CHECK(m.result(task_id{"orphan"}).error() == target_errc::bad_response);
    CHECK(m.fetch(task_id{"done"}, f.time.now()) == target_model::start_action::ended);
    f.time.advance(std::chrono::minutes{10});
    CHECK(m.fetch(task_id{"done"}, f.time.now()).error() == target_errc::unknown_task);
}

TEST_CASE("guards against a partition that lets the answer of an earlier call through")
{
    call_pump pump;
    fake_peer_network network{pump};
    fake_peer_client client{network, host_id{"a"}};
    int served = 0;
    network.set_host(host_id{"b"},
                     {[&](const forwarded_request&, const std::function<void(outcome)>& answer) {
                          ++served;
                          answer(outcome{outcome_kind::completed, reason::none, {}, "x"});
                      },
                      {},
                      {}});
    tl::expected<outcome, peer_errc> seen;
    const peer_endpoint b{host_id{"b"}, "127.0.0.1", 1};
    client.forward(b, {}, [&](const auto& r) { seen = r; });
    pump.deliver_all();
    REQUIRE(seen.has_value());
    CHECK(seen->body == "x");
    client.forward(b, {}, [&](const auto& r) { seen = r; });
    REQUIRE(pump.deliver_next());
    network.set_partitioned(host_id{"a"}, host_id{"b"}, true);
    pump.deliver_all();
    CHECK(seen.error() == peer_errc::connection_lost);
    client.forward(b, {}, [&](const auto& r) { seen = r; });
    pump.deliver_all();
    CHECK(seen.error() == peer_errc::not_connected);
    CHECK(served == 2);
}
