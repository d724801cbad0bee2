// Cases of the third review that are no days of the bench. Usage: review_case CASE RECORD [trouble]
// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

#include "deployment.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <set>

namespace review {

namespace {

constexpr double config_deadline_s = 2.0;
constexpr double latest_end_s = 108.0; ///< Of the waits of a case.
constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

void pause(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string job_name(std::uint64_t n)
{
    std::array<char, 20> out{};
    std::snprintf(out.data(), out.size(), "%016llx", static_cast<unsigned long long>(n));
    return out.data();
}

/// A job like those of the sheet: 1.6 steps of 6 tasks, rounded up.
std::string ordinary_job()
{
    const json step{{"count", 6}, {"cpu", 3500}, {"mem-mb", 6600}, {"estimate-ms", 300}};
    json second = step;
    second["after"] = json::array({0});
    return json{{"spec", "300"}, {"steps", json::array({step, second})}}.dump();
}

std::string state_of(deployment& d, const std::string& id)
{
    std::string answer;
    return d.client_call(0, "GET", id, "", &answer) == 200 ? answer : std::string{"no answer"};
}

bool wait_completed(deployment& d, const std::string& id, record& log, double timeout_s)
{
    const double until = log.seconds() + timeout_s;
    while (log.seconds() < until) {
        if (state_of(d, id).find("completed") != std::string::npos)
            return true;
        pause(0.2);
    }
    return false;
}

std::size_t starts_of(deployment& d, const std::string& id)
{
    const std::vector<task_event> all = d.events();
    return static_cast<std::size_t>(std::count_if(
        all.begin(), all.end(), [&id](const task_event& e) { return !e.lapsed && e.task.starts_with(id); }));
}

/// Hands in ordinary jobs, which the workers have room for, and waits for their starts. Broken if one that
/// was accepted has nothing running after `wait_s`.
int judge_new_jobs(deployment& d, record& log, double wait_s)
{
    std::vector<std::string> accepted;
    for (std::uint64_t n = 0; n < 3; ++n) {
        const std::string id = job_name(0xabcd000000000000 + n);
        const double until = std::min(log.seconds() + 15.0, latest_end_s);
        int status = 0;
        while (status != 200 && log.seconds() < until) {
            status = d.client_call(n, "POST", id, ordinary_job());
            log.add("client hands in " + id + ": " + std::to_string(status));
            if (status != 200)
                pause(1.0);
        }
        if (status == 200)
            accepted.push_back(id);
    }
    if (accepted.empty()) {
        log.add("no job was accepted");
        return broken;
    }
    const double until = std::min(log.seconds() + wait_s, latest_end_s);
    bool all_started = false;
    while (!all_started && log.seconds() < until) {
        pause(0.2);
        all_started = std::all_of(accepted.begin(), accepted.end(),
                                  [&d](const std::string& id) { return starts_of(d, id) > 0; });
    }
    for (const std::string& id : accepted)
        log.add("accepted job " + id + ": " + std::to_string(starts_of(d, id)) + " starts, shown as " +
                state_of(d, id));
    log.add("processes killed for their memory: " + std::to_string(d.memory_kills()) + "; most memory " +
            std::to_string(d.peak_memory_mb()) + " MB");
    return all_started ? held : broken;
}

void start_all(deployment& d)
{
    for (std::size_t n = 0; n < d.hosts(); ++n)
        d.start_host(n);
}

/// The store as it is after hours of ordinary traffic; then all machines are stopped and started.
int aged_store(record& log, bool trouble)
{
    // Of 16.1 jobs a second, 1.8 are removed. Without the trouble: those of the last 180 s.
    constexpr double jobs_per_s = 16.14;
    constexpr double removed_per_s = 1.8;
    constexpr double kept_s = 180.0;
    const char* hours_text = std::getenv("HOURS");
    const double hours = hours_text == nullptr ? 8.0 : std::atof(hours_text);
    const auto jobs = static_cast<std::uint64_t>(trouble ? hours * 3600.0 * (jobs_per_s - removed_per_s)
                                                         : kept_s * jobs_per_s);
    deployment d{{}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    const std::string first = job_name(1);
    if (d.client_call(0, "POST", first, ordinary_job()) != 200 || !wait_completed(d, first, log, 20.0))
        return not_run;
    pause(1.0);
    const std::map<std::string, std::string> accepted = d.data().values("mjm/inbox/job/" + first);
    const std::map<std::string, std::string> progress = d.data().values("mjm/progress/" + first);
    if (accepted.size() != 1 || progress.size() != 1)
        return not_run;
    for (std::size_t n = 0; n < d.hosts(); ++n)
        d.stop_host(n, SIGTERM);
    std::map<std::string, std::string> old;
    for (std::uint64_t n = 0; n < jobs; ++n) {
        const std::string id = job_name(0x9e3779b97f4a7c15 * (n + 2));
        old["mjm/inbox/job/" + id] = accepted.begin()->second;
        old["mjm/progress/" + id] = progress.begin()->second;
    }
    d.data().add_old(old);
    old.clear();
    log.add("the store has " + std::to_string(jobs) + " completed jobs");
    start_all(d);
    pause(5.0);
    return judge_new_jobs(d, log, 60.0);
}

/// No case, a measurement: ordinary traffic for as long as `SECONDS` tells, and what the store keeps of it.
int growth(record& log)
{
    const char* seconds_text = std::getenv("SECONDS_LONG");
    const double until = seconds_text == nullptr ? 400.0 : std::atof(seconds_text);
    deployment d{{3, 8, 260}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    const json step{{"count", 2}, {"cpu", 1000}, {"mem-mb", 100}, {"estimate-ms", 100}};
    const std::string job = json{{"spec", "100"}, {"steps", json::array({step})}}.dump();
    std::uint64_t accepted = 0;
    double next_line = 0.0;
    while (log.seconds() < until) {
        accepted += d.client_call(accepted, "POST", job_name(0x1000 + accepted), job) == 200 ? 1 : 0;
        if (log.seconds() >= next_line) {
            next_line = log.seconds() + 10.0;
            log.add("accepted " + std::to_string(accepted) + ", in the store " +
                    std::to_string(d.data().count("mjm/inbox/job/")) + " jobs and " +
                    std::to_string(d.data().count("mjm/progress/")) + " entries of progress; most memory " +
                    std::to_string(d.peak_memory_mb()) + " MB");
        }
        pause(std::max(0.0, static_cast<double>(accepted) / 16.0 - log.seconds()));
    }
    return held;
}

/// Callers hand in jobs that run at many times, the first of them in an hour.
int many_occurrences(record& log, bool trouble)
{
    const char* jobs_text = std::getenv("JOBS");
    const std::uint64_t most = jobs_text == nullptr ? 600 : std::strtoull(jobs_text, nullptr, 10);
    const std::uint64_t jobs = trouble ? most : most / 10;
    deployment d{{}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    const std::int64_t due = std::chrono::duration_cast<std::chrono::milliseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count() +
                             3'600'000;
    const json step{{"count", 1}, {"cpu", 1000}, {"mem-mb", 512}, {"estimate-ms", 1000}};
    const json hourly{{"spec", "300"},
                      {"steps", json::array({step})},
                      {"times", 2000},
                      {"start-at-ms", due},
                      {"interval-ms", 3'600'000}};
    std::uint64_t accepted = 0;
    for (std::uint64_t n = 0; n < jobs; ++n) {
        const int status = d.client_call(n, "POST", job_name(0x1000 + n), hourly.dump());
        accepted += status == 200 ? 1 : 0;
        if (status != 200)
            log.add("client hands in " + job_name(0x1000 + n) + ": " + std::to_string(status));
        pause(0.03);
    }
    log.add(std::to_string(accepted) + " of " + std::to_string(jobs) + " hourly jobs were accepted");
    pause(5.0);
    return judge_new_jobs(d, log, 40.0);
}

/// A cut of the leader's zone begins as an order of it for a machine is on its way, and the leader's process
/// is killed during the cut.
int held_order(record& log, bool trouble)
{
    constexpr double cut_s = 6.2;
    deployment d{{3, 4, 260}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    double until = log.seconds() + 10.0;
    while (d.leader() == d.hosts() && log.seconds() < until)
        pause(0.05);
    const std::size_t first = d.leader();
    if (first == d.hosts())
        return not_run;
    pause(4.5); // A new leader leaves the machines alone for the first 3.2 s.
    if (trouble)
        d.cloud_link(first).cut_at(
            [](const std::string& bytes) { return bytes.find("POST /machine-upkeep") != std::string::npos; });
    d.data().put("op/wave/1",
                 json{{"wave", 1}, {"machines", d.machines()}, {"duration-s", 26}, {"cap", 1}}.dump());
    log.add("wave 1 for all machines, one at a time; front-" + std::to_string(first) + " leads");
    if (trouble) {
        until = log.seconds() + 10.0;
        while (!d.cloud_link(first).is_cut() && log.seconds() < until)
            pause(0.005);
        if (!d.cloud_link(first).is_cut())
            return not_run;
        d.store_link(first).cut(true);
        const double cut_at = log.seconds();
        log.add("the zone of front-" + std::to_string(first) + " is cut off; an order of it is on its way");
        pause(0.4);
        d.stop_host(first, SIGKILL);
        pause(1.0);
        d.start_host(first);
        pause(cut_s - (log.seconds() - cut_at));
        d.cloud_link(first).cut(false);
        d.store_link(first).cut(false);
        log.add("the cut has ended");
    }
    pause(12.0);
    int result = held;
    std::map<std::string, std::uint64_t> highest;
    for (const host_order_seen& o : d.orders()) {
        std::uint64_t& token = highest[o.machine];
        if (o.token < token) {
            log.add("ONE: " + o.machine + " gets an order with token " + std::to_string(o.token) +
                    " after one with " + std::to_string(token));
            result = broken;
        }
        token = std::max(token, o.token);
    }
    return d.orders().empty() ? not_run : result;
}

std::size_t callers_at_each_host(std::size_t usual)
{
    const char* text = std::getenv("CALLERS");
    return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

/// So many callers hand in a job each at the same time at each host. Returns how many were accepted.
int crowd_of(deployment& d, std::size_t callers)
{
    std::vector<std::thread> crowd;
    std::atomic<int> accepted = 0;
    for (std::size_t h = 0; h < d.hosts(); ++h) {
        for (std::size_t n = 0; n < callers; ++n) {
            crowd.emplace_back([&d, &accepted, h, n] {
                if (d.client_call(h, "POST", job_name(0x100000 + h * 0x10000 + n), ordinary_job()) == 200)
                    ++accepted;
            });
        }
    }
    for (std::thread& t : crowd)
        t.join();
    return accepted;
}

/// After many callers have come at once, all open connections to the store go silent; new ones work.
int silent_connections(record& log, bool trouble)
{
    deployment d{{}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    d.configure({"key-of-tenant-a", "second-key"});
    const json lasting{{"count", 4},         {"cpu", 3000},          {"mem-mb", 6000},
                       {"estimate-ms", 500}, {"long-running", true}, {"may-miss", 1}};
    const std::string service_job = job_name(0x5e41ce);
    if (d.client_call(0, "POST", service_job,
                      json{{"spec", "600000"}, {"steps", json::array({lasting})}}.dump()) != 200)
        return not_run;
    pause(3.0);
    const std::size_t before = starts_of(d, service_job);
    if (before < 4)
        return not_run;
    const int accepted = crowd_of(d, callers_at_each_host(20));
    log.add(std::to_string(accepted) + " jobs of the callers that came at once were accepted");
    pause(4.0);
    const double silent_at = log.seconds();
    for (std::size_t h = 0; h < d.hosts(); ++h) {
        log.add("front-" + std::to_string(h) + " has " + std::to_string(d.store_link(h).open_connections()) +
                " connections to the store" + (d.leader() == h ? ", and leads" : ""));
        if (trouble)
            d.store_link(h).silence();
    }
    std::vector<std::thread> pollers;
    std::atomic<double> revoked_at = 1e9;
    std::atomic<int> too_late = 0;
    for (std::size_t h = 0; h < d.hosts(); ++h) {
        pollers.emplace_back([&, h] {
            while (log.seconds() < silent_at + 35.0) {
                const double sent_at = log.seconds();
                const int status = d.call_host(h, "GET", service_job, "", "second-key");
                if (sent_at > revoked_at) {
                    const double late = sent_at - revoked_at;
                    const bool wrong = status == 200 && late > config_deadline_s;
                    too_late += wrong ? 1 : 0;
                    log.add("front-" + std::to_string(h) + " answers " + std::to_string(status) +
                            " to a call with the key, sent " + std::to_string(late) +
                            " s after its removal was acknowledged" + (wrong ? ": CONFIG" : ""));
                }
                pause(0.5);
            }
        });
    }
    std::size_t led_by = d.leader();
    while (log.seconds() < silent_at + 35.0) {
        pause(0.1);
        if (revoked_at > 1e8 && log.seconds() > silent_at + 4.0) {
            d.configure({"key-of-tenant-a"});
            revoked_at = log.seconds();
            log.add("the operator has removed the second key");
        }
        const std::size_t now = d.leader();
        if (now != led_by)
            log.add(now == d.hosts() ? std::string{"no host leads"}
                                     : "front-" + std::to_string(now) + " leads");
        led_by = now;
    }
    for (std::thread& t : pollers)
        t.join();
    const std::vector<task_event> events = d.events();
    const auto lapsed = std::count_if(events.begin(), events.end(), [&](const task_event& e) {
        return e.lapsed && e.task.starts_with(service_job);
    });
    log.add("tasks of the lasting job that lost their leases: " + std::to_string(lapsed) +
            "; calls with the removed key that were answered: " + std::to_string(too_late));
    return lapsed > 1 || too_late > 0 ? broken : held;
}

/// All open connections, to the store, to the cloud and to workers, go silent; new ones work.
int silent_workers(record& log, bool trouble)
{
    deployment d{{}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    const json lasting{{"count", 4},         {"cpu", 3000},          {"mem-mb", 6000},
                       {"estimate-ms", 500}, {"long-running", true}, {"may-miss", 1}};
    const std::string service_job = job_name(0x5e41ce);
    if (d.client_call(0, "POST", service_job,
                      json{{"spec", "600000"}, {"steps", json::array({lasting})}}.dump()) != 200)
        return not_run;
    pause(1.0);
    const int accepted = crowd_of(d, callers_at_each_host(30));
    log.add(std::to_string(accepted) + " jobs of the callers that came at once were accepted");
    pause(4.0);
    log.add("silence begins");
    const std::size_t running = starts_of(d, service_job);
    if (trouble) {
        d.silence_workers();
        for (std::size_t h = 0; h < d.hosts(); ++h) {
            log.add("front-" + std::to_string(h) + " has " +
                    std::to_string(d.store_link(h).open_connections()) + " connections to the store" +
                    (d.leader() == h ? ", and leads" : ""));
            d.store_link(h).silence();
            d.cloud_link(h).silence();
        }
    }
    pause(20.0);
    const std::vector<task_event> events = d.events();
    const auto lapsed = std::count_if(events.begin(), events.end(), [&](const task_event& e) {
        return e.lapsed && e.task.starts_with(service_job);
    });
    log.add("tasks of the lasting job that lost their leases: " + std::to_string(lapsed));
    return running < 4 ? not_run : lapsed > 1 ? broken : held;
}

/// The only machine on which a task of a lost worker may run is due for upkeep, which has to wait.
int cordoned_machine(record& log, bool trouble)
{
    constexpr std::size_t machines = 8;
    constexpr double lost_bound_s = 9.0; // 6 s after its last run and 3 s of rest.
    deployment d{{3, machines, 260}, log};
    start_all(d);
    if (!d.wait_ready(15.0))
        return not_run;
    const auto lasting = [](std::size_t tasks) {
        const json step{{"count", tasks},       {"cpu", 3000},   {"mem-mb", 6000},     {"estimate-ms", 500},
                        {"long-running", true}, {"may-miss", 1}, {"max-per-server", 1}};
        return json{{"spec", "600000"}, {"steps", json::array({step})}}.dump();
    };
    const std::string wide = job_name(0xc0);
    const std::string narrow = job_name(0xa0);
    if (d.client_call(0, "POST", wide, lasting(machines)) != 200 ||
        d.client_call(0, "POST", narrow, lasting(machines - 1)) != 200)
        return not_run;
    pause(6.0);
    std::set<std::string> with_narrow;
    std::set<std::string> all;
    std::string lost_worker;
    std::string lost_task;
    for (const task_event& e : d.events()) {
        all.insert(e.worker);
        if (!e.task.starts_with(narrow))
            continue;
        with_narrow.insert(e.worker);
        lost_worker = e.worker;
        lost_task = e.task;
    }
    if (all.size() != machines || with_narrow.size() != machines - 1)
        return not_run;
    std::string free_worker;
    for (const std::string& worker : all) {
        if (!with_narrow.contains(worker))
            free_worker = worker;
    }
    if (trouble)
        d.lose_machine_of(lost_worker);
    const double lost_at = log.seconds();
    pause(1.5);
    const std::string due = d.machine_of(free_worker);
    d.data().put("op/wave/1",
                 json{{"wave", 1}, {"machines", json::array({due})}, {"duration-s", 26}, {"cap", 1}}.dump());
    log.add("wave 1 for " + due + " with " + free_worker + ", the only one that may run " + lost_task);
    pause(45.0);
    double started_at = -1.0;
    const std::vector<task_event> events = d.events();
    std::size_t starts = 0;
    for (const task_event& e : events)
        starts += !e.lapsed && e.task == lost_task ? 1 : 0;
    if (starts > 1)
        started_at = 0.0;
    log.add(lost_task + " has " + std::to_string(starts) + " starts, " +
            std::to_string(log.seconds() - lost_at) +
            " s after the loss; orders for machines: " + std::to_string(d.orders().size()));
    return trouble && started_at < 0.0 && log.seconds() - lost_at > lost_bound_s ? broken : held;
}

int run_case(const std::string& name, const std::string& file, bool trouble)
{
    record log{file};
    int result = not_run;
    if (name == "aged_store")
        result = aged_store(log, trouble);
    else if (name == "many_occurrences")
        result = many_occurrences(log, trouble);
    else if (name == "held_order")
        result = held_order(log, trouble);
    else if (name == "silent_connections")
        result = silent_connections(log, trouble);
    else if (name == "silent_workers")
        result = silent_workers(log, trouble);
    else if (name == "cordoned_machine")
        result = cordoned_machine(log, trouble);
    else if (name == "growth")
        result = growth(log);
    log.add(result == broken ? "broken" : result == held ? "held" : "could not run");
    return result;
}

} // namespace

} // namespace review

int main(int argc, char** argv)
{
    if (argc < 3)
        return 2;
    const std::string trouble = argc > 3 ? argv[3] : "1";
    std::signal(SIGPIPE, SIG_IGN);
    return review::run_case(argv[1], argv[2], trouble != "0");
}
