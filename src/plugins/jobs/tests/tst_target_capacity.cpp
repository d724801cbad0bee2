#include "scheduler_fixture.h"

#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "jobs/pool_plan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// Plays a registration in which the target's capacity has changed.
void set_cores(scheduler_fixture& f, const target_id& target, std::int64_t milli_cpu)
{
    target_info info = f.info_of(target.str());
    info.capacity.milli_cpu = milli_cpu;
    f.scheduler.set_target(info, f.now());
}

/// Confirms that the store has the progress of one job, so that its planned runs are ordered.
void store(scheduler_fixture& f, const job_id& id)
{
    std::vector<progress_write> writes = f.scheduler.unstored(1000);
    std::erase_if(writes, [&id](const progress_write& w) { return w.job != id; });
    f.scheduler.on_stored(writes, f.now());
}

} // namespace

// Guards against a start that was planned before its target shrank, and that exceeds the capacity of a target
// that refuses nothing (rule LIMIT).
TEST_CASE("starts that no longer fit are withdrawn when their target has shrunk")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 4, 4000);
    f.scheduler.plan(f.now());
    set_cores(f, a, 11'000);
    f.advance(3s);
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    CHECK(f.take_starts().size() == 2);
    CHECK(f.scheduler.targets().at(a).used.milli_cpu == 8000);

    const target_id b = f.add_target("b");
    const std::vector<start_command> others = f.plan_and_store();
    REQUIRE(others.size() == 2);
    CHECK(others[0].target.id == b);
    CHECK(others[1].target.id == b);
}

// Guards against a start that is ordered when its target shrinks.
TEST_CASE("a start that waits to be sent is withdrawn when its target has no capacity left")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 1, 4000);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    set_cores(f, a, 0);
    CHECK(f.take_starts().empty());
    CHECK(f.scheduler.targets().at(a).runs.empty());
    CHECK(f.take_stops().empty());
}

// Guards against starts that are withdrawn because of runs that the target does not have yet.
TEST_CASE("runs that the store does not have yet are not counted when starts are checked against a capacity")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    REQUIRE(f.run_job("runs", 2, 4000).size() == 2);
    const job_id stored = f.add_job("stored", 3, 4000);
    f.add_job("unstored", 3, 4000);
    f.scheduler.plan(f.now());
    REQUIRE(f.scheduler.targets().at(a).used.milli_cpu == 32'000);
    set_cores(f, a, 16'000);
    store(f, stored);
    const std::vector<start_command> starts = f.take_starts();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].order.task.job == stored);
    CHECK(starts[1].order.task.job == stored);
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    CHECK(f.take_starts().empty());
}

TEST_CASE(
    "a target that shrinks below what it runs keeps its tasks, gets no more, and is used again when it grows")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("runs", 4, 4000);
    REQUIRE(starts.size() == 4);
    set_cores(f, a, 4000);
    f.add_job("waits", 2, 1000);
    f.add_job("fills", 1, 1000, [](step_spec& s) { s.need = {0, 16, 0, 0}; });
    CHECK(f.plan_and_store().empty());
    f.report(a, {running(starts[0]), running(starts[1]), running(starts[2]), running(starts[3])});
    f.advance(1s);
    CHECK(f.plan_and_store().empty());
    CHECK(f.take_stops().empty());
    CHECK_FALSE(f.scheduler.planning_needed());

    set_cores(f, a, 18'000);
    CHECK(f.scheduler.planning_needed());
    CHECK(f.plan_and_store().size() == 3);
}

// Guards against a target that refuses nothing and is brought over its capacity while it stops a run that
// belongs to no task any more (rule LIMIT).
TEST_CASE("a listed run that is not its task's current run uses capacity until a report shows its end")
{
    scheduler_fixture f;
    f.add_target("b");
    const std::vector<start_command> current = f.run_job("known", 1, 20'000);
    REQUIRE(current.size() == 1);
    const target_id a = f.add_target("a");
    f.report(a, {running(current[0])});
    CHECK(f.take_stops().size() == 1);
    f.add_job("waits", 1, 16'000);
    CHECK(f.plan_and_store().empty());
    f.advance(20ms);
    f.report(a, {running(current[0])});
    CHECK(f.plan_and_store().empty());
    f.advance(20ms);
    f.report(a, {}, {ended(current[0], 1, run_end::stopped)});
    CHECK(f.scheduler.planning_needed());
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.id == a);
}

TEST_CASE("a target that lists a run of an unknown job gets no new work until it no longer lists the run")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    listed_run stray;
    stray.task = {job_id{"gone"}, {0, 0, 0}};
    stray.run = 3;
    f.add_job("j", 1, 1000);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    f.report(a, {stray});
    CHECK(f.take_starts().empty());
    CHECK(f.plan_and_store().empty());

    const target_id b = f.add_target("b");
    const std::vector<start_command> elsewhere = f.plan_and_store();
    REQUIRE(elsewhere.size() == 1);
    CHECK(elsewhere[0].target.id == b);

    f.report(a, {});
    f.add_job("k", 1, 32'000);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.id == a);
}

// Guards against a target that stays blocked because nobody asks whether the run has ended.
TEST_CASE(
    "a target that stops a run of an unknown job is observed, and the stop is repeated if it has no effect")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    listed_run stray;
    stray.task = {job_id{"gone"}, {0, 0, 0}};
    stray.run = 3;
    f.report(a, {stray});
    CHECK(f.take_stops().size() == 1);
    f.advance(50ms);
    CHECK(f.scheduler.due_observations(f.now().now) == std::vector<target_id>{a});
    f.report(a, {stray});
    CHECK(f.take_stops().empty());
    f.advance(300ms);
    f.report(a, {stray});
    CHECK(f.take_stops().size() == 1);
    f.report(a, {});
    f.advance(50ms);
    CHECK(f.scheduler.due_observations(f.now().now).empty());
}

TEST_CASE("restored runs use their target's capacity before and after the target's first report")
{
    scheduler_fixture f;
    f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 8, 4000);
    REQUIRE(starts.size() == 8);
    const std::string progress = encode_progress(*f.scheduler.find_job(job_id{"j"}));

    scheduler_fixture g;
    REQUIRE(g.scheduler.restore_job(g.record_of("j", 8, 4000), progress, g.now()));
    const target_id a{"a"};
    g.scheduler.set_target(g.info_of("a"), g.now());
    g.add_job("waits", 1, 4000);
    CHECK(g.plan_and_store().empty());
    std::vector<listed_run> all;
    all.reserve(starts.size());
    for (const start_command& s : starts)
        all.push_back(running(s));
    g.report(a, all);
    CHECK(g.plan_and_store().empty());
    all.pop_back();
    g.advance(20ms);
    g.report(a, all, {ended(starts.back(), 1, run_end::done)});
    CHECK(g.plan_and_store().size() == 1);
}

TEST_CASE("a run that is being stopped uses capacity until its end is listed")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1, 20'000);
    REQUIRE(starts.size() == 1);
    f.scheduler.cancel_job(job_id{"j"}, f.now());
    REQUIRE(f.take_stops().size() == 1);
    f.add_job("waits", 1, 20'000);
    CHECK(f.plan_and_store().empty());
    f.scheduler.on_stop_answer(a, starts[0].order.task, 1, order_answer{5000}, f.now());
    f.advance(20ms);
    f.report(a, {running(starts[0])});
    CHECK(f.plan_and_store().empty());
    f.advance(20ms);
    f.report(a, {}, {ended(starts[0], 1, run_end::stopped)});
    CHECK(f.plan_and_store().size() == 1);
}

TEST_CASE(
    "a start without an answer uses capacity until its stop is confirmed and a report does not list the run")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 1, 20'000);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    const start_command& start = starts[0];
    f.scheduler.on_start_answer(a, start.order.task, 1, tl::unexpected{order_errc::no_answer}, f.now());
    f.add_job("waits", 1, 20'000);
    f.advance(20ms);
    f.report(a, {});
    REQUIRE(f.take_stops().size() == 1);
    CHECK(f.plan_and_store().empty());
    f.advance(20ms);
    f.report(a, {});
    CHECK(f.plan_and_store().empty());
    f.scheduler.on_stop_answer(a, start.order.task, 1, order_answer{5000}, f.now());
    CHECK(f.plan_and_store().empty());
    f.advance(20ms);
    f.report(a, {});
    CHECK(f.plan_and_store().size() == 1);
}

// Guards against a start that is in flight when its target restarts under the same name, and that the new
// incarnation carries out beside work that was placed in its stead.
TEST_CASE("a start that is in flight when its target restarts uses capacity until it cannot be carried out")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 1, 20'000);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    target_info info = f.info_of("a");
    info.incarnation = 2;
    f.scheduler.set_target(info, f.now());
    f.add_job("waits", 1, 20'000);
    f.advance(20ms);

    SECTION("the new incarnation does not have the run")
    {
        f.report(a, {}, {}, 2);
        CHECK(f.plan_and_store().empty());
        REQUIRE(f.take_stops().size() == 1);
        f.scheduler.on_stop_answer(a, starts[0].order.task, 1, order_answer{5000}, f.now());
        f.advance(20ms);
        f.report(a, {}, {}, 2);
        CHECK(f.plan_and_store().size() == 1);
    }
    SECTION("the new incarnation has started the run")
    {
        f.report(a, {running(starts[0])}, {}, 2);
        CHECK(f.plan_and_store().empty());
        CHECK(f.take_stops().empty());
        CHECK(f.scheduler.find_job(job_id{"j"})->started());
    }
}

// Guards against work that is placed by the capacity of a target's former incarnation; a new one may be of a
// smaller kind.
TEST_CASE("a restarted target gets no work until its registration shows the new incarnation's capacity")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.advance(20ms);
    f.report(a, {}, {}, 2);
    f.add_job("j", 1, 20'000);
    CHECK(f.plan_and_store().empty());
    f.scheduler.set_target(f.info_of("a"), f.now());
    CHECK(f.plan_and_store().empty());
    target_info info = f.info_of("a");
    info.incarnation = 2;
    info.capacity.milli_cpu = 8000;
    f.scheduler.set_target(info, f.now());
    CHECK(f.plan_and_store().empty());
    f.add_job("small", 1, 8000);
    CHECK(f.plan_and_store().size() == 1);
}

TEST_CASE("a target whose runs exceed its capacity in one kind of resource has no capacity for any task")
{
    target_status t;
    t.info.capacity = {8000, 1024, 0, 0};
    t.used = {8000, 512, 0, 0};
    step_spec backfill;
    backfill.backfill = true;
    backfill.need = {4000, 256, 0, 0};
    CHECK(has_capacity(t, backfill)); // No processor time is reserved for it.
    t.info.capacity.milli_cpu = 4000;
    CHECK_FALSE(has_capacity(t, backfill));
    t.info.capacity = {};
    CHECK_FALSE(has_capacity(t, backfill));
    t.info.capacity = {8000, 1024, 0, 0};
    t.used = {1000, 512, 1, 0};
    step_spec step;
    step.need = {1000, 128, 0, 0};
    CHECK_FALSE(has_capacity(t, step));
}

TEST_CASE("a target without capacity is not chosen and does not affect the choice among others")
{
    target_status empty;
    empty.info.id = target_id{"empty"};
    empty.synced = true;
    target_status used = empty;
    used.info.id = target_id{"used"};
    used.used = {4000, 256, 0, 0};
    target_status sound = empty;
    sound.info.id = target_id{"sound"};
    sound.info.capacity = {8000, 1024, 0, 0};
    step_spec step;
    step.need = {1000, 128, 0, 0};
    placement_request request;
    request.step = &step;
    CHECK(choose_target(request, {&empty, &used, &sound}, timestamp{}) == &sound);
    CHECK(choose_target(request, {&empty, &used}, timestamp{}) == nullptr);
}

// Guards against hosts that count as idle because their target's capacity has shrunk to 0: a maintenance wave
// took them down first, and pools gave them away first, although tasks were running there.
TEST_CASE("a target that uses more than its capacity counts as full")
{
    target_status t;
    CHECK(t.fill_level() == Approx(0.0));
    t.info.capacity = {8000, 1024, 0, 0};
    t.used = {4000, 256, 0, 0};
    CHECK(t.fill_level() == Approx(0.5));
    t.info.capacity = {2000, 1024, 0, 0};
    CHECK(t.fill_level() == Approx(2.0));
    t.info.capacity = {};
    CHECK(t.fill_level() == Approx(1.0));
    t.info.capacity = {8000, 1024, 0, 0};
    t.used = {1000, 64, 1, 0};
    CHECK(t.fill_level() == Approx(1.0));
}

// Guards against a demand of many hosts, and moves to meet it, because of one host whose capacity has shrunk.
TEST_CASE("a host with a temporarily smaller capacity does not distort the demand in hosts")
{
    const resources sound{8000, 1024, 0, 0};
    const resources need{16'000, 512, 0, 0};
    CHECK(hosts_needed(need, {{100, 1024, 0, 0}, sound, sound}) == Approx(2.0));
    CHECK(hosts_needed(need, {{}, sound, sound}) == Approx(2.0));
    CHECK(hosts_needed(need, {sound}) == Approx(2.0));
    CHECK(hosts_needed({0, 0, 4, 0}, {sound, {8000, 1024, 2, 0}, sound}) == Approx(2.0));
    CHECK(hosts_needed(need, {{}, {}}) == Approx(0.0));
    CHECK(hosts_needed(need, {}) == Approx(0.0));
}

TEST_CASE("work that waits for a label or for a place on another target counts as restricted")
{
    scheduler_fixture f;
    f.add_target("a");
    f.add_job("j", 1, 64'000);
    CHECK_FALSE(f.scheduler.demand_of(service_id{"fit"}).restricted);
    SECTION("label")
    {
        f.add_job("k", 1, 2000, [](step_spec& s) { s.required_label = std::string{"b"}; });
    }
    SECTION("number on each target")
    {
        f.add_job("k", 2, 2000, [](step_spec& s) { s.max_per_target = 1; });
    }
    f.plan_and_store();
    CHECK(f.scheduler.demand_of(service_id{"fit"}).restricted);
}
