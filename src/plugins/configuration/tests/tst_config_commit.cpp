#include "config_fixture.h"
#include "configuration/config_codec.h"
#include "configuration/config_replica.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace mjm::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct test_environment {
    event_loop loop;
    store_state state;
    seeded_random random{7};
};

} // namespace

TEST_CASE("of two concurrent patches to one version, one is accepted and the other fails with version_moved")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    committer b{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().outcome == verdict::accepted);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    REQUIRE(b.propose("p2", 1, replace("/teams/red/share", 2.0)));
    std::optional<change_result> first;
    std::optional<change_result> second;
    a.commit.accept("p1", "ann-key", std::nullopt, december, a.store_result_in(first));
    b.commit.accept("p2", "ann-key", std::nullopt, december, b.store_result_in(second));
    w.loop.run_for(seconds{1});
    REQUIRE(first);
    REQUIRE(second);
    CHECK((first->outcome == verdict::accepted) != (second->outcome == verdict::accepted));
    const change_result& loser = first->outcome == verdict::accepted ? *second : *first;
    CHECK(loser.outcome == verdict::not_applied);
    CHECK(loser.refusal.reason == commit_errc::version_moved);
    CHECK(loser.refusal.current_version == 2);
}

TEST_CASE("a commit whose answer is lost is reported as accepted once its effect is known, and applies once")
{
    const fault injected = GENERATE(fault::lost_before, fault::lost_after, fault::late);
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    a.store.put_faults = {injected, fault::lost_after};
    CHECK(a.accept("p1").outcome == verdict::accepted);
    // Accepting the proposal again on another host must not create version 3.
    committer b{w.loop, w.state, w.random};
    const change_result again = b.accept("p1");
    CHECK(again.outcome == verdict::accepted);
    CHECK(again.version == 2);
}

TEST_CASE("no promise is given and no result reported while the effect of a commit is unknown")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    a.store.put_faults = {fault::lost_before};
    std::optional<change_result> result;
    a.commit.accept("p1", "ann-key", std::nullopt, december, a.store_result_in(result));
    a.run(milliseconds{500});
    a.store.reachable = false;
    a.run(seconds{20});
    CHECK_FALSE(result);
    CHECK_FALSE(a.promise.give(w.loop.now()));
    a.store.reachable = true;
    a.run(seconds{2});
    REQUIRE(result);
    CHECK(result->outcome == verdict::accepted);
    CHECK(a.promise.give(w.loop.now()));
}

TEST_CASE("a commit is delayed until a promise has ended")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    const std::optional<timestamp> until = a.promise.give(w.loop.now());
    REQUIRE(until);
    timestamp committed_at;
    w.state.on_write = [&](const kv_write& write) {
        if (write.key == config_head_key)
            committed_at = w.loop.now();
    };
    CHECK(a.accept("p1").outcome == verdict::accepted);
    CHECK(committed_at >= *until);
}

TEST_CASE("around the turn of the month, only the authority in the preceding version may accept")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    CHECK(a.accept("p1", "bob-key").refusal.reason == commit_errc::not_authority);
    CHECK(a.accept("p1", "olga-key").refusal.reason == commit_errc::not_authority);
    std::optional<change_result> early;
    std::optional<change_result> month;
    const wall_time edge{std::chrono::sys_days{std::chrono::year{2027} / 1 / 1}};
    a.commit.advance_month(edge + seconds{59}, a.store_result_in(early));
    a.run(seconds{1});
    CHECK(early.value().refusal.reason == commit_errc::not_due);
    // Two hosts that advance the month at the same time create one version.
    committer b{w.loop, w.state, w.random};
    std::optional<change_result> other;
    a.commit.advance_month(january, a.store_result_in(month));
    b.commit.advance_month(january, b.store_result_in(other));
    a.run(seconds{1});
    CHECK(month.value().version == 2);
    CHECK(other.value().version == 2);
    // The owner for December accepts on top of version 2, in which January is in force.
    std::optional<change_result> late;
    a.commit.accept("p1", "ann-key", 2, december, a.store_result_in(late));
    a.run(seconds{1});
    CHECK(late.value().refusal.reason == commit_errc::not_authority);
    a.commit.accept("p1", "bob-key", 2, january, a.store_result_in(late));
    a.run(seconds{1});
    CHECK(late.value().version == 3);
    // An earlier month cannot be put in force again.
    const tl::expected<void, commit_refusal> back =
        a.propose("p2", 3, replace("/authority_month", "2026-12"));
    REQUIRE_FALSE(back);
    CHECK(back.error().errors.at(0).rule == config_rule::month);
}

TEST_CASE("an acceptance concurrent with a change of month is checked against the version that it follows")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    committer b{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    std::optional<change_result> accepted;
    std::optional<change_result> month;
    a.store.put_faults = {fault::lost_before}; // The month advances before the write is repeated.
    a.commit.accept("p1", "ann-key", std::nullopt, december, a.store_result_in(accepted));
    b.commit.advance_month(january, b.store_result_in(month));
    a.run(seconds{4});
    CHECK(month.value().version == 2);
    CHECK(accepted.value().outcome == verdict::not_applied);
    CHECK(accepted.value().refusal.reason == commit_errc::not_authority);
}

TEST_CASE("the first decision on a proposal is final")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    std::optional<change_result> rejected;
    a.commit.reject("p1", "ann-key", "too many", december, a.store_result_in(rejected));
    a.run(seconds{1});
    CHECK(rejected.value().outcome == verdict::rejected);
    CHECK(a.accept("p1").outcome == verdict::rejected);
    std::optional<std::vector<config_decision>> history;
    a.commit.history(10, [&](const auto& found) { history = found.value(); });
    a.run(seconds{1});
    REQUIRE(history.value().size() == 2);
    CHECK(history->front().decided_by == "owner:ann");
    CHECK(history->front().proposed_by == "operator:olga");
    CHECK(history->front().comment == "too many");
}

TEST_CASE("decisions in the history are found, and a replica catches up across snapshots")
{
    test_environment w;
    config_commit_settings settings;
    settings.max_entries = 3;
    committer a{w.loop, w.state, w.random, settings};
    REQUIRE(a.bootstrap().version == 1);
    config_replica replica{a.store, {}};
    for (std::uint64_t v = 1; v <= 10; ++v) {
        REQUIRE(a.propose("p" + std::to_string(v), v, replace("/teams/red/limit", v)));
        REQUIRE(a.accept("p" + std::to_string(v)).version == v + 1);
    }
    replica.tick(w.loop.now());
    a.run(seconds{1});
    REQUIRE(replica.current());
    CHECK(replica.current()->version == 11);
    CHECK(replica.current()->teams.at(team_id{"red"}).limit == 10);
    CHECK(a.accept("p1").version == 2);
    // Proposed again after its stored proposal was erased, the proposal is found to be applied.
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 1)));
    CHECK(a.accept("p1").version == 2);
    std::optional<std::vector<config_decision>> history;
    a.commit.history(100, [&](const auto& found) { history = found.value(); });
    a.run(seconds{1});
    CHECK(history.value().size() == 11);
}

TEST_CASE("the assignment of a target is the version in which its pool last changed")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, R"([{"op":"add","path":"/targets/w1/cordoned","value":true}])"));
    REQUIRE(a.accept("p1").version == 2);
    REQUIRE(a.propose("p2", 2, replace("/targets/w1/pool", "spare")));
    REQUIRE(a.accept("p2").version == 3);
    REQUIRE(a.propose("p3", 3, replace("/targets/w2/assignment", 99)));
    REQUIRE(a.accept("p3").version == 4);
    config_replica replica{a.store, {}};
    replica.tick(w.loop.now());
    a.run(seconds{1});
    CHECK(replica.current()->targets.at(target_id{"w1"}).assignment == 3);
    CHECK(replica.current()->targets.at(target_id{"w2"}).assignment == 1);
    CHECK(replica.current()->ticket_secret.size() == 64);
    const tl::expected<void, commit_refusal> secret = a.propose("p4", 4, replace("/ticket_secret", "00"));
    REQUIRE_FALSE(secret);
    CHECK(secret.error().errors.at(0).rule == config_rule::read_only);
}

TEST_CASE("only one first configuration can be created, and a repeated creation succeeds")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    committer b{w.loop, w.state, w.random};
    a.store.put_faults = {fault::lost_after};
    CHECK(a.bootstrap("mine").version == 1);
    CHECK(b.bootstrap("other").refusal.reason == commit_errc::already_bootstrapped);
    CHECK(b.bootstrap("mine").version == 1);
}

TEST_CASE("a replica never installs an older version when answers are delayed and out of order")
{
    test_environment w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    test_store own{w.loop, w.state, w.random};
    config_replica_settings settings;
    settings.poll_interval = milliseconds{100};
    config_replica replica{own, settings};
    std::vector<std::uint64_t> installed;
    replica.on_install(
        [&](const std::shared_ptr<const fleet_config>& c) { installed.push_back(c->version); });
    std::string old_text;
    for (std::uint64_t v = 1; v <= 6; ++v) {
        own.get_faults = {fault::slow, fault::none, fault::slow, fault::none};
        REQUIRE(a.propose("p" + std::to_string(v), v, replace("/teams/red/limit", v)));
        a.commit.accept("p" + std::to_string(v), "ann-key", std::nullopt, december,
                        [](const change_result&) {});
        for (int i = 0; i < 30; ++i) {
            replica.tick(w.loop.now());
            a.run(milliseconds{50});
        }
        if (old_text.empty())
            old_text = replica.current_text();
    }
    CHECK(replica.current()->version == 7);
    CHECK(std::is_sorted(installed.begin(), installed.end(), std::less_equal<>{}));
    const timestamp before = *replica.last_confirmed();
    replica.offer(decode_config(old_text)->version, old_text, w.loop.now() + seconds{9});
    CHECK(replica.current()->version == 7);
    CHECK(replica.last_confirmed() == before); // An older version is no confirmation.
}
