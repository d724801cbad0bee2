#include "core/clock.h"
#include "jobs/leader_events.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace mjm;

namespace {

/// Returns the lines that are written for a usual job, a failed one and events of targets.
std::vector<std::string> lines_of_events(log_level level, int job_log_percent, const std::string& id)
{
    std::vector<std::string> lines;
    const manual_clock time;
    log_settings settings;
    settings.level = level;
    {
        log_sink sink{settings, time, [&lines](const std::string& line) { lines.push_back(line); }};
        metric_registry metrics;
        leader_events events{logger{sink, "jobs"}, metrics, job_log_percent};
        const job_id job{id};
        const task_key task{job, {0, 0, 1}};
        const target_id target{"i-1"};
        events.on_event({scheduler_event::job_added, job, {}, 0, {}, "queue q", 1});
        events.on_event({scheduler_event::run_planned, job, task, 1, target, {}, 2});
        events.on_event({scheduler_event::run_ended, job, task, 1, target, "done", 3});
        events.on_event({scheduler_event::job_finished, job, {}, 0, {}, "completed", 4});
        events.on_stop_answer(task, 1, target, order_answer{}, true);
        events.on_event({scheduler_event::job_finished, job, {}, 0, {}, "failed", 4});
        events.on_event({scheduler_event::job_given_up, job, task, 1, {}, "crashes 3", 0});
        events.on_event({scheduler_event::target_crashed, {}, {}, 0, target, "1 suspect", 0});
        events.on_event({scheduler_event::target_unreachable, {}, {}, 0, target, "no_answer", 2});
        events.on_stop_answer(task, 1, target, tl::unexpected{order_errc::no_answer}, true);
    }
    return lines;
}

bool has_event(const std::vector<std::string>& lines, const std::string& event)
{
    return std::any_of(lines.begin(), lines.end(), [&event](const std::string& line) {
        return line.find("\"event\":\"" + event + "\"") != std::string::npos;
    });
}

} // namespace

// Guards against a leader whose log grows with every run, and against one that hides what went wrong.
TEST_CASE("a leader logs what an operator must see and leaves out the usual life of a job", "[leader_events]")
{
    const std::vector<std::string> lines = lines_of_events(log_level::info, 0, "78a85d29ee6ce918");
    CHECK(lines.size() == 5);
    for (const char* event :
         {"job_finished", "job_given_up", "target_crashed", "target_unreachable", "stop_refused"})
        CHECK(has_event(lines, event));
    CHECK_FALSE(has_event(lines, "run_planned"));
}

// Guards against a job whose log has gaps: all of its lines are written or none of the usual ones.
TEST_CASE("the log of a job in the sample, and of any job at level debug, is whole", "[leader_events]")
{
    CHECK(lines_of_events(log_level::info, 100, "78a85d29ee6ce918").size() == 10);
    CHECK(lines_of_events(log_level::debug, 0, "78a85d29ee6ce918").size() == 10);
    CHECK(has_event(lines_of_events(log_level::info, 100, "a"), "stop_confirmed"));
}

// Guards against a sample that differs between leaders, or that takes far more jobs than it is set to.
TEST_CASE("the sample of jobs depends on the id alone and has the set size", "[leader_events]")
{
    const job_log_sample sample{2};
    const job_log_sample larger{20};
    int taken = 0;
    for (int n = 0; n < 10'000; ++n) {
        const job_id id{"job" + std::to_string(1'000'000 + n)};
        taken += sample.contains(id) ? 1 : 0;
        CHECK((!sample.contains(id) || larger.contains(id)));
    }
    CHECK(taken >= 150);
    CHECK(taken <= 250);
    // Fixed, since hosts of different builds and architectures must choose the same jobs.
    CHECK_FALSE(job_log_sample{57}.contains(job_id{"78a85d29ee6ce918"}));
    CHECK(job_log_sample{58}.contains(job_id{"78a85d29ee6ce918"}));
}
