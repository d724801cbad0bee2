#include "deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <thread>

namespace review {

namespace {

using json = nlohmann::json;

constexpr const char* service = "desk";
constexpr const char* queue_host = "desk.example";
constexpr const char* queue_prefix = "/quotes/";
constexpr const char* key = "sjnbanfqasnmgkcuyj8p";
const std::array<std::string, 3> zones{"a", "b", "c"};

std::string configuration(std::int64_t team_cpu)
{
    return json{{"version", 7},
                {"routes",
                 {{{"name", "r-quotes"},
                   {"host", queue_host},
                   {"prefix", queue_prefix},
                   {"type", "unsafe"},
                   {"timeout-ms", 3000},
                   {"target-latency-ms", 600},
                   {"priority", 0},
                   {"service", service},
                   {"max-attempts", 2},
                   {"stretch", 1.6},
                   {"anonymous", false}}}},
                {"services",
                 {{{"name", service},
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
                 {{{"name", "team"},
                   {"api-keys", {key}},
                   {"priority", 1},
                   {"weight", 49},
                   {"cap", {{"cpu", team_cpu}, {"mem-mb", 0}, {"gpu", 0}}}}}}}
        .dump();
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

deployment::deployment(std::string program, std::string folder, record& log)
    : program_{std::move(program)}, folder_{std::move(folder)}, log_{log},
      machine_service_{[this](const request& r) { return machines(r); }}
{
    store_.start();
    machine_service_.start();
}

void deployment::stop_entries()
{
    for (const entry& e : entries_) {
        kill(e.pid, SIGKILL);
        waitpid(e.pid, nullptr, 0);
    }
    entries_.clear();
}

std::size_t deployment::stop_leader()
{
    const std::string leader = store_.get("mjm/leader");
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (leader != address(entries_[i].peer_port))
            continue;
        log_.write("SIGTERM to " + entries_[i].name);
        kill(entries_[i].pid, SIGTERM);
        return i;
    }
    return entries_.size();
}

void deployment::add_workers(int count)
{
    for (int i = 0; i < count; ++i) {
        worker_settings s;
        s.machine = "m-" + std::to_string(i + 1);
        s.service = service;
        s.zone = zones[static_cast<std::size_t>(i) % zones.size()];
        // One machine is of another kind.
        s.kind = i + 1 == count ? "b" : "a";
        s.rack = "r1-" + std::to_string(i / 4 + 1);
        workers_.push_back(std::make_unique<worker>(s, store_, log_));
    }
}

reply deployment::machines(const request& r)
{
    if (r.path != "/machines") {
        log_.write("machine service " + r.path + " " + r.body + " -> 409 busy");
        return {409, json{{"reason", "busy"}}.dump(), false};
    }
    json rows = json::array();
    for (const std::unique_ptr<worker>& w : workers_) {
        const worker_settings s = w->settings();
        rows.push_back({{"machine", s.machine},
                        {"pool", s.service},
                        {"state", "up"},
                        {"zone", s.zone},
                        {"labels", {s.kind, s.rack}},
                        {"capacity", {{"cpu", s.cpu}, {"mem-mb", s.memory_mb}, {"gpu", 0}}},
                        {"id", s.id}});
    }
    return {200, json{{"machines", rows}, {"next-token", nullptr}}.dump(), false};
}

void deployment::start_entry(const std::string& name, const std::string& zone)
{
    entry e;
    e.name = name;
    e.caller_port = free_port();
    e.ready_port = free_port();
    e.peer_port = free_port();
    const std::string settings = folder_ + "/" + name + ".json";
    std::ofstream{settings} << json{
        {"host", name},
        {"zone", zone},
        {"caller_address", address(e.caller_port)},
        {"ready_address", address(e.ready_port)},
        {"peer_address", address(e.peer_port)},
        {"metrics_address", address(free_port())},
        {"store_address", address(store_.port())},
        {"host_service_address", address(machine_service_.port())},
        {"longest_target_lease_ms", 6000},
        {"target_drain_ms", 2000},
        {"cancel_time_ms", 3000},
        {"config_time_ms", 2000},
        {"leader_handover_ms", 3000},
        {"processor_share", 0.25},
        {"shutdown_grace_s", 6}}.dump(2);
    launch(e);
    entries_.push_back(e);
}

void deployment::launch(entry& e)
{
    const std::string log_file = folder_ + "/" + e.name + ".log";
    const std::string settings = folder_ + "/" + e.name + ".json";
    const pid_t parent = getpid();
    setenv("MARJORAMMILL_BOOT", settings.c_str(), 1);
    e.pid = fork();
    if (e.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(1);
        const int out = open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
        _exit(127);
    }
    log_.write("starts " + program_ + " as " + e.name + ", process " + std::to_string(e.pid));
}

void deployment::restart_ended()
{
    for (entry& e : entries_) {
        if (waitpid(e.pid, nullptr, WNOHANG) != 0)
            launch(e);
    }
}

bool deployment::start()
{
    store_.put("op/config", configuration(team_cpu_));
    for (const std::unique_ptr<worker>& w : workers_)
        w->start();
    for (const std::string& zone : zones)
        start_entry("front-" + zone + "-1", zone);
    for (int i = 0; i < 150; ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        // Another process may have taken a port that was free.
        for (std::size_t k = 0; k < entries_.size(); ++k) {
            if (waitpid(entries_[k].pid, nullptr, WNOHANG) != 0) {
                entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(k));
                start_entry("front-" + zones[k] + "-1", zones[k]);
                std::rotate(entries_.begin() + static_cast<std::ptrdiff_t>(k), entries_.end() - 1,
                            entries_.end());
            }
        }
        bool ready = true;
        for (const entry& e : entries_) {
            const std::optional<reply> r =
                call(e.ready_port, "GET", "/ready", {{"Host", "balancer"}}, {}, 500);
            ready = ready && r && r->status == 200;
        }
        if (ready) {
            log_.write("all entry processes are ready");
            return true;
        }
    }
    log_.write("the entry processes don't become ready");
    return false;
}

std::optional<reply> deployment::client(std::size_t entry, const std::string& method, const std::string& path,
                                        const std::string& body)
{
    std::optional<reply> r = call(
        entries_.at(entry).caller_port, method, queue_prefix + path,
        {{"Host", queue_host}, {"Authorization", std::string{"Token "} + key}, {"X-Deadline-Ms", "3000"}},
        body, 3000);
    log_.write("client " + method + " " + path + " " + body + " at " + entries_.at(entry).name + " -> " +
               (r ? std::to_string(r->status) + " " + r->body : "no answer"));
    return r;
}

bool deployment::submit(const std::string& id, const std::string& body)
{
    for (std::size_t i = 0; i < 5; ++i) {
        const std::optional<reply> r = client(i % entries_.size(), "POST", id, body);
        if (r && r->status / 100 == 2)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
    }
    return false;
}

std::string deployment::state_of(const std::string& id)
{
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        const std::optional<reply> r = client(i, "GET", id, {});
        if (r && r->status == 200)
            return json::parse(r->body).value("state", "");
        if (r && r->status == 410)
            return "410";
    }
    return {};
}

bool deployment::entries_alive() const
{
    for (const entry& e : entries_) {
        if (waitpid(e.pid, nullptr, WNOHANG) != 0)
            return false;
    }
    return true;
}

} // namespace review
