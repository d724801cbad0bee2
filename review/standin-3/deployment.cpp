#include "deployment.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <poll.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr std::chrono::milliseconds heartbeat{1500};
constexpr std::chrono::milliseconds upkeep_time{2000};
constexpr std::chrono::milliseconds move_time{1500};
constexpr std::chrono::milliseconds restart_delay{1000};
constexpr const char* first_key = "key-of-tenant-a";
constexpr const char* program = "target/bin/mjm_platform_entry";

std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Returns a port that was free a moment ago.
std::uint16_t free_port()
{
    std::uint16_t port = 0;
    close(listen_on_loopback(port));
    return port;
}

// The processes that are to end with this one; 0 for none.
std::array<std::atomic<pid_t>, 16> children{};

extern "C" void review_end_children(int /*signal*/)
{
    for (const std::atomic<pid_t>& child : children) {
        if (child > 0)
            kill(child, SIGKILL);
    }
    _exit(2);
}

void note_child(pid_t former, pid_t present)
{
    for (std::atomic<pid_t>& child : children) {
        if (child == former) {
            child = present;
            return;
        }
    }
}

std::size_t resident_bytes(pid_t pid)
{
    std::ifstream in{"/proc/" + std::to_string(pid) + "/statm"};
    std::size_t size = 0;
    std::size_t resident = 0;
    in >> size >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

void record::add(const std::string& line)
{
    const std::lock_guard lock{mutex_};
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f  ", seconds());
    out_ << time.data() << line << std::endl;
}

double record::seconds() const
{
    return std::chrono::duration<double>(steady::now() - begin_).count();
}

cuttable_link::cuttable_link(std::uint16_t upstream) : upstream_{upstream}
{
    listener_ = listen_on_loopback(port_);
    thread_ = std::thread{[this] { accept_connections(); }};
}

cuttable_link::~cuttable_link()
{
    stopping_ = true;
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
    while (open_ > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds{5});
}

void cuttable_link::cut_at(trigger matches)
{
    const std::lock_guard lock{mutex_};
    trigger_ = std::move(matches);
}

void cuttable_link::accept_connections()
{
    while (!stopping_) {
        const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        ++open_;
        std::thread{[this, fd] {
            serve(fd);
            --open_;
        }}.detach();
    }
}

void cuttable_link::serve(int client)
{
    int server = -1;
    std::string held;
    bool client_closed = false;
    std::array<char, 65536> chunk{};
    const int generation = generation_;
    while (!stopping_) {
        if (generation != generation_) {
            pollfd wait{client, POLLIN, 0};
            poll(&wait, 1, 20);
            if (wait.revents != 0 && recv(client, chunk.data(), chunk.size(), MSG_DONTWAIT) <= 0)
                break;
            continue;
        }
        if (!cut_) {
            if (server < 0)
                server = connect_to_loopback(upstream_);
            if (server < 0 || (!held.empty() && !send_all(server, held)))
                break;
            held.clear();
            if (client_closed)
                shutdown(server, SHUT_WR);
        }
        std::array<pollfd, 2> wait{pollfd{client_closed ? -1 : client, POLLIN, 0},
                                   pollfd{cut_ ? -1 : server, POLLIN, 0}};
        poll(wait.data(), wait.size(), 2);
        if (wait[0].revents != 0) {
            const ssize_t n = recv(client, chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (n < 0 && errno == EAGAIN)
                continue;
            if (n < 0)
                break; // Reset: what is held up is lost.
            if (n == 0) {
                client_closed = true;
                if (held.empty() && cut_ && server < 0)
                    break;
                continue;
            }
            held.append(chunk.data(), static_cast<std::size_t>(n));
            const std::lock_guard lock{mutex_};
            if (trigger_ && trigger_(held)) {
                trigger_ = nullptr;
                cut_ = true;
            }
        }
        if (wait[1].revents != 0 && !cut_) {
            const ssize_t n = recv(server, chunk.data(), chunk.size(), MSG_DONTWAIT);
            if (n < 0 && errno == EAGAIN)
                continue;
            if (n <= 0)
                break;
            if (!client_closed && !send_all(client, std::string{chunk.data(), static_cast<std::size_t>(n)}))
                break;
        }
    }
    close(client);
    if (server >= 0)
        close(server);
}

deployment::deployment(const options& o, record& log) : options_{o}, record_{log}
{
    std::signal(SIGTERM, review_end_children);
    std::signal(SIGINT, review_end_children);
    std::string pattern = (std::filesystem::temp_directory_path() / "mjm-review-XXXXXX").string();
    folder_ = mkdtemp(pattern.data()) == nullptr ? "." : pattern;
    cloud_ = std::make_unique<http_server>([this](const http_request& request) { return cloud(request); });
    configure({first_key});
    machines_.resize(options_.workers);
    for (std::size_t n = 0; n < machines_.size(); ++n) {
        machines_[n].name = "m-" + std::to_string(n);
        join(machines_[n]);
    }
    hosts_.resize(options_.hosts);
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        host& h = hosts_[n];
        h.name = "front-" + std::to_string(n);
        h.caller = free_port();
        h.ready = free_port();
        h.peer = free_port();
        h.metrics = free_port();
        h.to_store = std::make_unique<cuttable_link>(store_.port());
        h.to_cloud = std::make_unique<cuttable_link>(cloud_->port());
        write_settings(h);
    }
    platform_ = std::thread{[this] { run_platform(); }};
}

void deployment::configure(const std::vector<std::string>& keys)
{
    const json config{
        {"version", ++version_},
        {"routes", json::array({{{"name", "r-a"},
                                 {"host", "desk.example"},
                                 {"prefix", "/desk/"},
                                 {"type", "unsafe"},
                                 {"timeout-ms", 3000},
                                 {"target-latency-ms", 600},
                                 {"priority", 0},
                                 {"service", "pool-a"},
                                 {"max-attempts", 3},
                                 {"stretch", 1.6},
                                 {"anonymous", false}}})},
        {"services", json::array({{{"name", "pool-a"}, {"rejects-overload", true}, {"standby", false}}})},
        {"limits", json::object()},
        {"tenants", json::array({{{"name", "tenant-a"},
                                  {"api-keys", keys},
                                  {"weight", 1},
                                  {"cap", {{"cpu", 0}, {"mem-mb", 0}, {"gpu", 0}}}}})}};
    store_.put("op/config", config.dump());
}

deployment::~deployment()
{
    stopping_ = true;
    platform_.join();
    for (std::size_t n = 0; n < hosts_.size(); ++n)
        stop_host(n, SIGKILL);
    hosts_.clear();
    cloud_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void deployment::write_settings(host& h)
{
    const json settings{{"host", h.name},
                        {"zone", "z-a"},
                        {"caller_address", loopback(h.caller)},
                        {"ready_address", loopback(h.ready)},
                        {"peer_address", loopback(h.peer)},
                        {"metrics_address", loopback(h.metrics)},
                        {"store_address", loopback(h.to_store->port())},
                        {"host_service_address", loopback(h.to_cloud->port())},
                        {"longest_target_lease_ms", 6000},
                        {"target_drain_ms", 2000},
                        {"cancel_time_ms", 3000},
                        {"config_time_ms", 2000},
                        {"evacuation_time_ms", nullptr},
                        {"leader_handover_ms", 3000},
                        {"processor_share", 0.25},
                        {"memory_mb", options_.memory_mb},
                        {"max_descriptors", 4100},
                        {"shutdown_grace_s", 6}};
    h.settings = folder_ + "/" + h.name + ".json";
    std::ofstream{h.settings} << settings.dump(2);
}

void deployment::spawn(host& h)
{
    const std::string variable = "MARJORAMMILL_BOOT=" + h.settings;
    const std::string log = folder_ + "/" + h.name + ".log";
    // Doesn't return before the program has replaced the copy of this process, whose memory would count.
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    std::array<char*, 2> arguments{const_cast<char*>(program), nullptr};
    std::array<char*, 4> environment{const_cast<char*>("PATH=/usr/bin:/bin"), const_cast<char*>("LANG=C"),
                                     const_cast<char*>(variable.c_str()), nullptr};
    pid_t pid = -1;
    if (posix_spawn(&pid, program, &actions, nullptr, arguments.data(), environment.data()) != 0)
        pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    h.pid = pid;
    note_child(0, pid);
    record_.add(h.name + " is started");
}

void deployment::start_host(std::size_t n)
{
    const std::lock_guard lock{mutex_};
    hosts_.at(n).wanted = true;
    spawn(hosts_.at(n));
}

void deployment::stop_host(std::size_t n, int signal)
{
    pid_t pid = -1;
    {
        const std::lock_guard lock{mutex_};
        host& h = hosts_.at(n);
        h.wanted = false;
        pid = h.pid;
        h.pid = -1;
    }
    if (pid <= 0)
        return;
    record_.add("front-" + std::to_string(n) + " gets signal " + std::to_string(signal));
    kill(pid, signal);
    waitpid(pid, nullptr, 0);
    note_child(pid, 0);
}

bool deployment::wait_ready(double timeout_s)
{
    const double until = record_.seconds() + timeout_s;
    for (host& h : hosts_) {
        while (true) {
            const std::optional<http_response> r = call(h.ready, "GET", "/ready", {{"host", "x"}}, "", 300);
            if (r && r->status == 200)
                break;
            if (record_.seconds() > until)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
    }
    return true;
}

std::size_t deployment::leader()
{
    const std::map<std::string, std::string> keys = store_.values("mjm/leader");
    for (std::size_t n = 0; n < hosts_.size(); ++n) {
        if (!keys.empty() && keys.begin()->second == encode_base64(loopback(hosts_[n].peer)))
            return n;
    }
    return hosts_.size();
}

std::vector<task_event> deployment::events()
{
    const std::lock_guard lock{events_mutex_};
    return events_;
}

std::vector<host_order_seen> deployment::orders()
{
    const std::lock_guard lock{mutex_};
    return orders_;
}

std::vector<std::string> deployment::machines() const
{
    std::vector<std::string> out;
    for (const machine& m : machines_)
        out.push_back(m.name);
    return out;
}

int deployment::call_host(std::size_t n, const std::string& method, const std::string& id,
                          const std::string& body, const std::string& key, std::string* answer)
{
    const std::optional<http_response> r =
        call(hosts_.at(n).caller, method, "/desk/" + id,
             {{"host", "desk.example"}, {"authorization", "Token " + key}}, body, 3000);
    if (r && answer != nullptr)
        *answer = r->body;
    return r ? r->status : 0;
}

int deployment::client_call(std::size_t first_host, const std::string& method, const std::string& id,
                            const std::string& body, std::string* answer)
{
    int status = 0;
    for (std::size_t n = 0; n < hosts_.size() && status != 200; ++n)
        status = call_host((first_host + n) % hosts_.size(), method, id, body, first_key, answer);
    return status;
}

void deployment::run_platform()
{
    steady::time_point next_beat = steady::now();
    while (!stopping_) {
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
        watch_processes();
        const std::lock_guard lock{mutex_};
        for (machine& m : machines_) {
            if (m.state != "up" && steady::now() >= m.up_at)
                join(m);
            if (m.state == "down" && m.current && steady::now() >= m.unlisted_at) {
                store_.remove("servers/" + m.current->id());
                former_.push_back(std::move(m.current));
            }
        }
        if (steady::now() >= next_beat) {
            next_beat = steady::now() + heartbeat;
            beat();
        }
    }
}

void deployment::watch_processes()
{
    const std::lock_guard lock{mutex_};
    for (host& h : hosts_) {
        if (h.wanted && h.pid < 0 && steady::now() >= h.restart_at)
            spawn(h);
        if (h.pid <= 0)
            continue;
        const std::size_t bytes = resident_bytes(h.pid);
        peak_ = std::max(peak_.load(), bytes);
        if (bytes > options_.memory_mb << 20U) {
            ++memory_kills_;
            record_.add(h.name + " uses " + std::to_string(bytes >> 20U) + " MB of " +
                        std::to_string(options_.memory_mb) + ": the platform kills it");
            kill(h.pid, SIGKILL);
        }
        int status = 0;
        if (waitpid(h.pid, &status, WNOHANG) == h.pid) {
            record_.add(h.name + " has ended, wait status " + std::to_string(status));
            note_child(h.pid, 0);
            h.pid = -1;
            h.restart_at = steady::now() + restart_delay;
        }
    }
}

void deployment::beat()
{
    for (machine& m : machines_) {
        if (m.current && m.state == "up")
            store_.put("servers/" + m.current->id(),
                       m.current->registration(m.pool, m.name, m.link->port()).dump());
    }
}

void deployment::join(machine& m)
{
    m.state = "up";
    m.current = std::make_unique<worker>(
        "i-" + std::to_string(++next_worker_), unix_ms(), [this](const task_event& e) {
            record_.add(e.worker + (e.lapsed ? " loses " : " starts ") + e.task + " run " +
                        std::to_string(e.run) + (e.lapsed ? ", its lease is over" : ""));
            const std::lock_guard lock{events_mutex_};
            events_.push_back(e);
        });
    m.link = std::make_unique<cuttable_link>(m.current->port());
    store_.put("servers/" + m.current->id(), m.current->registration(m.pool, m.name, m.link->port()).dump());
}

void deployment::lose_machine_of(const std::string& worker)
{
    const std::lock_guard lock{mutex_};
    for (machine& m : machines_) {
        if (!m.current || m.current->id() != worker)
            continue;
        record_.add(m.name + " with " + worker + " is lost for good");
        m.current->kill();
        m.state = "down";
        m.up_at = steady::time_point::max();
        m.unlisted_at = steady::now() + 3 * heartbeat;
    }
}

std::string deployment::machine_of(const std::string& worker)
{
    const std::lock_guard lock{mutex_};
    for (const machine& m : machines_) {
        if (m.current && m.current->id() == worker)
            return m.name;
    }
    return {};
}

void deployment::silence_workers()
{
    const std::lock_guard lock{mutex_};
    for (machine& m : machines_) {
        if (!m.link)
            continue;
        record_.add(m.name + " has " + std::to_string(m.link->open_connections()) + " connections");
        m.link->silence();
    }
}

std::optional<http_response> deployment::cloud(const http_request& request)
{
    if (request.path == "/machines")
        return list_machines();
    return order_machine(request);
}

http_response deployment::list_machines()
{
    const std::lock_guard lock{mutex_};
    json out = json::array();
    for (const machine& m : machines_) {
        out.push_back({{"machine", m.name},
                       {"pool", m.pool},
                       {"state", m.state},
                       {"zone", "z-a"},
                       {"labels", json::array({"a", "r1"})},
                       {"capacity", {{"cpu", 64000}, {"mem-mb", 262144}, {"gpu", 0}}},
                       {"id", m.current ? m.current->id() : ""}});
    }
    return {200, json{{"machines", out}, {"next-token", nullptr}}.dump()};
}

http_response deployment::order_machine(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    host_order_seen seen;
    seen.at = record_.seconds();
    seen.order = request.path;
    const auto holder = request.headers.find("x-lease-holder");
    const auto token = request.headers.find("x-fencing-token");
    seen.holder = holder == request.headers.end() ? "" : holder->second;
    seen.token = token == request.headers.end() ? 0 : std::stoull("0" + token->second);
    seen.machine = body.value("machine", "");
    seen.status = 400;
    const std::lock_guard lock{mutex_};
    for (machine& m : machines_) {
        if (m.name != seen.machine)
            continue;
        const std::uint64_t wave = body.value("wave", std::uint64_t{0});
        const bool is_move = request.path == "/machine-move";
        const bool done = is_move ? body.value("pool", "") == m.pool : m.waves.contains(wave);
        seen.status = done || m.state == "up" ? 200 : 409;
        if (done || m.state != "up")
            continue;
        m.current->kill();
        store_.remove("servers/" + m.current->id());
        former_.push_back(std::move(m.current));
        former_links_.push_back(std::move(m.link));
        m.state = is_move ? "moving" : "upkeep";
        m.up_at = steady::now() + (is_move ? move_time : upkeep_time);
        m.waves.insert(wave);
        if (is_move)
            m.pool = body.value("pool", "");
    }
    orders_.push_back(seen);
    record_.add("platform gets " + seen.order + " for " + seen.machine + " from " + seen.holder + ", token " +
                std::to_string(seen.token) + ", answers " + std::to_string(seen.status));
    return {seen.status, seen.status == 409 ? R"({"reason":"busy"})" : "{}"};
}

} // namespace review
