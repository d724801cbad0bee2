// Plays one case of the review: the surroundings of the entry hosts on loopback, a job or two, and a
// disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. usage:
// review_standin CASE DIR RECORD

#include "deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
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

std::string job_text(int count, int cpu, int estimate_ms)
{
    return json{{"spec", "review"},
                {"steps", {{{"count", count}, {"cpu", cpu}, {"mem-mb", 100}, {"estimate-ms", estimate_ms}}}}}
        .dump();
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

/// Returns the machine that gives the orders.
std::optional<std::size_t> leader_of(deployment& d)
{
    std::optional<std::size_t> leader;
    d.run([&] {
        for (std::size_t w = 0; w < d.workers(); ++w)
            leader = d.worker(w).ordered_by() ? d.worker(w).ordered_by() : leader;
    });
    return leader;
}

/// The zone of the machine that gives the orders is partitioned from the other zones and from the platform.
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
    if (o.trouble)
        d.run([&] { cut(true); });
    sleep_for(milliseconds{10000});
    if (o.trouble)
        d.run([&] { cut(false); });
    if (!d.wait_for_state(job, "completed", milliseconds{45000}))
        d.run([&] { d.history().note("the job isn't completed"); });
    return judge_twice(d);
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
    if (o.trouble && !d.kill_machine(*leader_of(d)))
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
    for (const char* name : {"1", "2", "3"}) {
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
    for (const char* name : {"1", "2"}) {
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
    const auto cut = [&](bool off) {
        const std::size_t w = d.worker(0).ordered_by() ? 0 : 1;
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

int play(std::string_view name, const options& o)
{
    if (name == "zone-cut")
        return play_zone_cut(o);
    if (name == "many-ends")
        return play_many_ends(o);
    if (name == "restarted-worker")
        return play_restarted_worker(o);
    if (name == "idle-worker-cut")
        return play_idle_worker_cut(o);
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
