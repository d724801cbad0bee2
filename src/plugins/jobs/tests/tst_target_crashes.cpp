#include "jobs/crash_history.h"
#include "jobs/job_codec.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

void add_targets(scheduler_fixture& f, const std::vector<std::string>& names)
{
    for (const std::string& name : names)
        f.add_target(name);
}

/// Plays that the target's address is answered by another target.
void crash(scheduler_fixture& f, const target_id& target)
{
    const timestamp sent_at = f.now().now;
    static_cast<void>(f.scheduler.begin_observation(target, sent_at));
    f.scheduler.on_report(target, tl::unexpected{order_errc::other_instance}, sent_at, f.now());
}

/// Confirms the starts that are due and returns them.
std::vector<start_command> start_all(scheduler_fixture& f)
{
    f.advance(100ms);
    std::vector<start_command> starts = f.plan_and_store();
    for (const start_command& s : starts)
        f.confirm(s);
    return starts;
}

/// Plays that the target has crashed, is registered again under its id, and reports.
void restart(scheduler_fixture& f, const std::string& name, target_incarnation born)
{
    f.advance(1ms);
    f.report(target_id{name}, {}, {}, born);
    target_info info = f.info_of(name);
    info.incarnation = born;
    f.scheduler.set_target(info, f.now());
}

std::vector<start_command> starts_of(const std::vector<start_command>& starts, const std::string& job)
{
    std::vector<start_command> out;
    std::copy_if(starts.begin(), starts.end(), std::back_inserter(out),
                 [&job](const start_command& s) { return s.order.task.job == job_id{job}; });
    return out;
}

/// Reports that the target has been running these runs for longer than the probation time.
void pass_probation(scheduler_fixture& f, const target_id& target, const std::vector<start_command>& starts)
{
    f.advance(600ms);
    std::vector<listed_run> runs;
    std::transform(starts.begin(), starts.end(), std::back_inserter(runs), running);
    f.report(target, runs);
}

void lose_in_silence(scheduler_fixture& f, const target_id& target)
{
    for (int i = 0; i < 30 && f.scheduler.targets().contains(target); ++i) {
        f.miss(target);
        f.advance(300ms);
    }
}

crash_history history_of(const scheduler_fixture& f, const std::string& job, std::uint32_t index = 0)
{
    return f.scheduler.find_job(job_id{job})->at({0, 0, index}).crashes;
}

} // namespace

TEST_CASE("a task that crashes target after target is given up, and the tasks beside it are not")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b", "c", "d", "e", "f", "g", "h"});
    f.add_job("bad", 1);
    f.add_job("good", 3);
    int crashes = 0;
    while (!is_final(f.scheduler.find_job(job_id{"bad"})->state()) && crashes < 6) {
        const std::vector<start_command> bad = starts_of(start_all(f), "bad");
        REQUIRE(bad.size() == 1);
        crash(f, bad[0].target.id);
        ++crashes;
    }
    CHECK(crashes == 3);
    CHECK(f.scheduler.find_job(job_id{"bad"})->state() == job_state::failed);
    CHECK(f.scheduler.find_job(job_id{"good"})->state() != job_state::failed);
    CHECK(start_all(f).empty());
    CHECK(history_of(f, "good").attributed == 0);
}

TEST_CASE("a failure caused by crashes is shown only when the store has it")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b", "c", "d"});
    f.add_job("bad", 1);
    for (int i = 0; i < 3; ++i) {
        const std::vector<start_command> starts = start_all(f);
        REQUIRE(starts.size() == 1);
        crash(f, starts[0].target.id);
    }
    const job& bad = *f.scheduler.find_job(job_id{"bad"});
    CHECK(bad.state() == job_state::failed);
    CHECK(bad.shown_state() == job_state::running);
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    CHECK(bad.shown_state() == job_state::failed);
}

TEST_CASE("tasks that were lost in one crash are not placed on one target again")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b", "c", "d"});
    f.add_job("j", 3);
    const std::vector<start_command> first = start_all(f);
    REQUIRE(first.size() == 3);
    REQUIRE(first[0].target.id == first[2].target.id);
    crash(f, first[0].target.id);
    const std::vector<start_command> second = start_all(f);
    REQUIRE(second.size() == 3);
    CHECK(second[0].target.id != second[1].target.id);
    CHECK(second[0].target.id != second[2].target.id);
    CHECK(second[1].target.id != second[2].target.id);
}

TEST_CASE("no other run starts beside an isolated one during its probation")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b", "c"});
    f.add_job("bad", 1);
    const std::vector<start_command> first = start_all(f);
    REQUIRE(first.size() == 1);
    crash(f, first[0].target.id);
    const std::vector<start_command> second = start_all(f);
    REQUIRE(second.size() == 1);
    const target_id alone = second[0].target.id;
    f.add_job("other", 20);
    for (const start_command& s : start_all(f))
        CHECK(s.target.id != alone);

    pass_probation(f, alone, second);
    CHECK(history_of(f, "bad").empty());
    f.add_job("more", 4);
    bool used = false;
    for (const start_command& s : start_all(f))
        used = used || s.target.id == alone;
    CHECK(used);
}

TEST_CASE("a crash accuses no task that had been at work for the probation time")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b"});
    const std::vector<start_command> old_runs = f.run_job("old", 2);
    REQUIRE(old_runs.size() == 2);
    pass_probation(f, old_runs[0].target.id, old_runs);
    f.add_job("new", 1);
    const std::vector<start_command> fresh = start_all(f);
    REQUIRE(fresh.size() == 1);
    REQUIRE(fresh[0].target.id == old_runs[0].target.id);
    crash(f, fresh[0].target.id);
    CHECK(history_of(f, "old", 0).empty());
    CHECK(history_of(f, "old", 1).empty());
    CHECK(history_of(f, "new") == crash_history{1, 1, 0});
}

TEST_CASE("a target that was only silent accuses no task")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    lose_in_silence(f, target_id{"a"});
    CHECK(history_of(f, "j") == crash_history{0, 0, 1});
    f.report(target_id{"a"}, {});
    CHECK(history_of(f, "j").empty());
    CHECK(f.scheduler.find_job(job_id{"j"})->state() != job_state::failed);
}

TEST_CASE("targets that stay silent never fail a job")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b", "c", "d", "e", "f", "g", "h"});
    f.add_job("j", 1);
    for (int i = 0; i < 8; ++i) {
        f.advance(crash_settings{}.resolution_wait);
        const std::vector<start_command> starts = start_all(f);
        REQUIRE(starts.size() == 1);
        lose_in_silence(f, starts[0].target.id);
    }
    CHECK_FALSE(is_final(f.scheduler.find_job(job_id{"j"})->state()));
}

TEST_CASE("a crash that shows only after the lease of the target has run out is counted")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    REQUIRE(f.run_job("j", 1).size() == 1);
    SECTION("the target restarts under its id")
    {
        lose_in_silence(f, target_id{"a"});
        f.report(target_id{"a"}, {}, {}, 2);
    }
    target_info successor = f.info_of("a2");
    successor.host = "host-a";
    successor.incarnation = 2;
    SECTION("its host has a new target")
    {
        f.scheduler.unlist_target(target_id{"a"}, f.now());
        lose_in_silence(f, target_id{"a"});
        f.scheduler.set_target(successor, f.now());
    }
    SECTION("its host has had a new target since before the lease ran out")
    {
        f.scheduler.unlist_target(target_id{"a"}, f.now());
        f.scheduler.set_target(successor, f.now());
        lose_in_silence(f, target_id{"a"});
    }
    CHECK(history_of(f, "j") == crash_history{1, 0, 0});
}

TEST_CASE("the end of a target that was expected accuses no task")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    REQUIRE(f.run_job("j", 1).size() == 1);
    SECTION("it was draining")
    {
        target_info info = f.info_of("a");
        info.state = target_state::draining;
        f.scheduler.set_target(info, f.now());
        info.state = target_state::ready;
        info.incarnation = 2;
        f.scheduler.set_target(info, f.now());
        f.advance(1ms);
        f.report(target_id{"a"}, {}, {}, 2);
    }
    SECTION("its host was ordered down")
    {
        f.scheduler.set_leaving(target_id{"a"}, true);
        crash(f, target_id{"a"});
    }
    CHECK(f.scheduler.find_job(job_id{"j"})->active_runs() == 0);
    CHECK(history_of(f, "j").empty());
}

TEST_CASE("crashes of a host that crashes again and again are not attributed to its tasks")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    f.add_job("first", 2);
    REQUIRE(start_all(f).size() == 2);
    restart(f, "a", 2); // Two suspects, so that the host is distrusted from now on.
    f.scheduler.cancel_job(job_id{"first"}, f.now());
    f.add_job("second", 1);
    for (target_incarnation born = 3; born < 6; ++born) {
        REQUIRE(start_all(f).size() == 1);
        restart(f, "a", born);
        CHECK(history_of(f, "second").attributed == 0);
    }
    CHECK(history_of(f, "second").crashes == 3);
    CHECK_FALSE(is_final(f.scheduler.find_job(job_id{"second"})->state()));
}

TEST_CASE("the crash history of a task survives a change of leader")
{
    scheduler_fixture f;
    add_targets(f, {"a", "b", "c"});
    f.add_job("bad", 1);
    const std::vector<start_command> starts = start_all(f);
    REQUIRE(starts.size() == 1);
    crash(f, starts[0].target.id);
    const std::vector<progress_write> stored = f.scheduler.unstored(10);
    REQUIRE(stored.size() == 1);

    scheduler_fixture next;
    add_targets(next, {"d", "e"});
    REQUIRE(next.scheduler.restore_job(next.record_of("bad", 1), stored[0].text, next.now()));
    CHECK(history_of(next, "bad") == crash_history{1, 1, 0});
    for (int i = 0; i < 2; ++i) {
        const std::vector<start_command> again = start_all(next);
        REQUIRE(again.size() == 1);
        crash(next, again[0].target.id);
    }
    CHECK(next.scheduler.find_job(job_id{"bad"})->state() == job_state::failed);
}

TEST_CASE("a crash during a change of leader is counted by the next leader")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    f.add_job("j", 1);
    f.scheduler.plan(f.now());
    const std::vector<progress_write> stored = f.scheduler.unstored(10);
    REQUIRE(stored.size() == 1);

    scheduler_fixture next;
    target_info info = next.info_of("a");
    info.incarnation = 2;
    const bool target_first = GENERATE(true, false);
    if (target_first)
        next.scheduler.set_target(info, next.now());
    REQUIRE(next.scheduler.restore_job(next.record_of("j", 1), stored[0].text, next.now()));
    if (!target_first)
        next.scheduler.set_target(info, next.now());
    next.report(target_id{"a"}, {}, {}, 2);
    CHECK(history_of(next, "j") == crash_history{1, 0, 0});
}

TEST_CASE("a job is given up for attributed crashes or for many starts with at least two crashes")
{
    const crash_settings settings;
    CHECK_FALSE(exceeds_limit({1, 1, 0}, settings));
    CHECK_FALSE(exceeds_limit({2, 2, 0}, settings));
    CHECK(exceeds_limit({3, 2, 0}, settings));
    CHECK_FALSE(exceeds_limit({3, 1, 0}, settings));
    CHECK(exceeds_limit({4, 0, 0}, settings));
    CHECK(exceeds_limit({2, 0, 2}, settings));
    CHECK_FALSE(exceeds_limit({1, 0, 9}, settings));
}

TEST_CASE("a crash under a start without an answer is counted when the target returns under its id")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    f.add_job("j", 1);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    f.scheduler.on_start_answer(target_id{"a"}, starts[0].order.task, 1,
                                tl::unexpected{order_errc::no_answer}, f.now());
    restart(f, "a", 2);
    CHECK(history_of(f, "j") == crash_history{1, 1, 0});
}

TEST_CASE("a start that reaches another target accuses no task")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    f.add_job("j", 1);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 1);
    f.scheduler.on_start_answer(target_id{"a"}, starts[0].order.task, 1,
                                tl::unexpected{order_errc::other_instance}, f.now());
    CHECK(f.scheduler.find_job(job_id{"j"})->active_runs() == 0);
    CHECK(history_of(f, "j").empty());
}

TEST_CASE("repeated crashes of one host under one task are not attributed to the task")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    f.add_job("j", 1);
    for (target_incarnation born = 2; born < 5; ++born) {
        REQUIRE(start_all(f).size() == 1);
        restart(f, "a", born);
        CHECK(history_of(f, "j").attributed == 1);
    }
    CHECK_FALSE(is_final(f.scheduler.find_job(job_id{"j"})->state()));
}

TEST_CASE("a permanent task that was at work for long is no suspect after a change of leader")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    const std::vector<start_command> starts =
        f.run_job("j", 1, 2000, [](step_spec& s) { s.permanent = true; });
    REQUIRE(starts.size() == 1);
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    pass_probation(f, target_id{"a"}, starts);
    const std::vector<progress_write> stored = f.scheduler.unstored(10);
    REQUIRE(stored.size() == 1);

    scheduler_fixture next;
    const bool target_known = GENERATE(true, false);
    if (target_known)
        add_targets(next, {"a"});
    job_record record = next.record_of("j", 1);
    record.spec.steps.front().permanent = true;
    REQUIRE(next.scheduler.restore_job(record, stored[0].text, next.now()));
    if (target_known)
        crash(next, target_id{"a"});
    else
        next.advance(7s);
    CHECK(next.scheduler.find_job(job_id{"j"})->active_runs() == 0);
    CHECK(history_of(next, "j").empty());
}

TEST_CASE("isolated tasks without a place do not keep others from starting")
{
    scheduler_fixture f;
    const auto set_capacity = [&f](const std::string& name, std::int64_t milli_cpu) {
        target_info info = f.info_of(name);
        info.capacity.milli_cpu = milli_cpu;
        f.scheduler.set_target(info, f.now());
    };
    for (const std::string name : {"e", "f"}) {
        set_capacity(name, 31'000);
        f.report(target_id{name}, {});
        pass_probation(f, target_id{name}, f.run_job("filler-" + name, 1, 20'000));
    }
    add_targets(f, {"a", "b", "c"});
    f.add_job("large", 1, 30'000);
    const std::vector<start_command> large = start_all(f);
    REQUIRE(large.size() == 1);
    crash(f, large[0].target.id);
    f.add_job("small", 1, 12'000);
    const std::vector<start_command> both = start_all(f);
    REQUIRE(both.size() == 2);
    crash(f, both[0].target.id);
    crash(f, both[1].target.id);
    // Now both have run alone on a target that crashed, and the targets that are left fit only the small one.
    set_capacity("e", 33'000);
    set_capacity("f", 33'000);
    std::vector<start_command> started;
    for (int i = 0; i < 30 && started.empty(); ++i)
        started = start_all(f);
    REQUIRE(started.size() == 1);
    CHECK(started[0].order.task.job == job_id{"small"});
}

TEST_CASE("a crash of a target that takes no new work, but was not ordered down, is counted")
{
    scheduler_fixture f;
    add_targets(f, {"a"});
    REQUIRE(f.run_job("j", 1).size() == 1);
    f.scheduler.set_cordons({{"host-a"}, {}, {}});
    crash(f, target_id{"a"});
    CHECK(history_of(f, "j") == crash_history{1, 1, 0});
}

// Guards against tasks that wait without an end since another suspected task, whose step may have only one
// task on each target, finds no place.
TEST_CASE("a suspected task that its step's own conditions keep waiting doesn't hold up others")
{
    const std::string wide = GENERATE(as<std::string>{}, "a", "z");
    CAPTURE(wide);
    scheduler_fixture f;
    add_targets(f, {"a", "b"});
    const auto lasting = [](step_spec& s) {
        s.permanent = true;
        s.max_per_target = 1;
    };
    std::vector<start_command> starts = f.run_job(wide, 2, 2000, lasting);
    const std::vector<start_command> narrow = f.run_job("narrow", 1, 2000, lasting);
    REQUIRE(starts.size() == 2);
    REQUIRE(narrow.size() == 1);
    const target_id lost = narrow[0].target.id;
    const start_command& stays = starts[0].target.id == lost ? starts[1] : starts[0];
    for (int i = 0; i < 30 && starts_of(start_all(f), "narrow").empty(); ++i) {
        f.miss(lost);
        f.report(stays.target.id, {running(stays)});
        f.advance(300ms);
    }
    CHECK(f.scheduler.find_job(job_id{"narrow"})->active_runs() == 1);
    REQUIRE(f.scheduler.find_job(job_id{"narrow"})->at({0, 0, 0}).run);
    CHECK(f.scheduler.find_job(job_id{"narrow"})->at({0, 0, 0}).run->target == stays.target.id);
}
