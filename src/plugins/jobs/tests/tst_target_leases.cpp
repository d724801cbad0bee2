#include "fleet_simulation.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

void check_no_violations(const fleet_simulation& f)
{
    for (const std::string& violation : f.fleet.violations)
        UNSCOPED_INFO(violation);
    CHECK(f.fleet.violations.empty());
}

/// Permanent tasks and tasks that end run on all hosts while a zone is cut off with the leader in it.
struct leader_cut_with_zone {
    leader_cut_with_zone()
    {
        f.fleet.run_time = [](const task_key& key) -> std::optional<duration> {
            return key.job.str() == "serving" ? std::nullopt : std::optional<duration>{4s};
        };
        f.run_for(1s);
        f.submit("serving", 6, true);
        f.submit("j", 12);
        f.run_for(2s);
        first = f.leader();
        REQUIRE(first != nullptr);
        REQUIRE(f.fleet.running(job_id{"serving"}) == 6);
        REQUIRE_FALSE(f.fleet.running_on("h0").empty());
    }
    void cut_for(duration d)
    {
        f.cut_zone(*first, zone);
        f.run_for(d);
        f.mend_zone();
    }

    fleet_simulation f{5};
    const std::set<std::string> zone{"h0", "h1"};
    entry_host* first = nullptr;
};

} // namespace

TEST_CASE("a leader that is cut off with its zone doesn't keep targets at work after the next leader has "
          "started their tasks elsewhere")
{
    leader_cut_with_zone t;
    t.cut_for(14s);
    t.f.run_for(10s);
    CHECK(t.f.fleet.running(job_id{"serving"}) == 6);
    CHECK(t.f.completed("j"));
    check_no_violations(t.f);
}

TEST_CASE("a leader whose zone is cut off for less than the longest lease costs no run")
{
    leader_cut_with_zone t;
    const std::size_t starts = t.f.fleet.starts;
    t.cut_for(5900ms);
    t.f.run_for(10s);
    CHECK(t.f.fleet.running(job_id{"serving"}) == 6);
    CHECK(t.f.completed("j"));
    // The only further start is that of the job's second step.
    CHECK(t.f.fleet.starts == starts + 1);
    check_no_violations(t.f);
}

TEST_CASE("a leader whose own lease is over extends no lease and starts nothing")
{
    scheduler_fixture f;
    const target_id t = f.add_target("t");
    f.run_job("j", 1);
    f.add_job("k", 1);
    f.scheduler.plan(f.now());
    REQUIRE(f.scheduler.has_unstored());
    f.scheduler.set_leader_lease(f.now().now);
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    CHECK(f.take_starts().empty());
    const lease_request request = f.scheduler.begin_observation(t, f.now().now);
    CHECK(request.deadline_ms == 0);
    CHECK(request.lease_withheld);
    f.scheduler.plan(f.now());
    CHECK_FALSE(f.scheduler.has_unstored());
}

TEST_CASE("a start that waits to be sent is withdrawn when the leader's lease is over")
{
    scheduler_fixture f;
    f.add_target("t");
    f.add_job("j", 1);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    f.scheduler.set_leader_lease(f.now().now);
    CHECK(f.take_starts().empty());
}

TEST_CASE("leases of earlier leaders are over before a new leader starts their tasks again")
{
    const lease_settings settings;
    const timestamp start{1h};
    lease_policy earlier{settings, start - 1h};
    earlier.set_leader_lease(start);
    const clock_reading clock{1000, start - 1us};
    const std::optional<granted_lease> last = earlier.grant(clock, start - 1us);
    REQUIRE(last);
    CHECK(last->deadline_ms == 1000 + to_ms(settings.longest));
    CHECK_FALSE(earlier.grant(clock, start));
    lease_policy next{settings, start};
    CHECK(last->over_at <= next.earlier_leases_over_at());
    CHECK_FALSE(next.grant(clock, start));
}

TEST_CASE("an observation doesn't delay its answer beyond the leader's last extension")
{
    const lease_settings settings;
    const timestamp start{1h};
    lease_policy p{settings, start};
    p.set_leader_lease(start + 1700ms);
    CHECK(p.longest_observation(start) == 1200ms);
    CHECK(p.longest_observation(start + 1500ms) == settings.last_extension);
    REQUIRE(p.grant({}, start));
    CHECK(p.grant({0, start}, start)->deadline_ms == to_ms(settings.normal));
    CHECK(p.grant({0, start}, start + 800ms)->deadline_ms == 800 + to_ms(settings.longest));
}

// An entry that can't be read withdraws its target in the same way as a removed one.
TEST_CASE("a target that is no longer listed keeps its runs, is still observed and gets no new ones")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    const listed_run run{starts[0].order.task, starts[0].order.run, {}, 41, 0.0};
    f.scheduler.unlist_target(a, f.now());
    f.add_job("k", 1);
    for (int i = 0; i < 60; ++i) {
        f.advance(1s);
        const std::vector<target_id> due = f.scheduler.due_observations(f.now().now);
        REQUIRE(std::find(due.begin(), due.end(), a) != due.end());
        f.report(a, {run});
        f.scheduler.tick(f.now());
        REQUIRE(f.plan_and_store().empty());
        REQUIRE(f.take_stops().empty());
    }
    const job* j = f.scheduler.find_job(job_id{"j"});
    REQUIRE(j != nullptr);
    REQUIRE(j->at(run.task.position).run);
    CHECK(j->at(run.task.position).run->number == run.run);
    f.scheduler.set_target(f.info_of("a"), f.now());
    CHECK(f.plan_and_store().size() == 1);
}
