#include "fleet_simulation.h"

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
          "started their tasks elsewhere",
          "[.][known-red]")
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
    t.cut_for(6500ms);
    t.f.run_for(10s);
    CHECK(t.f.fleet.running(job_id{"serving"}) == 6);
    CHECK(t.f.completed("j"));
    // The only further start is that of the job's second step.
    CHECK(t.f.fleet.starts == starts + 1);
    check_no_violations(t.f);
}
