#pragma once

#include "json_fields.h"
#include "run_history.h"
#include "store_standin.h"
#include "worker_standin.h"

#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_runtime.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <sys/types.h>

namespace review {

using json = nlohmann::json;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

inline constexpr milliseconds tick_interval{5};
inline constexpr int missed_beats = 3;
inline constexpr milliseconds upkeep_time{2000};
inline constexpr milliseconds client_deadline{3000};
inline constexpr int client_tries = 5;

/// Reserves ports for entry hosts. The sockets are bound and don't listen, so that only a process that
/// listens with `SO_REUSEADDR`, as an entry host does, gets the port.
class reserved_ports {
public:
    std::uint16_t next()
    {
        acceptors_.emplace_back(context_, tcp::v4());
        acceptors_.back().set_option(tcp::acceptor::reuse_address{true});
        acceptors_.back().bind(tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0});
        return acceptors_.back().local_endpoint().port();
    }

private:
    boost::asio::io_context context_;
    std::vector<tcp::acceptor> acceptors_;
};

inline std::string loopback(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Bounds and sizes of a small deployment, in the words of the settings page.
struct deployment_settings {
    std::string dir;    ///< For the settings files.
    std::string record; ///< File of the record.
    std::size_t machines = 3;
    std::vector<worker_settings> workers;
    std::string config;                                      ///< The first configuration.
    std::chrono::milliseconds heartbeat{1500};               ///< Interval of the workers' entries.
    std::chrono::milliseconds first_registration_delay{800}; ///< Of a worker that has started again.
};

/// The surroundings of the entry hosts on loopback: the platform's store and host service, workers, clients
/// and the operator. Each machine has its own port at each of them, so that single links can be cut.
class deployment {
public:
    explicit deployment(deployment_settings settings);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Runs `work` on the thread of the stand-ins and waits for it.
    void run(const std::function<void()>& work);
    /// Waits until `holds` is true on that thread. Returns false if it is not within the time.
    bool wait_until(std::chrono::milliseconds limit, const std::function<bool()>& holds);
    /// Waits until all entry hosts report that they are ready.
    bool wait_until_ready(std::chrono::milliseconds limit);

    /// Sends the machine's process a signal. It is started again a second after it has ended. Returns false
    /// if there is none.
    bool signal_machine(std::size_t machine, int signal);

    // Clients. They retry at another machine after a refusal or without an answer, four times at most.
    /// Returns whether the job was accepted.
    bool submit(const std::string& path, const std::string& body);
    /// Returns the state that is shown, or the status if there is none.
    std::string state(const std::string& path);
    bool wait_for_state(const std::string& path, const std::string& state, std::chrono::milliseconds limit);

    // Used within `run` or `wait_until`.
    store_standin& store() { return *store_; }
    worker_standin& worker(std::size_t n) { return *workers_[n]; }
    [[nodiscard]] std::size_t workers() const { return workers_.size(); }
    /// Cuts the link of a worker to the store, or mends it.
    void cut_from_store(std::size_t worker, bool off) { links_[worker].cut = off; }
    /// Starts a crashed worker again under the id that it had. Its entry follows after the delay.
    void restart(std::size_t worker);
    /// A crashed worker is gone, and its machine has a new one with another id.
    void replace(std::size_t worker);
    /// The same, and the new worker has another address. Nothing answers at the former one.
    void replace_elsewhere(std::size_t worker);
    /// While the host service is silent, no call to it has an effect or is answered.
    void set_cloud_silent(bool silent);
    /// Machines whose upkeep has begun.
    [[nodiscard]] const std::set<std::string>& upkept() const { return upkept_; }
    /// Machines for which an order to begin the upkeep came while the host service was silent.
    [[nodiscard]] const std::set<std::string>& unheard() const { return unheard_; }

    run_history& history() { return history_; }

private:
    struct link {
        bool cut = false;
        steady::time_point last_beat;
        steady::time_point next_beat;
        std::optional<steady::time_point> upkeep_until;
        std::size_t address = 0; ///< Counts the worker's changes of address.
    };
    struct ports {
        std::uint16_t caller = 0;
        std::uint16_t ready = 0;
        std::uint16_t peer = 0;
        std::uint16_t metrics = 0;
    };

    std::uint16_t
    listen(std::function<void(const mjm::http_request&, const mjm::http_server::responder&)> handler);
    void write_settings(std::size_t machine, std::uint16_t store_port, std::uint16_t cloud_port);
    void open_worker(std::size_t worker);
    void begin_upkeep(std::size_t worker);
    void answer_cloud(const mjm::http_request& request, const mjm::http_server::responder& respond);
    void tick();
    void beat();
    [[nodiscard]] std::string translate(const std::string& text, std::size_t machine) const;
    /// Returns the status and body; a status of 0 means no answer.
    std::pair<int, std::string> call(std::uint16_t port, mjm::http_request request,
                                     std::chrono::milliseconds limit);
    std::pair<int, std::string> call_front(const std::string& method, const std::string& path,
                                           const std::string& body);

    const deployment_settings settings_;
    run_history history_;
    mjm::io_runtime runtime_;
    std::unique_ptr<store_standin> store_;
    std::vector<std::unique_ptr<worker_standin>> workers_;
    std::vector<link> links_;
    std::vector<std::unique_ptr<mjm::http_server>> servers_;
    std::vector<std::vector<std::uint16_t>> worker_ports_; ///< By worker and machine.
    reserved_ports reserved_;
    std::vector<ports> ports_;
    std::unique_ptr<mjm::http_client> client_;
    std::unique_ptr<boost::asio::steady_timer> timer_;
    std::map<std::string, steady::time_point> silent_entries_; ///< Of former workers, and when they end.
    std::size_t next_machine_ = 0;
    bool cloud_silent_ = false;
    std::vector<mjm::http_server::responder> held_;
    std::set<std::string> upkept_;
    std::set<std::string> unheard_;
    bool ended_ = false;
};

inline deployment::deployment(deployment_settings settings)
    : settings_{std::move(settings)}, history_{settings_.record}
{
    store_ = std::make_unique<store_standin>(
        [this](const std::string& text, std::size_t machine) { return translate(text, machine); });
    client_ = std::make_unique<mjm::http_client>(runtime_, mjm::http_client_settings{});
    const steady::time_point now = steady::now();
    for (const worker_settings& w : settings_.workers) {
        workers_.push_back(std::make_unique<worker_standin>(w, history_));
        links_.push_back({false, now, now, std::nullopt, 0});
        worker_ports_.emplace_back();
        open_worker(workers_.size() - 1);
    }
    const std::uint16_t cloud =
        listen([this](const mjm::http_request& request, const mjm::http_server::responder& respond) {
            answer_cloud(request, respond);
        });
    for (std::size_t machine = 0; machine < settings_.machines; ++machine)
        ports_.push_back({reserved_.next(), reserved_.next(), reserved_.next(), reserved_.next()});
    for (std::size_t machine = 0; machine < settings_.machines; ++machine) {
        const std::uint16_t store = listen(
            [this, machine](const mjm::http_request& request, const mjm::http_server::responder& respond) {
                store_->handle(request, machine, respond);
            });
        write_settings(machine, store, cloud);
    }
    store_->put("op/config", settings_.config);
    beat();
    timer_ = std::make_unique<boost::asio::steady_timer>(runtime_.context());
    runtime_.start();
    boost::asio::post(runtime_.context(), [this] { tick(); });
    std::ofstream{settings_.dir + "/settings-written"} << settings_.machines << "\n";
}

inline deployment::~deployment()
{
    run([this] { ended_ = true; });
    servers_.clear();
    client_.reset();
    runtime_.settle();
    runtime_.stop();
}

std::uint16_t
deployment::listen(std::function<void(const mjm::http_request&, const mjm::http_server::responder&)> handler)
{
    servers_.push_back(
        std::make_unique<mjm::http_server>(runtime_, mjm::http_server_settings{}, std::move(handler)));
    const tl::expected<std::uint16_t, mjm::listen_errc> port = servers_.back()->listen();
    if (!port)
        throw std::runtime_error{"no free port"};
    return *port;
}

inline void deployment::write_settings(std::size_t machine, std::uint16_t store_port,
                                       std::uint16_t cloud_port)
{
    const ports& p = ports_[machine];
    const std::string number = std::to_string(machine);
    // What the platform makes of the template of the deploy file.
    const json settings{{"host", "front-" + number},
                        {"zone", "zone-" + number},
                        {"caller_address", loopback(p.caller)},
                        {"ready_address", loopback(p.ready)},
                        {"peer_address", loopback(p.peer)},
                        {"metrics_address", loopback(p.metrics)},
                        {"store_address", loopback(store_port)},
                        {"host_service_address", loopback(cloud_port)},
                        {"longest_target_lease_ms", 6000},
                        {"target_drain_ms", 2000},
                        {"cancel_time_ms", 3000},
                        {"leader_handover_ms", 3000},
                        {"processor_share", 0.25},
                        {"shutdown_grace_s", 6}};
    std::ofstream{settings_.dir + "/machine-" + number + ".json"} << settings.dump(2) << "\n";
}

inline std::string deployment::translate(const std::string& text, std::size_t machine) const
{
    std::string out = text;
    for (std::size_t n = 0; n < workers_.size(); ++n) {
        const std::string mark = "@" + workers_[n]->settings().machine + "@";
        const std::size_t at = out.find(mark);
        if (at != std::string::npos)
            out.replace(at, mark.size(), loopback(worker_ports_[n][machine]));
    }
    return out;
}

inline void deployment::answer_cloud(const mjm::http_request& request,
                                     const mjm::http_server::responder& respond)
{
    const json call = mjm::platform::parse_json(request.body);
    const std::string machine = mjm::platform::text_field(call, "machine").value_or("");
    if (cloud_silent_) {
        if (request.path == "/machine-upkeep") {
            unheard_.insert(machine);
            history_.note("unheard  upkeep of " + machine);
        }
        held_.push_back(respond);
        return;
    }
    if (request.path == "/machines") {
        json body{{"machines", json::array()}, {"next-token", nullptr}};
        for (std::size_t n = 0; n < workers_.size(); ++n) {
            const worker_standin& w = *workers_[n];
            const worker_settings& s = w.settings();
            const char* state = links_[n].upkeep_until ? "upkeep" : w.up() ? "up" : "down";
            body["machines"].push_back({{"machine", s.machine},
                                        {"pool", s.service},
                                        {"state", state},
                                        {"zone", s.zone},
                                        {"labels", {"a", "r-" + s.zone}},
                                        {"capacity", {{"cpu", s.cpu}, {"mem-mb", s.mem_mb}, {"gpu", 0}}},
                                        {"id", s.id}});
        }
        respond(answer_of(body));
        return;
    }
    for (std::size_t n = 0; request.path == "/machine-upkeep" && n < workers_.size(); ++n) {
        if (workers_[n]->settings().machine != machine)
            continue;
        if (upkept_.contains(machine) || workers_[n]->up()) {
            if (!upkept_.contains(machine))
                begin_upkeep(n);
            respond(answer_of(json::object()));
            return;
        }
    }
    respond(answer_of({{"reason", "busy"}}, 409));
}

inline void deployment::open_worker(std::size_t worker)
{
    worker_ports_[worker].clear();
    for (std::size_t machine = 0; machine < settings_.machines; ++machine)
        worker_ports_[worker].push_back(
            listen([this, worker, machine, address = links_[worker].address](
                       const mjm::http_request& request, const mjm::http_server::responder& respond) {
                if (address == links_[worker].address)
                    workers_[worker]->handle(request, machine, respond);
                else
                    respond(dropped());
            }));
}

inline void deployment::replace_elsewhere(std::size_t worker)
{
    ++links_[worker].address;
    open_worker(worker);
    replace(worker);
}

inline void deployment::begin_upkeep(std::size_t worker)
{
    const std::string machine = workers_[worker]->settings().machine;
    upkept_.insert(machine);
    history_.note("upkeep   of " + machine);
    store_->remove("servers/" + workers_[worker]->settings().id);
    workers_[worker]->crash();
    links_[worker].upkeep_until = steady::now() + upkeep_time;
}

inline void deployment::replace(std::size_t worker)
{
    const std::string old = workers_[worker]->settings().id;
    // A crashed worker sends nothing, so that its entry stays for the missed beats.
    if (store_->find("servers/" + old) != nullptr)
        silent_entries_["servers/" + old] = links_[worker].last_beat + missed_beats * settings_.heartbeat;
    workers_[worker]->restart("n" + old);
    links_[worker].next_beat = steady::now() + settings_.first_registration_delay;
}

inline void deployment::set_cloud_silent(bool silent)
{
    cloud_silent_ = silent;
    history_.note(std::string{"host service "} + (silent ? "silent" : "answers"));
    for (const mjm::http_server::responder& respond : std::exchange(held_, {}))
        respond(dropped());
}

inline void deployment::beat()
{
    const steady::time_point now = steady::now();
    if (store_->down()) {
        // Entries neither come nor go, and are written soon after the store's return.
        for (link& it : links_)
            it.last_beat = now;
        return;
    }
    std::erase_if(silent_entries_, [&](const auto& entry) {
        if (now <= entry.second)
            return false;
        store_->remove(entry.first);
        return true;
    });
    for (std::size_t n = 0; n < workers_.size(); ++n) {
        worker_standin& w = *workers_[n];
        const std::string key = "servers/" + w.settings().id;
        if (w.up() && !links_[n].cut && now >= links_[n].next_beat) {
            store_->put(key, w.registration());
            links_[n].last_beat = now;
            links_[n].next_beat = now + settings_.heartbeat;
        } else if (now - links_[n].last_beat > missed_beats * settings_.heartbeat &&
                   store_->find(key) != nullptr) {
            store_->remove(key);
        }
    }
}

inline void deployment::tick()
{
    if (ended_)
        return;
    store_->tick();
    for (std::size_t n = 0; n < workers_.size(); ++n) {
        workers_[n]->tick();
        if (links_[n].upkeep_until && steady::now() >= *links_[n].upkeep_until) {
            links_[n].upkeep_until.reset();
            replace(n);
        }
    }
    beat();
    timer_->expires_after(tick_interval);
    timer_->async_wait([this](boost::system::error_code) { tick(); });
}

inline void deployment::restart(std::size_t worker)
{
    workers_[worker]->restart(workers_[worker]->settings().id);
    links_[worker].next_beat = steady::now() + settings_.first_registration_delay;
}

inline bool deployment::signal_machine(std::size_t machine, int signal)
{
    pid_t pid = 0;
    std::ifstream{settings_.dir + "/machine-" + std::to_string(machine) + ".pid"} >> pid;
    run([&] {
        history_.note("signal " + std::to_string(signal) + " to machine " + std::to_string(machine));
    });
    return pid > 0 && kill(pid, signal) == 0;
}

inline void deployment::run(const std::function<void()>& work)
{
    std::promise<void> done;
    boost::asio::post(runtime_.context(), [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

inline bool deployment::wait_until(milliseconds limit, const std::function<bool()>& holds)
{
    const steady::time_point until = steady::now() + limit;
    while (true) {
        bool result = false;
        run([&] { result = holds(); });
        if (result)
            return true;
        if (steady::now() >= until)
            return false;
        std::this_thread::sleep_for(tick_interval);
    }
}

inline std::pair<int, std::string> deployment::call(std::uint16_t port, mjm::http_request request,
                                                    milliseconds limit)
{
    std::promise<std::pair<int, std::string>> answer;
    client_->send({"127.0.0.1", port}, std::move(request), limit,
                  [&answer](const tl::expected<mjm::http_response, mjm::http_errc>& r) {
                      answer.set_value(r ? std::pair{r->status, r->body} : std::pair{0, std::string{}});
                  });
    return answer.get_future().get();
}

inline bool deployment::wait_until_ready(milliseconds limit)
{
    const steady::time_point until = steady::now() + limit;
    for (std::size_t machine = 0; machine < ports_.size();) {
        mjm::http_request request;
        request.method = "GET";
        request.path = "/ready";
        if (call(ports_[machine].ready, request, milliseconds{500}).first == 200)
            ++machine;
        else if (steady::now() >= until)
            return false;
        else
            std::this_thread::sleep_for(milliseconds{50});
    }
    return true;
}

inline std::pair<int, std::string> deployment::call_front(const std::string& method, const std::string& path,
                                                          const std::string& body)
{
    std::pair<int, std::string> answer;
    for (int n = 0; n < client_tries; ++n) {
        const std::size_t machine = next_machine_++ % ports_.size();
        mjm::http_request request;
        request.method = method;
        request.path = path;
        request.body = body;
        // The route's host is the address, which the HTTP client names in its `Host` header.
        request.headers = {{"authorization", "Token key-of-tenant"},
                           {"content-type", "application/json"},
                           {"x-deadline-ms", std::to_string(client_deadline.count())}};
        answer = call(ports_[machine].caller, request, client_deadline);
        run([&] {
            history_.note(method + " " + path + " at machine " + std::to_string(machine) + ": " +
                          std::to_string(answer.first) + " " + answer.second);
        });
        if (answer.first / 100 == 2 || answer.first / 100 == 4)
            break;
        std::this_thread::sleep_for(milliseconds{300});
    }
    return answer;
}

inline bool deployment::submit(const std::string& path, const std::string& body)
{
    return call_front("POST", path, body).first / 100 == 2;
}

inline std::string deployment::state(const std::string& path)
{
    const std::pair<int, std::string> answer = call_front("GET", path, "");
    const std::optional<std::string> state =
        mjm::platform::text_field(mjm::platform::parse_json(answer.second), "state");
    return state.value_or("status " + std::to_string(answer.first));
}

inline bool deployment::wait_for_state(const std::string& path, const std::string& state, milliseconds limit)
{
    const steady::time_point until = steady::now() + limit;
    while (this->state(path) != state) {
        if (steady::now() >= until)
            return false;
        std::this_thread::sleep_for(milliseconds{500});
    }
    return true;
}

} // namespace review
