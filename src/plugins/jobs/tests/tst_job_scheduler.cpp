#include "scheduler_fixture.h"

#include "jobs/job_codec.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// Plays a start without an answer, a report that does not list the run, and a confirmed stop of the run.
void stop_unanswered_start(scheduler_fixture& f, const target_id& target)
{
    f.add_job("j", 1);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    f.scheduler.on_start_answer(target, starts[0].order.task, 1, tl::unexpected{order_errc::no_answer},
                                f.now());
    f.advance(50ms);
    f.report(target, {});
    CHECK(f.plan_and_store().empty());
    REQUIRE(f.take_stops().size() == 1);
    f.scheduler.on_stop_answer(target, starts[0].order.task, 1, order_answer{5000}, f.now());
}

} // namespace

// Guards against a start that a new leader would not know of.
TEST_CASE("a run starts only after it is stored")
{
    scheduler_fixture f;
    f.add_target("a");
    f.add_job("j", 2);
    f.scheduler.plan(f.now());
    CHECK(f.take_starts().empty());
    const std::vector<progress_write> writes = f.scheduler.unstored(10);
    REQUIRE(writes.size() == 1);
    f.scheduler.on_stored(writes, f.now());
    CHECK(f.take_starts().size() == 2);
}

// Guards against an end that its target forgets before it is stored, so that no leader would learn of it.
TEST_CASE("an end is acknowledged to its target only after it is stored")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.report(a, {}, {ended(starts[0], 1, run_end::done)});
    CHECK(f.scheduler.begin_observation(a, f.now().now).ends_acknowledged == 0);
    CHECK_FALSE(f.scheduler.targets().at(a).settled());
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    CHECK(f.scheduler.begin_observation(a, f.now().now).ends_acknowledged == 1);
    CHECK(f.scheduler.targets().at(a).settled());
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::completed);
}

// Guards against tasks that are never started again because observations of an unreachable target keep
// extending its lease.
TEST_CASE("the runs of an unreachable target are discarded when its lease has expired")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts =
        f.run_job("j", 1, 2000, [](step_spec& s) { s.permanent = true; });
    REQUIRE(starts.size() == 1);
    f.report(a, {running(starts[0])});
    const target_id b = f.add_target("b");
    for (int i = 0; i < 40; ++i) {
        f.miss(a);
        f.advance(300ms);
    }
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.id == b);
    CHECK(again[0].order.run == 2);
}

// Guards against two runs of a task at a time: an unreachable target may still run its tasks during its
// lease.
TEST_CASE("the runs of an unreachable target are kept during its lease")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.add_target("b");
    for (int i = 0; i < 10; ++i) {
        f.miss(a);
        f.advance(300ms);
    }
    CHECK(f.plan_and_store().empty());
}

// Guards against a second run of a task beside one whose start is carried out late.
TEST_CASE("an unanswered start is stopped before the task is started again")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    stop_unanswered_start(f, a);
    f.advance(50ms);
    f.report(a, {});
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 1);
    CHECK(again[0].order.run == 2);
}

// Guards against a task that is never started again (rule LOST on a large deployment): a confirmed stop was
// repeated every 300 ms, so that no observation, which waits up to 1 s for an end, fitted between two stops.
TEST_CASE("a stopped run that the target does not list is discarded by the next report")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    stop_unanswered_start(f, a);
    f.advance(1ms);
    const timestamp sent_at = f.now().now;
    CHECK(f.scheduler.begin_observation(a, sent_at).wait == 0ms);
    f.advance(500ms);
    f.advance(500ms);
    CHECK(f.take_stops().empty());
    target_report r;
    r.clock_ms = 5000;
    r.incarnation = 1;
    f.scheduler.on_report(a, r, sent_at, f.now());
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 1);
    CHECK(again[0].order.run == 2);
}

// Guards against a stop that was confirmed but had no effect.
TEST_CASE("a stop is repeated while it is unanswered, and while the target still lists the run")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.scheduler.cancel_job(job_id{"j"}, f.now());
    REQUIRE(f.take_stops().size() == 1);
    f.scheduler.on_stop_answer(a, starts[0].order.task, 1, tl::unexpected{order_errc::no_answer}, f.now());
    f.advance(400ms);
    REQUIRE(f.take_stops().size() == 1);
    f.scheduler.on_stop_answer(a, starts[0].order.task, 1, order_answer{5000}, f.now());
    f.advance(400ms);
    CHECK(f.take_stops().empty());
    f.report(a, {running(starts[0])});
    f.advance(1ms);
    CHECK(f.take_stops().size() == 1);
}

// Guards against the loss of a run that was started although the answer to its start was lost.
TEST_CASE("a run whose start was not answered continues if the target lists it")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 1);
    const std::vector<start_command> starts = f.plan_and_store();
    f.scheduler.on_start_answer(a, starts.at(0).order.task, 1, tl::unexpected{order_errc::no_answer},
                                f.now());
    f.advance(50ms);
    f.report(a, {running(starts[0])});
    CHECK(f.take_stops().empty());
    CHECK(f.scheduler.find_job(job_id{"j"})->started());
}

TEST_CASE("a task that has used up its attempts fails its job and stops the others")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_target("b");
    f.add_job("j", 2);
    std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 2);
    f.confirm(starts[0]);
    f.confirm(starts[1]);
    f.report(a, {running(starts[1])}, {ended(starts[0], 1, run_end::failed)});
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::pending);
    f.advance(100ms);
    starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].target.id == target_id{"b"});
    f.confirm(starts[0]);
    f.report(target_id{"b"}, {}, {ended(starts[0], 1, run_end::failed)});
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::failed);
    CHECK(f.take_stops().size() == 1);
}

// Guards against a job that fails early because its queue is removed for a while.
TEST_CASE("a job whose queue is removed keeps the attempts with which it was accepted")
{
    scheduler_fixture f;
    f.add_target("a");
    f.add_target("b");
    job_record record = f.record_of("j", 1);
    record.max_attempts = 4;
    f.scheduler.add_job(record, f.now());
    f.scheduler.set_config(std::make_shared<fleet_config>());
    std::map<target_id, std::uint64_t> ends;
    for (int attempt = 1; attempt <= 4; ++attempt) {
        CHECK(f.scheduler.find_job(job_id{"j"})->state() != job_state::failed);
        f.advance(3s);
        const std::vector<start_command> starts = f.plan_and_store();
        REQUIRE(starts.size() == 1);
        f.confirm(starts[0]);
        f.report(starts[0].target.id, {}, {ended(starts[0], ++ends[starts[0].target.id], run_end::failed)});
    }
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::failed);
}

TEST_CASE("the number of attempts that a queue has at present holds for all its jobs")
{
    const std::uint32_t accepted_with = GENERATE(1U, 4U);
    scheduler_fixture f; // Its queue has two attempts.
    f.add_target("a");
    f.add_target("b");
    job_record record = f.record_of("j", 1);
    record.max_attempts = accepted_with;
    f.scheduler.add_job(record, f.now());
    for (int attempt = 1; attempt <= 2; ++attempt) {
        CHECK(f.scheduler.find_job(job_id{"j"})->state() != job_state::failed);
        f.advance(3s);
        const std::vector<start_command> starts = f.plan_and_store();
        REQUIRE(starts.size() == 1);
        f.confirm(starts[0]);
        f.report(starts[0].target.id, {}, {ended(starts[0], 1, run_end::failed)});
    }
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::failed);
}

TEST_CASE("a cancelled job stops its runs and starts none")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 30, 4000);
    REQUIRE(starts.size() == 8);
    f.scheduler.cancel_job(job_id{"j"}, f.now());
    CHECK(f.take_stops().size() == 8);
    std::vector<listed_end> ends;
    for (std::size_t i = 0; i < starts.size(); ++i)
        ends.push_back(ended(starts[i], i + 1, run_end::stopped));
    f.report(a, {}, ends);
    CHECK(f.plan_and_store().empty());
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::cancelled);
}

// Guards against a start that leaves after its job was cancelled (rule UNASKED).
TEST_CASE("a start that waits to be sent is withdrawn when its job is cancelled")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 2);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    f.scheduler.cancel_job(job_id{"j"}, f.now());
    CHECK(f.take_starts().empty());
    CHECK(f.take_stops().empty());
    CHECK(f.scheduler.targets().at(a).runs.empty());
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::cancelled);
}

// Guards against a start that leaves after the views on which it was planned have become too old.
TEST_CASE("a start that waits to be sent is withdrawn when the views are too old")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 2);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(1000), f.now());
    const scheduler_time planned = f.now();
    const scheduler_time late{planned.now + 3s, planned.unix_ms + 3000};
    CHECK(f.take_starts(late).empty());
    CHECK(f.scheduler.targets().at(a).runs.empty());
    CHECK(f.scheduler.find_job(job_id{"j"})->at({0, 0, 0}).last_run == 1);

    f.advance(3s);
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 2);
    CHECK(again[0].order.run == 2);
}

TEST_CASE("a team runs no more than its cap")
{
    scheduler_fixture f;
    for (const char* name : {"a", "b", "c", "d", "e"})
        f.add_target(name);
    f.add_job("j", 80, 2000);
    CHECK(f.plan_and_store().size() == 50);
}

TEST_CASE("a target is not filled beyond its capacity, nor with more of a step than allowed")
{
    scheduler_fixture f;
    f.add_target("a");
    f.add_job("wide", 20, 5000);
    CHECK(f.plan_and_store().size() == 6);
    scheduler_fixture g;
    g.add_target("a");
    g.add_target("b");
    g.add_job("apart", 6, 1000, [](step_spec& s) { s.max_per_target = 1; });
    CHECK(g.plan_and_store().size() == 2);
}

TEST_CASE("steps wait for the steps before them, across a change of leader")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    job_record record = f.record_of("j", 1);
    record.spec.steps.push_back(record.spec.steps.front());
    record.spec.steps.back().after = {0};
    f.scheduler.add_job(record, f.now());
    const std::vector<start_command> first = f.plan_and_store();
    REQUIRE(first.size() == 1);
    f.confirm(first[0]);
    f.report(a, {}, {ended(first[0], 1, run_end::done)});
    const std::vector<start_command> second = f.plan_and_store();
    REQUIRE(second.size() == 1);
    CHECK(second[0].order.task.position.step == 1);

    const std::string text = encode_progress(*f.scheduler.find_job(job_id{"j"}));
    scheduler_fixture g;
    REQUIRE(g.scheduler.restore_job(record, text, g.now()));
    g.add_target("a");
    // The target has answered the new leader and does not list the run, so it never received the start.
    g.advance(20ms);
    const std::vector<start_command> again = g.plan_and_store();
    REQUIRE(again.size() == 1);
    CHECK(again[0].order.task == second[0].order.task);
    CHECK(again[0].order.run == 2);
}

TEST_CASE("a restored run of an unreachable target is kept until the longest possible lease has expired")
{
    scheduler_fixture f;
    f.add_target("a");
    f.add_job("j", 1);
    static_cast<void>(f.plan_and_store());
    const std::string text = encode_progress(*f.scheduler.find_job(job_id{"j"}));

    scheduler_fixture g;
    REQUIRE(g.scheduler.restore_job(g.record_of("j", 1), text, g.now()));
    g.scheduler.set_target(g.info_of("a"), g.now());
    g.add_target("b");
    g.miss(target_id{"a"});
    g.miss(target_id{"a"});
    g.advance(5900ms);
    CHECK(g.plan_and_store().empty());
    g.advance(700ms);
    CHECK(g.plan_and_store().size() == 1);
}

TEST_CASE("the runs of a restarted target are discarded")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.advance(20ms);
    f.report(a, {}, {}, 2);
    CHECK(f.scheduler.targets().at(a).runs.empty());
    target_info info = f.info_of("a");
    info.incarnation = 2;
    f.scheduler.set_target(info, f.now());
    CHECK(f.plan_and_store().size() == 1);
}

TEST_CASE("a listed run that belongs to no known task is stopped")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    listed_run stray;
    stray.task = {job_id{"gone"}, {0, 0, 0}};
    stray.run = 3;
    f.report(a, {stray});
    const std::vector<stop_command> stops = f.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].run == 3);
}

TEST_CASE("the scheduler is superseded once a target has fenced an order")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 1);
    const std::vector<start_command> starts = f.plan_and_store();
    CHECK_FALSE(f.scheduler.superseded());
    f.scheduler.on_start_answer(a, starts.at(0).order.task, 1, tl::unexpected{order_errc::fenced}, f.now());
    CHECK(f.scheduler.superseded());
}

// Guards against taking down two hosts at once with two tasks of a step that allows one unavailable task.
TEST_CASE("hosts that are about to go down count against a step's limit of unavailable tasks")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const target_id b = f.add_target("b");
    f.add_job("serving", 2, 2000, [](step_spec& s) {
        s.permanent = true;
        s.max_unavailable = 1;
        s.max_per_target = 1;
    });
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 2);
    for (const start_command& s : starts) {
        f.confirm(s);
        f.advance(5ms);
        f.report(s.target.id, {running(s)});
    }
    CHECK(f.scheduler.can_lose(a));
    CHECK(f.scheduler.can_lose(b));
    f.scheduler.set_leaving(a, true);
    CHECK_FALSE(f.scheduler.can_lose(b));
    f.scheduler.set_leaving(a, false);
    CHECK(f.scheduler.can_lose(b));
    f.scheduler.on_host_order_confirmed(a, f.now());
    CHECK_FALSE(f.scheduler.can_lose(b));
}

// Guards against a second run of a task beside the first: the platform also confirms a host order that an
// earlier leader gave long ago, after which the target runs again.
TEST_CASE("runs on a host with a confirmed order are discarded by proof only, not by silence of the target")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.advance(5ms);
    f.report(a, {running(starts[0])});
    f.add_target("b");
    f.scheduler.on_host_order_confirmed(a, f.now());
    f.advance(5ms);
    f.report(a, {running(starts[0])});
    CHECK(f.plan_and_store().empty());
    f.scheduler.on_host_order_confirmed(a, f.now());
    for (int i = 0; i < 3; ++i) {
        f.advance(5ms);
        f.miss(a);
        CHECK(f.plan_and_store().empty());
    }
    std::vector<start_command> again;
    SECTION("the platform lists the host as down")
    {
        f.scheduler.on_host_taken_down(a, f.now());
        again = f.plan_and_store();
    }
    SECTION("the host has a new target")
    {
        target_info successor = f.info_of("c");
        successor.host = f.info_of("a").host;
        successor.incarnation = 2;
        f.scheduler.set_target(successor, f.now());
        again = f.plan_and_store();
    }
    SECTION("the lease is over")
    {
        f.advance(7s);
        f.report(target_id{"b"}, {});
        again = f.plan_and_store();
    }
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.id == target_id{"b"});
}

TEST_CASE("permanent tasks leave a draining target")
{
    scheduler_fixture f;
    f.add_target("a");
    const std::vector<start_command> starts =
        f.run_job("serving", 1, 2000, [](step_spec& s) { s.permanent = true; });
    REQUIRE(starts.size() == 1);
    target_info info = f.info_of("a");
    info.state = target_state::draining;
    f.scheduler.set_target(info, f.now());
    f.advance(20ms);
    CHECK(f.take_stops().size() == 1);
    f.add_job("batch", 1);
    CHECK(f.plan_and_store().empty());
}

// Guards against a job that fails too early because a target repeats the end of a failed run to a new leader.
TEST_CASE("an end that an earlier leader has counted is not counted again")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.report(a, {}, {ended(starts[0], 1, run_end::failed)});
    const std::string text = encode_progress(*f.scheduler.find_job(job_id{"j"}));

    scheduler_fixture g;
    REQUIRE(g.scheduler.restore_job(g.record_of("j", 1), text, g.now()));
    g.scheduler.set_target(g.info_of("a"), g.now());
    g.report(a, {}, {ended(starts[0], 1, run_end::failed)});
    CHECK(g.scheduler.find_job(job_id{"j"})->at({0, 0, 0}).failures == 1);
    CHECK_FALSE(is_final(g.scheduler.find_job(job_id{"j"})->state()));
}

// Guards against ends that are lost because those of a new incarnation, whose sequence numbers start at 1
// again, are taken for ends of the previous one.
TEST_CASE("the ends of a target that discovery reports as restarted are handled")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 2);
    std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 2);
    for (const start_command& s : starts)
        f.confirm(s);
    f.report(a, {running(starts[1])}, {ended(starts[0], 1, run_end::done)});
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());

    target_info info = f.info_of("a");
    info.incarnation = 2;
    f.scheduler.set_target(info, f.now());
    f.report(a, {}, {}, 2);
    starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    f.confirm(starts[0]);
    f.advance(5ms);
    f.report(a, {}, {ended(starts[0], 1, run_end::done)}, 2);
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::completed);
}

// Guards against jobs that wait for stalled tasks on targets that report as healthy: when 7% of the targets
// stalled for 5 s, half of all jobs of ten tasks were delayed.
TEST_CASE("a stalled task moves to another target once the step's other tasks are done")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 4);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 4);
    for (const start_command& s : starts) {
        REQUIRE(s.target.id == a);
        f.confirm(s);
    }
    const target_id b = f.add_target("b");
    f.advance(1s);
    std::vector<listed_end> ends;
    for (std::size_t i = 0; i < 3; ++i)
        ends.push_back(ended(starts[i], i + 1, run_end::done));
    f.report(a, {running(starts[3])}, ends);
    f.advance(700ms);
    f.report(a, {running(starts[3])});
    CHECK(f.take_stops().empty());
    f.advance(400ms);
    f.report(a, {running(starts[3])});
    const std::vector<stop_command> stops = f.take_stops();
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].task == starts[3].order.task);
    f.report(a, {}, {ended(starts[3], 4, run_end::stopped)});
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.id == b);

    // It does not move a second time.
    f.confirm(again[0]);
    f.report(b, {running(again[0])});
    f.advance(5s);
    f.report(b, {running(again[0])});
    CHECK(f.take_stops().empty());
}

// Guards against a new leader that underestimates the run time of a step, because it has seen only the rest
// of the runs that an earlier leader started, and so moves tasks that are not stalled. In an incident, 12
// targets were avoided within 3 s of a change of leader.
TEST_CASE("runs that an earlier leader started do not count for the run time of a step")
{
    scheduler_fixture before;
    before.add_target("a");
    before.add_job("j", 4);
    const std::vector<start_command> starts = before.plan_and_store();
    REQUIRE(starts.size() == 4);
    const std::string progress = encode_progress(*before.scheduler.find_job(job_id{"j"}));

    scheduler_fixture f;
    REQUIRE(f.scheduler.restore_job(f.record_of("j", 4), progress, f.now()));
    const target_id a{"a"};
    f.scheduler.set_target(f.info_of("a"), f.now());
    std::vector<listed_run> all;
    all.reserve(starts.size());
    for (const start_command& s : starts)
        all.push_back(running(s));
    f.report(a, all);
    f.add_target("b");
    f.advance(100ms);
    std::vector<listed_end> ends;
    for (std::size_t i = 0; i < 3; ++i)
        ends.push_back(ended(starts[i], i + 1, run_end::done));
    f.report(a, {running(starts[3])}, ends);
    f.advance(1s);
    f.report(a, {running(starts[3])});
    CHECK(f.take_stops().empty());
}

// Guards against restarts of tasks that take longer than declared on every target.
TEST_CASE("a slow task is not moved if all tasks of its step are slow, or if no other target is available")
{
    scheduler_fixture f;
    f.add_target("a");
    f.add_target("b");
    const std::vector<start_command> starts = f.run_job("long", 4);
    REQUIRE(starts.size() == 4);
    f.advance(4s);
    std::map<target_id, std::vector<listed_run>> by_target;
    for (const start_command& s : starts)
        by_target[s.target.id].push_back(running(s));
    for (const auto& [id, runs] : by_target)
        f.report(id, runs);
    CHECK(f.take_stops().empty());

    scheduler_fixture g;
    const target_id only = g.add_target("only");
    const std::vector<start_command> pair = g.run_job("j", 2);
    REQUIRE(pair.size() == 2);
    g.advance(1s);
    g.report(only, {running(pair[1])}, {ended(pair[0], 1, run_end::done)});
    g.advance(4s);
    g.report(only, {running(pair[1])});
    CHECK(g.take_stops().empty());
}

// In an overload, the scheduler skips the search for a target if a smaller need has already found none.
// Guards against skipping searches that would succeed.
TEST_CASE("a task without a target does not keep smaller tasks or tasks with other conditions from starting")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const target_id b = f.add_target("b");
    f.add_job("fills", 2, 27'000);
    REQUIRE(f.plan_and_store().size() == 2); // 5 cores are left on each target
    f.add_job("wide", 1, 9000);
    f.add_job("labelled", 1, 1000, [](step_spec& s) { s.required_label = "none-has-it"; });
    f.add_job("memory", 1, 1000, [](step_spec& s) { s.need.memory_mib = 1'000'000; });
    f.add_job("small", 3, 4000);
    std::set<job_id> started;
    for (const start_command& s : f.plan_and_store())
        started.insert(s.order.task.job);
    CHECK(started == std::set<job_id>{job_id{"small"}});
    CHECK(f.scheduler.targets().at(a).used.milli_cpu + f.scheduler.targets().at(b).used.milli_cpu == 62'000);
}

TEST_CASE("a job that has become late no longer delays one that can be in time")
{
    // Guards against waiting jobs that keep the rank with which they were queued.
    scheduler_fixture f;
    const target_id t = f.add_target("t");
    const std::vector<start_command> all = f.run_job("fills", 16);
    REQUIRE(all.size() == 16);
    const job_id old = f.add_job("a-old", 16);
    CHECK(f.plan_and_store().empty());
    f.advance(std::chrono::seconds{30});
    const job_id fresh = f.add_job("b-fresh", 16);
    CHECK(f.plan_and_store().empty());
    std::vector<listed_end> ends;
    ends.reserve(all.size());
    for (const start_command& s : all)
        ends.push_back(ended(s, ends.size() + 1, run_end::done));
    f.report(t, {}, ends);
    const std::vector<start_command> next = f.plan_and_store();
    REQUIRE(next.size() == 16);
    for (const start_command& s : next)
        CHECK(s.order.task.job == fresh);
    CHECK(f.scheduler.find_job(old)->active_runs() == 0);
}

TEST_CASE("a heartbeat that changes nothing causes no planning, and a change of a target does")
{
    // Guards against a planning pass for each of the targets' registrations.
    scheduler_fixture f;
    f.add_target("t");
    f.run_job("fills", 16);
    f.add_job("waits", 1);
    CHECK(f.plan_and_store().empty());
    f.scheduler.set_target(f.info_of("t"), f.now());
    CHECK_FALSE(f.scheduler.planning_needed());
    target_info larger = f.info_of("t");
    larger.capacity.milli_cpu *= 2;
    f.scheduler.set_target(larger, f.now());
    CHECK(f.scheduler.planning_needed());
    CHECK(f.plan_and_store().size() == 1);
}
