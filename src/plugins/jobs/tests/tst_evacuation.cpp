#include "fleet_simulation.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

const zone_id zone_a{"zone-a"};

/// Targets `a1` and `a2` in the zone that is evacuated, and `b1` in another one.
struct two_zones : scheduler_fixture {
    two_zones()
    {
        for (const char* name : {"a1", "a2"})
            add_in_zone(name, zone_a);
        add_in_zone("b1", zone_id{"zone-b"});
    }
    void add_in_zone(const std::string& name, const zone_id& zone,
                     const std::vector<std::string>& labels = {})
    {
        target_info info = info_of(name);
        info.zone = zone;
        info.labels = labels;
        scheduler.set_target(info, now());
        report(info.id, {});
    }
    void evacuate(const std::set<zone_id>& zones) { scheduler.set_evacuated_zones(zones, now()); }
    [[nodiscard]] bool is_evacuated(const start_command& start) const
    {
        return scheduler.targets().at(start.target.id).info.zone == zone_a;
    }
    [[nodiscard]] std::ptrdiff_t logged(scheduler_event event) const
    {
        return std::count_if(log_entries.begin(), log_entries.end(),
                             [event](const scheduler_log_entry& n) { return n.event == event; });
    }
};

/// A simulation whose hosts h0 to h2 are in the zone that is evacuated.
struct zone_simulation : fleet_simulation {
    explicit zone_simulation(std::uint64_t seed) : fleet_simulation{seed}
    {
        for (const char* host : {"h0", "h1", "h2"})
            fleet.set_zone(host, zone_a);
        for (const char* host : {"h3", "h4", "h5"})
            fleet.set_zone(host, zone_id{"zone-b"});
        run_for(3s);
        REQUIRE(leader() != nullptr);
    }
    [[nodiscard]] std::size_t runs_in_zone() const
    {
        return fleet.running_on("h0").size() + fleet.running_on("h1").size() + fleet.running_on("h2").size();
    }
    void check_no_violations() const
    {
        for (const std::string& violation : fleet.violations)
            UNSCOPED_INFO(violation);
        CHECK(fleet.violations.empty());
    }
};

} // namespace

// Guards against starts that were planned or ordered before the evacuation and leave after it (rule EVAC).
TEST_CASE("a start that was planned before the evacuation of its zone is not sent")
{
    two_zones f;
    const bool ordered = GENERATE(false, true);
    f.add_job("j", 48);
    f.scheduler.plan(f.now());
    if (!ordered)
        f.evacuate({zone_a});
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    if (ordered)
        f.evacuate({zone_a});
    const std::vector<start_command> starts = f.take_starts();
    CHECK(starts.size() == 16);
    CHECK(std::none_of(starts.begin(), starts.end(), [&f](const auto& s) { return f.is_evacuated(s); }));
    CHECK(f.scheduler.targets().at(target_id{"a1"}).runs.empty());

    f.evacuate({});
    const std::vector<start_command> later = f.plan_and_store();
    CHECK(later.size() == 32);
    CHECK(std::all_of(later.begin(), later.end(), [&f](const auto& s) { return f.is_evacuated(s); }));
    CHECK(f.logged(scheduler_event::evacuation_started) == 1);
    CHECK(f.logged(scheduler_event::evacuation_ended) == 1);
}

// Guards against a target that joins, or restarts, in an evacuated zone and gets work.
TEST_CASE("a target that joins an evacuated zone gets no work")
{
    two_zones f;
    f.evacuate({zone_a});
    f.add_in_zone("a3", zone_a);
    f.add_job("j", 48);
    CHECK(f.plan_and_store().size() == 16);
    CHECK(f.scheduler.targets().at(target_id{"a3"}).runs.empty());
}

// Guards against runs that an evacuation ends, and against a permanent task that is started there again.
TEST_CASE("runs go on in an evacuated zone, and a permanent task that ends there starts elsewhere")
{
    two_zones f;
    const std::vector<start_command> starts =
        f.run_job("serving", 48, 2000, [](step_spec& s) { s.permanent = true; });
    REQUIRE(starts.size() == 48);
    std::vector<start_command> here;
    std::copy_if(starts.begin(), starts.end(), std::back_inserter(here),
                 [](const start_command& s) { return s.target.id == target_id{"a1"}; });
    REQUIRE(here.size() == 16);
    f.evacuate({zone_a});
    f.advance(200ms);
    CHECK(f.take_stops().empty());
    CHECK(f.scheduler.evacuation().runs == 32);
    const target_id free = f.add_target("b2");

    std::vector<listed_run> left;
    for (std::size_t i = 1; i < here.size(); ++i)
        left.push_back(running(here[i]));
    f.report(target_id{"a1"}, left, {ended(here[0], 1, run_end::failed)});
    f.advance(1s);
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.id == free);
    CHECK(f.scheduler.evacuation().runs == 31);
}

// Guards against a start in a zone whose evacuation the leader can't have heard of yet.
TEST_CASE("no start leaves once evacuations may have been requested that the leader doesn't know")
{
    two_zones f;
    f.add_job("j", 2);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    view_times known{f.now().now + 10s, f.now().now + 10s, f.now().now};
    f.scheduler.set_view_times(known);
    const scheduler_time late{f.now().now + scheduler_settings{}.max_evacuation_view_age + 1ms,
                              f.now().unix_ms};
    CHECK_FALSE(f.scheduler.may_start(late.now));
    CHECK(f.take_starts(late).empty());

    scheduler_settings settings;
    settings.max_evacuation_view_age = settings.max_config_view_age / 2;
    job_scheduler other{settings, scheduler_fixture::token, f.now(), {}};
    other.set_view_times(known);
    CHECK(other.views_recent_until() == known.configuration + settings.max_evacuation_view_age);
}

// Guards against jobs that wait for an evacuated zone without anybody being told.
TEST_CASE("a job that only targets of an evacuated zone could run is shown")
{
    two_zones f;
    f.add_in_zone("a3", zone_a, {"large"});
    f.evacuate({zone_a});
    f.add_job("anywhere", 1);
    f.add_job("labelled", 1, 2000, [](step_spec& s) { s.required_label = "large"; });
    f.add_job("nowhere", 1, 2000, [](step_spec& s) { s.required_label = "missing"; });
    f.plan_and_store();
    f.advance(2s);
    CHECK(f.scheduler.evacuation().waiting_jobs == std::set<job_id>{job_id{"labelled"}});
    f.advance(2s);
    CHECK(f.logged(scheduler_event::job_awaits_zone) == 1);

    f.evacuate({});
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.id == target_id{"a3"});
    CHECK(f.scheduler.evacuation().waiting_jobs.empty());
}

// Guards against a next leader that starts work in a zone whose evacuation it has been told of as a follower.
TEST_CASE("an evacuation stays in force when the leader changes, and ends when it is taken back")
{
    zone_simulation f{61};
    f.submit("serving", 6, true);
    f.run_for(1s);
    f.evacuate({zone_a});
    f.leader()->kill();
    f.submit("j", 12);
    f.run_for(10s);
    REQUIRE(f.leader() != nullptr);
    CHECK(f.completed("j"));
    CHECK(f.fleet.running(job_id{"serving"}) == 6);
    f.check_no_violations();

    f.evacuate({});
    f.submit("k", 60);
    f.run_for(1s);
    CHECK(f.runs_in_zone() > 6);
    f.run_for(20s);
    CHECK(f.completed("k"));
    f.check_no_violations();
}

// Guards against starts by a leader that is cut off when the evacuation is requested, and by one that no
// longer hears of requests while it still reaches targets.
TEST_CASE("a leader that may not have heard of an evacuation starts nothing")
{
    zone_simulation f{62};
    entry_host* const first = f.leader();
    const bool cut = GENERATE(false, true);
    // More than the targets can run at a time, so that each that has room would get a task.
    for (int i = 0; i < 10; ++i)
        f.submit("j" + std::to_string(i), 40);
    f.run_for(500ms);
    REQUIRE(f.accepted.size() == 10);
    if (cut)
        f.cut_zone(*first, {"h0", "h1", "h2"});
    first->config_frozen_at = f.loop.time().now();
    f.evacuate({zone_a});
    f.run_for(10s);
    f.check_no_violations();
    f.mend_zone();
    first->config_frozen_at.reset();
    f.evacuate({zone_a});
    f.run_for(40s);
    for (const std::string& id : f.accepted)
        CHECK(f.completed(id));
    f.check_no_violations();
}
