#include "jobs/job_codec.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t task_cpu = 10'000; ///< Ten such tasks use up the team's cap.

/// Takes a job over as a new leader does.
void take_over(scheduler_fixture& f, const job_record& record, const std::string& progress, bool cancelled)
{
    if (const std::optional<job_state> state = decode_settled_state(progress))
        f.scheduler.restore_finished(record.id, *state);
    else
        REQUIRE(f.scheduler.restore_job(record, progress, f.now()));
    if (cancelled)
        f.scheduler.cancel_job(record.id, f.now());
}

std::string stored_progress(scheduler_fixture& f)
{
    const std::vector<progress_write> writes = f.scheduler.unstored(10);
    REQUIRE(writes.size() == 1);
    f.scheduler.on_stored(writes, f.now());
    return writes.front().text;
}

enum class ending { failed, given_up, cancelled };

/// Ends a job of ten tasks, of which nine or ten still run on the targets "a" to "d".
std::string end_job(scheduler_fixture& f, ending how)
{
    for (const std::string name : {"a", "b", "c", "d"})
        f.add_target(name);
    const std::vector<start_command> starts = f.run_job("j", 10, task_cpu);
    REQUIRE(starts.size() == 10);
    if (how == ending::cancelled) {
        f.scheduler.cancel_job(job_id{"j"}, f.now());
        return stored_progress(f);
    }
    std::map<target_id, std::vector<listed_run>> others;
    for (std::size_t n = 0; n < starts.size(); ++n)
        others[starts[n].target.id];
    for (std::size_t n = 1; n < starts.size(); ++n)
        others[starts[n].target.id].push_back(running(starts[n]));
    if (how == ending::failed) {
        start_command failing = starts[0];
        for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
            const target_id on = failing.target.id;
            f.report(on, others[on], {ended(failing, sequence, run_end::failed)});
            f.advance(200ms);
            const std::vector<start_command> again = f.plan_and_store();
            if (sequence == 2)
                break;
            REQUIRE(again.size() == 1);
            REQUIRE(again[0].target.id != on);
            failing = again[0];
            f.confirm(failing);
            if (others[failing.target.id].empty())
                others[failing.target.id];
        }
    } else {
        for (int crashes = 0; crashes < 8; ++crashes) {
            const job& j = *f.scheduler.find_job(job_id{"j"});
            if (is_final(j.state()) || !j.at({}).run)
                break;
            const target_id on = j.at({}).run->target;
            static_cast<void>(f.scheduler.begin_observation(on, f.now().now));
            f.scheduler.on_report(on, tl::unexpected{order_errc::other_instance}, f.now().now, f.now());
            f.add_target("next" + std::to_string(crashes));
            for (int n = 0; n < 10; ++n) {
                f.advance(100ms);
                for (const start_command& s : f.plan_and_store())
                    f.confirm(s);
            }
        }
    }
    REQUIRE(f.scheduler.find_job(job_id{"j"})->state() == job_state::failed);
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    return encode_progress(*f.scheduler.find_job(job_id{"j"}));
}

} // namespace

TEST_CASE("a new leader counts and stops the runs of a job that has ended")
{
    // Guards against a team that runs more than its cap, since the runs of an ended job were forgotten.
    const ending how = GENERATE(ending::failed, ending::given_up, ending::cancelled);
    scheduler_fixture f;
    const std::string progress = end_job(f, how);
    const std::size_t left = f.scheduler.find_job(job_id{"j"})->active_runs();
    REQUIRE(left >= 1);

    scheduler_fixture next;
    const bool target_first = GENERATE(true, false);
    if (target_first)
        next.add_target("free");
    take_over(next, next.record_of("j", 10, task_cpu), progress, how == ending::cancelled);
    if (!target_first)
        next.add_target("free");
    const job& j = *next.scheduler.find_job(job_id{"j"});
    CHECK(is_final(j.shown_state()));
    CHECK(j.active_runs() == left);
    const std::vector<stop_command> stops = next.take_stops();
    CHECK(stops.size() == left);
    for (const stop_command& s : stops) {
        const tl::unexpected<order_errc> unreachable{order_errc::not_sent};
        next.scheduler.on_stop_answer(s.target.id, s.task, s.run, unreachable, next.now());
    }
    CHECK(next.scheduler.finished_jobs().empty());
    next.add_target("free2");
    next.add_target("free3");
    next.add_target("free4");
    next.add_job("later", 10, task_cpu);
    CHECK(next.plan_and_store().size() == 10 - left);

    // The targets of the runs stay unreachable: the runs are over with their leases.
    next.advance(5s);
    CHECK(next.plan_and_store().empty());
    next.advance(5s);
    next.advance(200ms);
    CHECK(j.active_runs() == 0);
    CHECK(next.plan_and_store().size() == left);
    next.scheduler.on_stored(next.scheduler.unstored(10), next.now());
    CHECK(decode_settled_state(encode_progress(j)) == j.state());
}

TEST_CASE("a new leader learns of each end of the runs of a job that has ended")
{
    // Plays a hand-over after each of the ends.
    scheduler_fixture f;
    f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 3, task_cpu);
    REQUIRE(starts.size() == 3);
    f.report(target_id{"a"}, {running(starts[1]), running(starts[2])},
             {ended(starts[0], 1, run_end::failed)});
    f.advance(200ms);
    const std::vector<start_command> again = f.plan_and_store();
    REQUIRE(again.size() == 1);
    f.confirm(again[0]);
    f.report(target_id{"a"}, {running(starts[1]), running(starts[2])}, {ended(again[0], 2, run_end::failed)});
    const job& j = *f.scheduler.find_job(job_id{"j"});
    REQUIRE(j.state() == job_state::failed);
    REQUIRE(f.take_stops().size() == 2);
    for (const start_command& s : {starts[1], starts[2]})
        f.scheduler.on_stop_answer(s.target.id, s.order.task, s.order.run, order_answer{f.clock_ms()},
                                   f.now());
    for (std::size_t left = 2;; --left) {
        const std::string progress = stored_progress(f);
        CHECK(decode_progress_state(progress) == job_state::failed);
        CHECK(decode_settled_state(progress).has_value() == (left == 0));
        scheduler_fixture next;
        next.add_target("a");
        take_over(next, next.record_of("j", 3, task_cpu), progress, false);
        CHECK(next.scheduler.find_job(job_id{"j"})->active_runs() == left);
        CHECK(next.scheduler.find_job(job_id{"j"})->shown_state() == job_state::failed);
        CHECK(next.plan_and_store().empty());
        if (left == 0)
            break;
        f.advance(100ms);
        if (left == 2)
            f.report(target_id{"a"}, {running(starts[2])}, {ended(starts[1], 3, run_end::stopped)});
        else
            f.report(target_id{"a"}, {}, {ended(starts[2], 4, run_end::done)});
    }
}
