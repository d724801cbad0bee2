#include "scheduling/target_health.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>

#include <string>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

constexpr timestamp start{std::chrono::hours{1}};

/// Model of a shard with twelve targets that serve two teams.
class health_model {
public:
    health_model()
    {
        for (int n = 0; n < 12; ++n)
            targets.push_back(target_id{"t" + std::to_string(n)});
        health.set_targets(targets);
    }

    request_id next_request() { return request_id{"r" + std::to_string(next++)}; }

    void end_task(std::size_t target, bool success)
    {
        const request_id id = next_request();
        const team_id team{random.chance(0.5) ? "a" : "b"};
        if (success)
            health.record_success(targets[target], id, team, now);
        else
            health.record_failure(targets[target], id, team, now);
    }

    /// Ends one task on each target that takes work. Tasks fail on the targets with an index below `bad`.
    void round(std::size_t bad)
    {
        now += 100ms;
        for (std::size_t n = 0; n < targets.size(); ++n) {
            if (health.max_tasks(targets[n], 8, now) > 0)
                end_task(n, n >= bad);
        }
    }

    [[nodiscard]] std::size_t ejected_count() const
    {
        std::size_t count = 0;
        for (const target_id& it : targets)
            count += health.ejected(it, now) ? 1 : 0;
        return count;
    }

    target_health health{{}};
    std::vector<target_id> targets;
    timestamp now = start;
    std::size_t next = 0;
    seeded_random random{31};
};

} // namespace

// Guards against a target that fails all its tasks at once and therefore gets most of the queued requests.
TEST_CASE("only a target on which all tasks fail is ejected")
{
    health_model model;
    for (int n = 0; n < 10; ++n)
        model.round(1);
    CHECK(model.health.ejected(model.targets[0], model.now));
    CHECK(model.health.weight(model.targets[0], model.now) == 0.0);
    CHECK(model.health.max_tasks(model.targets[0], 8, model.now) == 0);
    CHECK(model.ejected_count() == 1);
}

// Guards against ejecting each target on which a request that always fails is retried.
TEST_CASE("requests that fail on every target do not eject any target")
{
    health_model model;
    seeded_random random{21};
    for (int n = 0; n < 300; ++n) {
        model.now += 20ms;
        const request_id bad = model.next_request();
        const team_id team{random.chance(0.5) ? "a" : "b"};
        const std::size_t first = random.below(12);
        for (std::size_t attempt = 0; attempt < 3; ++attempt)
            model.health.record_failure(model.targets[(first + attempt) % 12], bad, team, model.now);
        model.end_task(random.below(12), true);
        REQUIRE(model.ejected_count() == 0);
    }
}

// Guards against ejecting targets that work for other teams because one team's requests fail.
TEST_CASE("failures of only one team do not eject a target while another team uses the shard")
{
    health_model model;
    for (int n = 0; n < 30; ++n) {
        model.health.record_success(model.targets[1], model.next_request(), team_id{"b"}, model.now);
        model.health.record_failure(model.targets[0], model.next_request(), team_id{"a"}, model.now);
    }
    CHECK_FALSE(model.health.ejected(model.targets[0], model.now));
}

// Guards against ejecting all targets of a shard when tasks fail from a common cause, such as a broken
// dependency or a faulty release.
TEST_CASE("correlated failures eject at most the allowed fraction of the shard")
{
    for (const std::size_t bad : {std::size_t{6}, std::size_t{12}}) {
        health_model model;
        for (int n = 0; n < 300; ++n) {
            model.round(bad);
            REQUIRE(model.ejected_count() <= 4);
        }
    }
}

// Guards against a recovered target that stays ejected, and against full load on a target right after its
// ejection.
TEST_CASE("a recovered target returns to full load in steps after a probe")
{
    health_model model;
    for (int n = 0; n < 10; ++n)
        model.round(1);
    const target_id& bad = model.targets[0];
    REQUIRE(model.health.ejected(bad, model.now));
    model.now += 11s;
    CHECK_FALSE(model.health.ejected(bad, model.now));
    CHECK(model.health.max_tasks(bad, 8, model.now) == 1);
    std::size_t previous = 1;
    for (int n = 0; n < 10; ++n) {
        model.round(0);
        const std::size_t most = model.health.max_tasks(bad, 8, model.now);
        CHECK(most >= previous);
        CHECK(most <= previous * 2);
        previous = most;
    }
    CHECK(previous == 8);
    CHECK(model.health.weight(bad, model.now) == 1.0);
}

// Guards against probing a broken target at the initial rate for ever.
TEST_CASE("each failed probe lengthens the ejection up to its bound")
{
    health_model model;
    std::size_t available = 0;
    for (int n = 0; n < 36'000; ++n) { // one hour
        model.round(1);
        if (!model.health.ejected(model.targets[0], model.now))
            ++available;
    }
    CHECK(available < 360);
    CHECK(available > 10);
}

// Guards against a broken target that stays in use because the allowed fraction of two targets is less than
// one.
TEST_CASE("if all tasks fail on one of two targets, it is ejected, but never both")
{
    health_model model;
    model.targets.resize(2);
    model.health.set_targets(model.targets);
    for (int n = 0; n < 10; ++n)
        model.round(1);
    CHECK(model.health.ejected(model.targets[0], model.now));
    for (int n = 0; n < 20; ++n)
        model.round(2);
    CHECK(model.ejected_count() <= 1);
}
