#include "deployment.h"
#include "record.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace review;

namespace {

using json = nlohmann::json;

enum outcome { held = 0, broken = 1, not_run = 2 };

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

json job(const std::string& spec, json step)
{
    step["count"] = 1;
    return {{"spec", spec}, {"steps", {std::move(step)}}};
}

/// BUDGET: a task that crashes the workers that start it. It does so 1 s after its start.
outcome late_crash(deployment& d, record& log, bool trouble)
{
    constexpr const char* id = "5c0e7a21d94b36f8";
    d.add_workers(8);
    if (!d.start())
        return not_run;
    sleep_ms(2000);
    const json body =
        job(trouble ? "crash 1000" : "done 1000", {{"cpu", 3500}, {"mem-mb", 7200}, {"estimate-ms", 2000}});
    if (!d.submit(id, body.dump()))
        return not_run;
    std::vector<started> starts;
    int crashes = 0;
    std::string state;
    for (int s = 0; s < 60; ++s) {
        sleep_ms(1000);
        starts.clear();
        crashes = 0;
        for (const std::unique_ptr<worker>& w : d.workers()) {
            const std::vector<started> here = w->starts();
            starts.insert(starts.end(), here.begin(), here.end());
            crashes += w->crashes();
        }
        state = d.state_of(id);
        if (state == "failed" || state == "completed")
            break;
    }
    const int after_third = std::max(0, static_cast<int>(starts.size()) - 3);
    log.write("the job is " + state + "; starts " + std::to_string(starts.size()) + ", crashes " +
              std::to_string(crashes) + ", starts after three crashes " + std::to_string(after_third));
    if (!d.entries_alive() || (!trouble && state != "completed"))
        return not_run;
    return after_third >= 3 ? broken : held;
}

/// HARM: a task that fills disturbs one that serves from some moment on; one of the four orders on its pace
/// is left unanswered and carried out late.
outcome late_pace(deployment& d, record& log, bool trouble)
{
    constexpr double target_ms = 100.0;
    constexpr double alone_ms = 75.0;
    constexpr double per_fill_ms = 95.0;
    constexpr int late_ms = 7000;
    constexpr std::int64_t contact_ms = 3000;
    constexpr std::int64_t harm_ms = 4000;
    d.add_workers(1);
    worker& w = *d.workers().front();
    w.set_latency(20.0, 10.0);
    if (!d.start())
        return not_run;
    sleep_ms(2000);
    const json serve = job("serve", {{"cpu", 5300},
                                     {"mem-mb", 27000},
                                     {"long-running", true},
                                     {"image", "desk"},
                                     {"target-ms", target_ms}});
    const json fill =
        job("fill",
            {{"cpu", 4000}, {"mem-mb", 1000}, {"long-running", true}, {"image", "batch"}, {"fills", true}});
    if (!d.submit("0000000000000001", serve.dump()) || !d.submit("0000000000000002", fill.dump()))
        return not_run;
    for (int i = 0; i < 100 && !(w.runs("serve") && w.runs("fill")); ++i)
        sleep_ms(100);
    sleep_ms(5000);
    if (!w.runs("serve") || !w.runs("fill"))
        return not_run;
    std::int64_t disturbed_until = log.now_ms();
    if (trouble) {
        disturbed_until += 5500 + late_ms;
        w.set_treatment([&log, until = log.now_ms() + 5500, orders = 0](const std::string&,
                                                                        const json&) mutable -> treatment {
            if (log.now_ms() > until || orders++ % 4 != 0)
                return {};
            return {true, late_ms};
        });
    }
    log.write("the task that fills disturbs more from now on");
    w.set_latency(alone_ms, per_fill_ms);
    // In calm only.
    while (log.now_ms() < disturbed_until + (trouble ? contact_ms : 0))
        sleep_ms(20);
    w.watch_target(target_ms);
    sleep_ms(trouble ? 24500 : 40000);
    const std::int64_t longest_ms = w.longest_over_ms();
    log.write("over the target for " + std::to_string(longest_ms) + " ms on end; pace " +
              std::to_string(w.fill_pace()) + " at the end");
    if (!d.entries_alive() || !w.runs("serve") || !w.runs("fill"))
        return not_run;
    return longest_ms >= harm_ms ? broken : held;
}

/// HARM: a steady flow of short tasks that fill runs beside tasks that serve.
outcome fill_flow(deployment& d, record& log, bool trouble)
{
    constexpr double target_ms = 100.0;
    constexpr double alone_ms = 75.0;
    constexpr double per_fill_ms = 95.0;
    constexpr std::int64_t harm_ms = 4000;
    d.add_workers(2);
    for (const std::unique_ptr<worker>& w : d.workers())
        w->set_latency(alone_ms, trouble ? per_fill_ms : 2.0);
    if (!d.start())
        return not_run;
    sleep_ms(2000);
    json serve = job("serve", {{"cpu", 5300},
                               {"mem-mb", 27000},
                               {"long-running", true},
                               {"image", "desk"},
                               {"max-per-server", 1},
                               {"target-ms", target_ms}});
    serve["steps"][0]["count"] = 2;
    if (!d.submit("0000000000000001", serve.dump()))
        return not_run;
    sleep_ms(5000);
    const json fill =
        job("fill 1500",
            {{"cpu", 4000}, {"mem-mb", 1000}, {"estimate-ms", 1500}, {"image", "batch"}, {"fills", true}});
    for (const std::unique_ptr<worker>& w : d.workers())
        w->watch_target(target_ms);
    std::int64_t next_job_at = log.now_ms();
    std::uint64_t jobs = 0x1000;
    for (const std::int64_t end = log.now_ms() + 40000; log.now_ms() < end;) {
        if (log.now_ms() >= next_job_at) {
            next_job_at += 700;
            const std::string number = std::to_string(++jobs);
            if (!d.submit(std::string(16 - number.size(), '0') + number, fill.dump()))
                return not_run;
        }
        sleep_ms(20);
        for (const std::unique_ptr<worker>& w : d.workers()) {
            if (!w->runs("serve"))
                return not_run;
        }
    }
    std::int64_t longest_ms = 0;
    for (const std::unique_ptr<worker>& w : d.workers())
        longest_ms = std::max(longest_ms, w->longest_over_ms());
    log.write("over the target for " + std::to_string(longest_ms) + " ms on end at most");
    if (!d.entries_alive())
        return not_run;
    return longest_ms >= harm_ms ? broken : held;
}

/// LOST: one worker is cut off, runs on, and finishes tasks that are started again elsewhere. Later a job
/// comes that requires a worker of its kind.
outcome idle_after_cut(deployment& d, record& log, bool trouble)
{
    constexpr int cut_ms = 5500;
    constexpr int finish_ms = 14000;
    constexpr int task_ms = 3500;
    constexpr const char* later_job = "00000000000000b1";
    d.add_workers(6);
    if (!d.start())
        return not_run;
    sleep_ms(3000);
    json first = job("done " + std::to_string(task_ms),
                     {{"cpu", 3500}, {"mem-mb", 7200}, {"estimate-ms", task_ms}, {"max-per-server", 2}});
    first["steps"][0]["count"] = 12;
    if (!d.submit("00000000000000a1", first.dump()))
        return not_run;
    sleep_ms(500);
    if (trouble) {
        for (const std::unique_ptr<worker>& w : d.workers()) {
            if (w->settings().kind == "b")
                w->cut_off(cut_ms);
        }
    }
    sleep_ms(cut_ms + 6000);
    log.write("the first job is " + d.state_of("00000000000000a1"));
    const json later =
        job("done 500", {{"cpu", 3500}, {"mem-mb", 7200}, {"estimate-ms", 500}, {"requires", "b"}});
    if (!d.submit(later_job, later.dump()))
        return not_run;
    std::string state;
    for (const std::int64_t end = log.now_ms() + finish_ms + 6000; log.now_ms() < end;) {
        sleep_ms(1000);
        state = d.state_of(later_job);
        if (state == "completed" || state == "failed")
            break;
    }
    std::size_t starts = 0;
    for (const std::unique_ptr<worker>& w : d.workers()) {
        for (const started& s : w->starts())
            starts += s.task.starts_with(later_job) ? 1U : 0U;
    }
    log.write("the later job is " + state + " with " + std::to_string(starts) + " starts");
    if (!d.entries_alive() || state.empty())
        return not_run;
    return starts == 0 ? broken : held;
}

/// QUOTA: a job fails while one of the workers that run it is cut off and runs on, and the leader is stopped.
outcome quota_after_failure(deployment& d, record& log, bool trouble)
{
    constexpr int cap = 20000;
    constexpr int task_cpu = 2000;
    constexpr int limit = cap + cap / 10 + task_cpu;
    constexpr const char* failing_job = "00000000000000a1";
    d.set_team_cap(cap);
    d.add_workers(6);
    if (!d.start())
        return not_run;
    sleep_ms(3000);
    // Its last task fails twice, after 1 s each. The other nine fill the cap up.
    json failing = job("fail 9 1000",
                       {{"cpu", task_cpu}, {"mem-mb", 1000}, {"estimate-ms", 20000}, {"max-per-server", 5}});
    failing["steps"][0]["count"] = cap / task_cpu;
    if (!d.submit(failing_job, failing.dump()))
        return not_run;
    sleep_ms(1600);
    worker* cut = nullptr;
    for (const std::unique_ptr<worker>& w : d.workers()) {
        const std::vector<std::string> here = w->running();
        const bool fails_here =
            std::any_of(here.begin(), here.end(), [](const std::string& t) { return t.ends_with(".9"); });
        if (!fails_here && here.size() == 5)
            cut = w.get();
    }
    if (cut == nullptr)
        return not_run;
    if (trouble)
        cut->cut_off(5500);
    std::string state;
    for (int i = 0; i < 40 && state != "failed"; ++i) {
        sleep_ms(50);
        state = d.state_of(failing_job);
    }
    if (state != "failed")
        return not_run;
    const std::size_t stopped = trouble ? d.stop_leader() : d.entries();
    json next = job("done 10000", {{"cpu", task_cpu}, {"mem-mb", 1000}, {"estimate-ms", 10000}});
    next["steps"][0]["count"] = 20;
    bool accepted = false;
    for (std::size_t i = 0; i < 6 && !accepted; ++i) {
        if (i % 3 == stopped)
            continue;
        const std::optional<reply> r = d.client(i % 3, "POST", "00000000000000b1", next.dump());
        accepted = r && r->status / 100 == 2;
    }
    if (!accepted || (trouble && stopped == d.entries()))
        return not_run;
    int most = 0;
    for (const std::int64_t end = log.now_ms() + 12000; log.now_ms() < end;) {
        sleep_ms(5);
        d.restart_ended();
        int cpu = 0;
        for (const std::unique_ptr<worker>& w : d.workers())
            cpu += task_cpu * static_cast<int>(w->running().size());
        if (cpu > most)
            log.write("the tenant has " + std::to_string(cpu) + " of cpu running, its cap is " +
                      std::to_string(cap));
        most = std::max(most, cpu);
    }
    log.write("most at a time " + std::to_string(most) + ", allowed " + std::to_string(limit));
    return most > limit ? broken : held;
}

/// TWICE: an observation that acknowledges ends gets no answer and is carried out late, when its worker has
/// started again under its id.
outcome late_acknowledgement(deployment& d, record& log, bool trouble)
{
    d.add_workers(8);
    if (!d.start())
        return not_run;
    sleep_ms(2000);
    json body = job("vary 800", {{"cpu", 250}, {"mem-mb", 200}, {"estimate-ms", 900}});
    body["steps"][0]["count"] = 2000;
    std::uint64_t jobs = 0x1000;
    const std::int64_t first_at = log.now_ms();
    std::size_t delayed = 0;
    for (std::int64_t next = first_at; next < first_at + 24000; next += 1000) {
        while (log.now_ms() < next)
            sleep_ms(10);
        const std::string number = std::to_string(++jobs);
        if (!d.submit(std::string(16 - number.size(), '0') + number, body.dump()))
            return not_run;
        if (trouble && delayed < 3 && log.now_ms() - first_at >= 8000 + 5000 * static_cast<int>(delayed)) {
            worker& w = *d.workers()[delayed++];
            w.set_down_time(1000);
            w.delay_acknowledgement(800, 4000);
        }
    }
    sleep_ms(8000);
    std::map<std::string, noted_end> first_end;
    for (const std::unique_ptr<worker>& w : d.workers()) {
        for (const noted_end& e : w->noted()) {
            const auto [it, added] = first_end.emplace(e.task, e);
            if (!added && e.ended_at_ms < it->second.ended_at_ms)
                it->second = e;
        }
    }
    int twice = 0;
    for (const std::unique_ptr<worker>& w : d.workers()) {
        for (const started& s : w->starts()) {
            const auto it = first_end.find(s.task);
            if (it == first_end.end() || s.at_ms <= it->second.ended_at_ms)
                continue;
            ++twice;
            log.write("TWICE: " + s.task + " run " + std::to_string(it->second.run) + " ended done at " +
                      std::to_string(it->second.ended_at_ms) + " ms and was taken note of; run " +
                      std::to_string(s.run) + " was started on " + s.worker + " at " +
                      std::to_string(s.at_ms) + " ms");
        }
    }
    log.write("ends taken note of " + std::to_string(first_end.size()) + ", tasks started after theirs " +
              std::to_string(twice));
    if (!d.entries_alive() || first_end.empty())
        return not_run;
    return twice > 0 ? broken : held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5) {
        std::cerr << "usage: standin-2 CASE PROGRAM FOLDER RECORD\n";
        return not_run;
    }
    const std::string name = argv[1];
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string{setting} != "0";
    int result = not_run;
    {
        record& log = *new record{argv[4]}; // Outlives the detached threads.
        try {
            deployment& d = *new deployment{argv[2], argv[3], log};
            log.write("case " + name + (trouble ? "" : ", without the disruption"));
            if (name == "late-crash")
                result = late_crash(d, log, trouble);
            else if (name == "late-pace")
                result = late_pace(d, log, trouble);
            else if (name == "fill-flow")
                result = fill_flow(d, log, trouble);
            else if (name == "idle-after-cut")
                result = idle_after_cut(d, log, trouble);
            else if (name == "quota-after-failure")
                result = quota_after_failure(d, log, trouble);
            else if (name == "late-acknowledgement")
                result = late_acknowledgement(d, log, trouble);
            d.stop_entries();
        } catch (const std::exception& e) {
            log.write(std::string{"the case could not run: "} + e.what());
        }
        log.write("exit code " + std::to_string(result));
    }
    std::_Exit(result);
}
