#include "config_fixture.h"
#include "configuration/config_codec.h"
#include "configuration/config_replica.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace mjm::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct world {
    event_loop loop;
    store_state state;
    seeded_random random{7};
};

} // namespace

TEST_CASE("two racing patches against one version: exactly one wins, the other hears that it moved")
{
    world w;
    committer a{w.loop, w.state, w.random};
    committer b{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().outcome == verdict::accepted);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    REQUIRE(b.propose("p2", 1, replace("/teams/red/share", 2.0)));
    std::optional<change_result> first;
    std::optional<change_result> second;
    a.commit.accept("p1", "ann-key", std::nullopt, december, a.keep(first));
    b.commit.accept("p2", "ann-key", std::nullopt, december, b.keep(second));
    w.loop.run_for(seconds{1});
    REQUIRE(first);
    REQUIRE(second);
    CHECK((first->outcome == verdict::accepted) != (second->outcome == verdict::accepted));
    const change_result& loser = first->outcome == verdict::accepted ? *second : *first;
    CHECK(loser.outcome == verdict::not_applied);
    CHECK(loser.refusal.reason == commit_errc::version_moved);
    CHECK(loser.refusal.current_version == 2);
}

TEST_CASE("a commit whose answer is lost is reported accepted once its effect is known, and applies once")
{
    const fault what = GENERATE(fault::lost_before, fault::lost_after, fault::late);
    world w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    a.store.put_faults = {what, fault::lost_after};
    CHECK(a.accept("p1").outcome == verdict::accepted);
    // A repeat at another host, after the first applied, must not make version 3.
    committer b{w.loop, w.state, w.random};
    const change_result again = b.accept("p1");
    CHECK(again.outcome == verdict::accepted);
    CHECK(again.version == 2);
}

TEST_CASE("no promise is given while a commit may still take effect, and none of its outcomes is guessed")
{
    world w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    a.store.put_faults = {fault::lost_before};
    std::optional<change_result> result;
    a.commit.accept("p1", "ann-key", std::nullopt, december, a.keep(result));
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

TEST_CASE("a commit waits until a promise that was given has passed")
{
    world w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    const std::optional<timestamp> until = a.promise.give(w.loop.now());
    REQUIRE(until);
    timestamp effect;
    w.state.on_write = [&](const kv_write& write) {
        if (write.key == config_head_key)
            effect = w.loop.now();
    };
    CHECK(a.accept("p1").outcome == verdict::accepted);
    CHECK(effect >= *until);
}

TEST_CASE("only the authority in the version that the commit follows may accept, around the month's edge")
{
    world w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    CHECK(a.accept("p1", "bob-key").refusal.reason == commit_errc::not_authority);
    CHECK(a.accept("p1", "olga-key").refusal.reason == commit_errc::not_authority);
    std::optional<change_result> early;
    std::optional<change_result> month;
    const wall_time edge{std::chrono::sys_days{std::chrono::year{2027} / 1 / 1}};
    a.commit.advance_month(edge + seconds{59}, a.keep(early));
    a.run(seconds{1});
    CHECK(early.value().refusal.reason == commit_errc::not_due);
    // Both hosts advance the month at once: one change.
    committer b{w.loop, w.state, w.random};
    std::optional<change_result> other;
    a.commit.advance_month(january, a.keep(month));
    b.commit.advance_month(january, b.keep(other));
    a.run(seconds{1});
    CHECK(month.value().version == 2);
    CHECK(other.value().version == 2);
    // December's owner has reviewed the patch, but January is in force on the version it would follow.
    std::optional<change_result> late;
    a.commit.accept("p1", "ann-key", 2, december, a.keep(late));
    a.run(seconds{1});
    CHECK(late.value().refusal.reason == commit_errc::not_authority);
    a.commit.accept("p1", "bob-key", 2, january, a.keep(late));
    a.run(seconds{1});
    CHECK(late.value().version == 3);
    // A month that has passed cannot be put in force again.
    const tl::expected<void, commit_refusal> back =
        a.propose("p2", 3, replace("/authority_month", "2026-12"));
    REQUIRE_FALSE(back);
    CHECK(back.error().errors.at(0).rule == config_rule::month);
}

TEST_CASE("an acceptance racing with the month's change is decided by the version that it follows")
{
    world w;
    committer a{w.loop, w.state, w.random};
    committer b{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    std::optional<change_result> accepted;
    std::optional<change_result> month;
    a.store.put_faults = {fault::lost_before}; // The month changes before the repeated write.
    a.commit.accept("p1", "ann-key", std::nullopt, december, a.keep(accepted));
    b.commit.advance_month(january, b.keep(month));
    a.run(seconds{4});
    CHECK(month.value().version == 2);
    CHECK(accepted.value().outcome == verdict::not_applied);
    CHECK(accepted.value().refusal.reason == commit_errc::not_authority);
}

TEST_CASE("accept and reject of one proposal: the first decision stands for both")
{
    world w;
    committer a{w.loop, w.state, w.random};
    REQUIRE(a.bootstrap().version == 1);
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 20)));
    std::optional<change_result> rejected;
    a.commit.reject("p1", "ann-key", "too many", december, a.keep(rejected));
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

TEST_CASE("decisions that left the head are still found, and a replica follows across snapshots")
{
    world w;
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
    // Proposed anew after its stored proposal was removed, it must be found as applied.
    REQUIRE(a.propose("p1", 1, replace("/teams/red/limit", 1)));
    CHECK(a.accept("p1").version == 2);
    std::optional<std::vector<config_decision>> history;
    a.commit.history(100, [&](const auto& found) { history = found.value(); });
    a.run(seconds{1});
    CHECK(history.value().size() == 11);
}

TEST_CASE("a target is stamped with the version in which its pool changes, and with no other")
{
    world w;
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

TEST_CASE("only one first configuration is created, and a repeat of its creation is recognised")
{
    world w;
    committer a{w.loop, w.state, w.random};
    committer b{w.loop, w.state, w.random};
    a.store.put_faults = {fault::lost_after};
    CHECK(a.bootstrap("mine").version == 1);
    CHECK(b.bootstrap("other").refusal.reason == commit_errc::already_bootstrapped);
    CHECK(b.bootstrap("mine").version == 1);
}

TEST_CASE("a replica never reverts when reads are delayed and answered out of order")
{
    world w;
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
    CHECK(replica.last_confirmed() == before); // An older version confirms nothing.
}
