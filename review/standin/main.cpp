// Plays one case of the review: the surroundings of the entry hosts on loopback, a job or two, and a
// disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. usage:
// review_standin CASE DIR RECORD

#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string_view>
#include <thread>
#include <vector>

namespace review {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

struct options {
    bool trouble = true; ///< False plays the same without the disruption.
    std::string dir;
    std::string record;
};

json route(const std::string& name, const std::string& prefix, int max_attempts)
{
    return {{"name", name},     {"host", "127.0.0.1"}, {"prefix", prefix},
            {"type", "unsafe"}, {"timeout-ms", 3000},  {"target-latency-ms", 600},
            {"priority", 0},    {"service", "desk"},   {"max-attempts", max_attempts},
            {"stretch", 1.6},   {"anonymous", false}};
}

std::string config_text(int version, const json& routes)
{
    return json{{"version", version},
                {"routes", routes},
                {"services",
                 {{{"name", "desk"},
                   {"health-path", "/health"},
                   {"max-conns", 64},
                   {"protocol", "h1"},
                   {"tls", false},
                   {"rejects-overload", true},
                   {"standby", false}}}},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 262144},
                  {"header-timeout-ms", 3000},
                  {"idle-timeout-ms", 15000}}},
                {"tenants",
                 {{{"name", "tenant"},
                   {"api-keys", {"key-of-tenant"}},
                   {"priority", 1},
                   {"weight", 49},
                   {"cap", {{"cpu", 0}, {"mem-mb", 0}, {"gpu", 0}}}}}}}
        .dump();
}

std::string job_text(int count, int cpu, int estimate_ms, bool lasts = false)
{
    json step{{"count", count}, {"cpu", cpu}, {"mem-mb", 100}, {"estimate-ms", estimate_ms}};
    if (lasts)
        step["long-running"] = true;
    return json{{"spec", "review"}, {"steps", json::array({step})}}.dump();
}

worker_settings worker(const std::string& name, const std::string& zone)
{
    worker_settings w;
    w.id = "i-" + name;
    w.machine = "m-" + name;
    w.service = "desk";
    w.zone = zone;
    return w;
}

deployment_settings common(const options& o)
{
    deployment_settings s;
    s.dir = o.dir;
    s.record = o.record;
    s.config = config_text(4, json::array({route("quotes", "/quotes/", 2)}));
    return s;
}

int give_up(deployment& d, const std::string& why)
{
    d.run([&] { d.history().note("the case could not run: " + why); });
    return not_run;
}

int judge(deployment& d, const std::vector<std::string>& breaches)
{
    d.run([&] {
        for (const std::string& line : breaches)
            d.history().note(line);
        d.history().note(breaches.empty() ? "the rule held" : "the rule was broken");
    });
    return breaches.empty() ? held : broken;
}

int judge_twice(deployment& d)
{
    std::vector<std::string> breaches;
    d.run([&] { breaches = d.history().run_twice(); });
    return judge(d, breaches);
}

std::size_t running(deployment& d)
{
    std::size_t n = 0;
    for (std::size_t w = 0; w < d.workers(); ++w)
        n += d.worker(w).running();
    return n;
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

/// Returns the machine that gives the orders, going by the latest one that was carried out.
std::optional<std::size_t> leader_of(deployment& d)
{
    std::optional<std::size_t> leader;
    d.run([&] {
        steady::time_point latest;
        for (std::size_t w = 0; w < d.workers(); ++w) {
            if (d.worker(w).ordered_by() && d.worker(w).ordered_at() > latest) {
                latest = d.worker(w).ordered_at();
                leader = d.worker(w).ordered_by();
            }
        }
    });
    return leader;
}

/// The zone of the machine that gives the orders is partitioned from the other zones and from the platform,
/// twice.
int play_zone_cut(const options& o)
{
    constexpr std::size_t zones = 3;
    constexpr std::size_t workers_per_zone = 3;
    deployment_settings s = common(o);
    s.machines = zones;
    for (std::size_t n = 0; n < workers_per_zone; ++n) {
        for (std::size_t zone = 0; zone < zones; ++zone) {
            // Ordered by name, the workers take turns among the zones.
            worker_settings w =
                worker(std::to_string(n) + "-" + std::to_string(zone), "zone-" + std::to_string(zone));
            w.plan = [](const std::string&, std::int64_t) { return task_plan{milliseconds{25000}, "done"}; };
            s.workers.push_back(w);
        }
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{1000});
    const std::string job = "/quotes/00000000000000a1";
    if (!d.submit(job, job_text(9, 7000, 25000)))
        return give_up(d, "the job was not accepted");
    if (!d.wait_until(milliseconds{5000}, [&] { return running(d) == 9; }))
        return give_up(d, "not all tasks were started");
    sleep_for(milliseconds{1500});
    const std::size_t zone = *leader_of(d);
    const auto cut = [&](bool off) {
        d.store().cut(zone, off);
        for (std::size_t w = 0; w < d.workers(); ++w) {
            const bool inside = w % zones == zone;
            if (inside)
                d.cut_from_store(w, off);
            for (std::size_t machine = 0; machine < zones; ++machine) {
                if ((machine == zone) != inside)
                    d.worker(w).cut(machine, off);
            }
        }
        d.history().note(std::string{off ? "cut off  " : "mended   "} + "zone-" + std::to_string(zone));
    };
    // The second cut begins as the first one ends.
    for (int n = 0; n < 2; ++n) {
        if (o.trouble)
            d.run([&] { cut(true); });
        sleep_for(milliseconds{5000});
        if (o.trouble)
            d.run([&] { cut(false); });
    }
    if (!d.wait_for_state(job, "completed", milliseconds{45000}))
        d.run([&] { d.history().note("the job isn't completed"); });
    return judge_twice(d);
}

/// A worker is lost for good, and the machine that gives the orders is restarted by SIGTERM, twice.
int play_rolling_restart(const options& o)
{
    constexpr std::size_t workers = 8;
    deployment_settings s = common(o);
    for (std::size_t n = 0; n < workers; ++n) {
        worker_settings w = worker(std::to_string(n), "zone-" + std::to_string(n % 3));
        w.plan = [](const std::string&, std::int64_t) { return task_plan{std::chrono::hours{1}, "done"}; };
        s.workers.push_back(w);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{1000});
    // Three tasks of half a worker each, so that two workers have tasks.
    if (!d.submit("/quotes/00000000000000f1", job_text(3, 8000, 1000, true)))
        return give_up(d, "the job was not accepted");
    if (!d.wait_until(milliseconds{5000}, [&] { return running(d) == 3; }))
        return give_up(d, "not all tasks were started");
    sleep_for(milliseconds{2000});
    // The worker that runs one task, so that the others go on to show who gives the orders.
    const steady::time_point lost_at = steady::now();
    d.run([&] {
        for (std::size_t w = 0; w < workers; ++w) {
            if (o.trouble && d.worker(w).running() == 1)
                d.worker(w).crash();
        }
    });
    for (int n = 0; n < 2; ++n) {
        sleep_for(milliseconds{n == 0 ? 1000 : 5000});
        if (o.trouble && !d.signal_machine(*leader_of(d), SIGTERM))
            return give_up(d, "no process to restart");
    }
    // Calm begins contact-ms after the loss. From then on, no 3 s without a run may follow 4 s of calm.
    constexpr milliseconds calm_after{3000};
    constexpr milliseconds longest_gap{4000 + 3000};
    const bool in_time = d.wait_until(
        std::chrono::duration_cast<milliseconds>(lost_at + calm_after + longest_gap - steady::now()),
        [&] { return running(d) == 3; });
    d.run([&] { d.history().note(std::to_string(running(d)) + " of 3 tasks run 10 s after the loss"); });
    d.wait_until(milliseconds{15000}, [&] { return running(d) == 3; });
    if (running(d) < 3)
        d.run([&] { d.history().note("not all tasks run at the end"); });
    std::vector<std::string> breaches;
    if (!in_time)
        breaches.emplace_back(
            "LOST a task that lasts has no run for 3 s after 4 s of calm, with room for it");
    return judge(d, breaches);
}

/// The process that gives the orders is killed shortly before many short tasks of one worker end.
int play_many_ends(const options& o)
{
    constexpr int tasks = 600;
    deployment_settings s = common(o);
    for (const char* name : {"1", "2"}) {
        worker_settings w = worker(name, "zone-0");
        w.cpu = 64000;
        w.mem_mb = 262144;
        // The tasks take between 3 and 3.8 s.
        w.plan = [](const std::string& task, std::int64_t) {
            const int index = std::atoi(task.substr(task.rfind('.') + 1).c_str());
            return task_plan{milliseconds{3000 + index * 7 % 800}, "done"};
        };
        s.workers.push_back(w);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{1000});
    const std::string job = "/quotes/00000000000000b1";
    if (!d.submit(job, job_text(tasks, 100, 3500)))
        return give_up(d, "the job was not accepted");
    if (!d.wait_until(milliseconds{2500}, [&] { return d.history().size() >= tasks; }))
        return give_up(d, "not all tasks were started");
    sleep_for(milliseconds{2300});
    if (o.trouble && !d.signal_machine(*leader_of(d), SIGKILL))
        return give_up(d, "no process to kill");
    if (!d.wait_for_state(job, "completed", milliseconds{30000}))
        d.run([&] { d.history().note("the job isn't completed"); });
    sleep_for(milliseconds{1000});
    return judge_twice(d);
}

/// An idle worker crashes and starts again under the id that it had.
int play_restarted_worker(const options& o)
{
    deployment_settings s = common(o);
    for (const char* name : {"1", "2", "3", "4", "5", "6", "7", "8"}) {
        worker_settings w = worker(name, "zone-0");
        w.plan = [](const std::string&, std::int64_t) { return task_plan{milliseconds{3000}, "done"}; };
        s.workers.push_back(w);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{2000});
    if (o.trouble) {
        d.run([&] { d.worker(0).crash(); });
        sleep_for(milliseconds{500});
        d.run([&] { d.restart(0); });
        sleep_for(milliseconds{200});
    }
    const std::string job = "/quotes/00000000000000c1";
    if (!d.submit(job, job_text(3, 4000, 3000)))
        return give_up(d, "the job was not accepted");
    if (!d.wait_for_state(job, "completed", milliseconds{20000}))
        d.run([&] { d.history().note("the job isn't completed"); });
    return judge_twice(d);
}

/// A worker whose clock is 2% slow is cut off soon after its first task for a while.
int play_idle_worker_cut(const options& o)
{
    deployment_settings s = common(o);
    for (const char* name : {"1", "2", "3", "4", "5", "6"}) {
        worker_settings w = worker(name, "zone-0");
        w.clock_rate = 0.98;
        w.plan = [](const std::string&, std::int64_t) { return task_plan{milliseconds{8000}, "done"}; };
        s.workers.push_back(w);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{75000});
    const std::string job = "/quotes/00000000000000d1";
    if (!d.submit(job, job_text(1, 4000, 8000)))
        return give_up(d, "the job was not accepted");
    if (!d.wait_until(milliseconds{3000}, [&] { return running(d) == 1; }))
        return give_up(d, "the task was not started");
    sleep_for(milliseconds{100});
    std::size_t w = 0;
    d.run([&] {
        while (d.worker(w).running() == 0)
            ++w;
    });
    const auto cut = [&](bool off) {
        for (std::size_t machine = 0; machine < 3; ++machine)
            d.worker(w).cut(machine, off);
        d.history().note(std::string{off ? "cut off  " : "mended   "} + d.worker(w).settings().id);
    };
    if (o.trouble)
        d.run([&] { cut(true); });
    sleep_for(milliseconds{5500});
    if (o.trouble)
        d.run([&] { cut(false); });
    if (!d.wait_for_state(job, "completed", milliseconds{20000}))
        d.run([&] { d.history().note("the job isn't completed"); });
    return judge_twice(d);
}

/// An order for an upkeep stays unheard, and the worker of the machine crashes meanwhile.
int play_unheard_upkeep(const options& o)
{
    constexpr std::size_t machines = 8;
    constexpr std::size_t due = 3;
    deployment_settings s = common(o);
    json wave{{"wave", 1}, {"machines", json::array()}, {"duration-s", 26}, {"cap", 1}};
    for (std::size_t n = 0; n < machines; ++n) {
        worker_settings w = worker(std::to_string(n), "zone-" + std::to_string(n % 3));
        w.plan = [](const std::string&, std::int64_t) { return task_plan{milliseconds{1000}, "done"}; };
        s.workers.push_back(w);
        if (n < due)
            wave["machines"].push_back(w.machine);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{3000});
    if (o.trouble)
        d.run([&] { d.set_cloud_silent(true); });
    d.run([&] {
        d.store().put("op/wave/1", wave.dump());
        d.history().note("asked    for wave 1: " + wave.dump());
    });
    if (o.trouble) {
        sleep_for(milliseconds{2000});
        const auto for_unheard = [&](const std::function<void(std::size_t)>& act) {
            d.run([&] {
                for (std::size_t n = 0; n < machines; ++n) {
                    if (d.unheard().contains(d.worker(n).settings().machine))
                        act(n);
                }
            });
        };
        for_unheard([&](std::size_t n) { d.worker(n).crash(); });
        sleep_for(milliseconds{500});
        for_unheard([&](std::size_t n) { d.replace(n); });
        sleep_for(milliseconds{2500});
        d.run([&] { d.set_cloud_silent(false); });
    }
    std::vector<std::string> breaches;
    const bool completed = d.wait_until(milliseconds{60000}, [&] {
        const std::string* status = d.store().find("status/wave/1");
        return status != nullptr && status->find("completed") != std::string::npos;
    });
    if (!completed)
        return give_up(d, "the wave was not reported as completed");
    d.run([&] {
        d.history().note("status/wave/1: " + *d.store().find("status/wave/1"));
        for (std::size_t n = 0; n < due; ++n) {
            const std::string& machine = d.worker(n).settings().machine;
            if (!d.upkept().contains(machine))
                breaches.push_back("MIXED wave 1 is said to be completed, and " + machine +
                                   " hasn't begun its upkeep");
        }
    });
    return judge(d, breaches);
}

/// A task crashes each worker that starts it. The worker's machine is back after 3 s with a new worker at
/// another address.
int play_deadly_task(const options& o)
{
    constexpr std::size_t workers = 8;
    deployment_settings s = common(o);
    for (std::size_t n = 0; n < workers; ++n) {
        worker_settings w = worker(std::to_string(n), "zone-" + std::to_string(n % 3));
        w.plan = [](const std::string&, std::int64_t) { return task_plan{milliseconds{2000}, "done"}; };
        s.workers.push_back(w);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{1000});
    const std::string job = "/quotes/0000000000000091";
    if (!d.submit(job, job_text(1, 4000, 2000)))
        return give_up(d, "the job was not accepted");
    std::vector<std::optional<steady::time_point>> back(workers);
    std::size_t crashes = 0;
    std::size_t starts_after_three = 0;
    std::size_t seen = 0;
    const steady::time_point until = steady::now() + std::chrono::seconds{95};
    bool ended = false;
    while (!ended && steady::now() < until) {
        sleep_for(milliseconds{100});
        d.run([&] {
            const std::size_t started = d.history().size() - seen;
            seen = d.history().size();
            starts_after_three += crashes >= 3 ? started : 0;
            for (std::size_t w = 0; o.trouble && w < workers; ++w) {
                if (back[w] && steady::now() >= *back[w]) {
                    back[w].reset();
                    d.replace_elsewhere(w);
                } else if (!back[w] && d.worker(w).running() > 0) {
                    d.worker(w).crash();
                    back[w] = steady::now() + std::chrono::seconds{3};
                    ++crashes;
                }
            }
        });
        ended = starts_after_three >= 3;
        if (!ended && seen > 0 && !o.trouble)
            ended = d.state(job) == "completed";
    }
    d.state(job);
    std::vector<std::string> breaches;
    if (starts_after_three >= 3)
        breaches.push_back("BUDGET the task was started " + std::to_string(starts_after_three) +
                           " more times after three workers had crashed under it");
    return judge(d, breaches);
}

/// The operator removes a route for some seconds while a job of it runs whose task fails now and then.
int play_removed_route(const options& o)
{
    constexpr int max_attempts = 4;
    deployment_settings s = common(o);
    const json quotes = route("quotes", "/quotes/", max_attempts);
    const json other = route("other", "/other/", max_attempts);
    s.config = config_text(4, json::array({quotes, other}));
    for (const char* name : {"1", "2"}) {
        worker_settings w = worker(name, "zone-0");
        w.plan = [](const std::string&, std::int64_t run) {
            return task_plan{milliseconds{1500}, run < max_attempts ? "failed" : "done"};
        };
        s.workers.push_back(w);
    }
    deployment d{s};
    if (!d.wait_until_ready(milliseconds{10000}))
        return give_up(d, "not ready");
    sleep_for(milliseconds{1000});
    const std::string job = "/quotes/00000000000000e1";
    if (!d.submit(job, job_text(1, 4000, 1500)))
        return give_up(d, "the job was not accepted");
    if (!d.wait_until(milliseconds{3000}, [&] { return running(d) == 1; }))
        return give_up(d, "the task was not started");
    const auto configure = [&](int version, const json& routes) {
        d.run([&] {
            d.store().put("op/config", config_text(version, routes));
            d.history().note("operator version " + std::to_string(version) + " with " +
                             std::to_string(routes.size()) + " routes");
        });
    };
    if (o.trouble)
        configure(6, json::array({other}));
    sleep_for(milliseconds{4000});
    if (o.trouble)
        configure(9, json::array({quotes, other}));
    sleep_for(milliseconds{6000});
    const std::string state = d.state(job);
    std::vector<std::string> breaches;
    d.run([&] {
        int failed = 0;
        for (std::size_t n = 0; n < d.history().size(); ++n)
            failed += d.history().at(n).how == "failed" ? 1 : 0;
        if (state == "failed" && failed < max_attempts)
            breaches.push_back("LOST the job is shown as failed after " + std::to_string(failed) +
                               " failed runs of " + std::to_string(max_attempts));
    });
    return judge(d, breaches);
}

int play(std::string_view name, const options& o)
{
    if (name == "zone-cut")
        return play_zone_cut(o);
    if (name == "rolling-restart")
        return play_rolling_restart(o);
    if (name == "many-ends")
        return play_many_ends(o);
    if (name == "restarted-worker")
        return play_restarted_worker(o);
    if (name == "idle-worker-cut")
        return play_idle_worker_cut(o);
    if (name == "unheard-upkeep")
        return play_unheard_upkeep(o);
    if (name == "deadly-task")
        return play_deadly_task(o);
    if (name == "removed-route")
        return play_removed_route(o);
    std::cerr << "unknown case\n";
    return not_run;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: review_standin CASE DIR RECORD\n";
        return review::not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    review::options o;
    o.trouble = trouble == nullptr || std::string_view{trouble} != "0";
    o.dir = argv[2];
    o.record = argv[3];
    try {
        return review::play(argv[1], o);
    } catch (const std::exception& e) {
        std::cerr << "review_standin: " << e.what() << "\n";
        return review::not_run;
    }
}
