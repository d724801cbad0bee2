#pragma once

#include "store.h"
#include "worker.h"

#include <atomic>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// What was sent, answered and run, with the seconds since the start.
class record {
public:
    explicit record(const std::string& file) : out_{file} {}
    void add(const std::string& line);
    [[nodiscard]] double seconds() const;

private:
    std::mutex mutex_;
    std::ofstream out_;
    const steady::time_point begin_ = steady::now();
};

/// A link that can be cut. Bytes that are held up are delivered when the cut ends, also after their sender
/// has closed the connection in order; they are lost if it has reset the connection.
class cuttable_link {
public:
    using trigger = std::function<bool(const std::string&)>;

    explicit cuttable_link(std::uint16_t upstream);
    ~cuttable_link();
    cuttable_link(const cuttable_link&) = delete;
    cuttable_link& operator=(const cuttable_link&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    void cut(bool on) { cut_ = on; }
    /// The first message for which `matches` is true begins a cut of this link, before it is passed on.
    void cut_at(trigger matches);
    [[nodiscard]] bool is_cut() const { return cut_; }
    /// All connections that are open now go silent for good, without a reset; new ones work.
    void silence() { ++generation_; }
    [[nodiscard]] int open_connections() const { return open_; }

private:
    void accept_connections();
    void serve(int client);

    const std::uint16_t upstream_;
    std::uint16_t port_ = 0;
    int listener_ = -1;
    std::atomic<bool> cut_ = false;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> open_ = 0;
    std::atomic<int> generation_ = 0; ///< Connections of earlier ones are silent.
    std::mutex mutex_;
    trigger trigger_;
    std::thread thread_;
};

struct host_order_seen {
    double at = 0.0;
    std::string holder;
    std::uint64_t token = 0;
    std::string machine;
    std::string order;
    int status = 0;
};

/// The platform with its workers, and the entry hosts, which are processes of their own.
class deployment {
public:
    struct options {
        std::size_t hosts = 3;
        std::size_t workers = 4;
        std::size_t memory_mb = 260;
    };

    deployment(const options& o, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    void start_host(std::size_t n);
    void stop_host(std::size_t n, int signal);
    /// Waits until every host answers its readiness check.
    bool wait_ready(double timeout_s);
    [[nodiscard]] std::size_t hosts() const { return hosts_.size(); }
    /// Returns the index of the leading host, or `hosts()` if none leads.
    [[nodiscard]] std::size_t leader();
    [[nodiscard]] store& data() { return store_; }
    [[nodiscard]] cuttable_link& store_link(std::size_t n) { return *hosts_.at(n).to_store; }
    [[nodiscard]] cuttable_link& cloud_link(std::size_t n) { return *hosts_.at(n).to_cloud; }
    /// The machine of this worker is lost for good.
    void lose_machine_of(const std::string& worker);
    /// Returns the machine of a worker, or an empty text.
    [[nodiscard]] std::string machine_of(const std::string& worker);
    /// The links to the workers, which all hosts share.
    void silence_workers();
    [[nodiscard]] std::vector<task_event> events();
    [[nodiscard]] std::vector<host_order_seen> orders();
    [[nodiscard]] std::vector<std::string> machines() const;
    /// Number of processes that were ended because they had exceeded their memory.
    [[nodiscard]] int memory_kills() const { return memory_kills_; }
    [[nodiscard]] std::size_t peak_memory_mb() const { return peak_ >> 20U; }
    /// Writes the next configuration, in which the tenant has these keys.
    void configure(const std::vector<std::string>& keys);
    /// Sends a client's call to one host; returns the status, or 0 without an answer.
    int call_host(std::size_t n, const std::string& method, const std::string& id, const std::string& body,
                  const std::string& key, std::string* answer = nullptr);
    /// Sends a client's call to any host that answers; returns the last status, or 0 without an answer.
    int client_call(std::size_t first_host, const std::string& method, const std::string& id,
                    const std::string& body, std::string* answer = nullptr);

private:
    struct host {
        std::string name;
        std::uint16_t caller = 0;
        std::uint16_t ready = 0;
        std::uint16_t peer = 0;
        std::uint16_t metrics = 0;
        std::unique_ptr<cuttable_link> to_store;
        std::unique_ptr<cuttable_link> to_cloud;
        std::string settings;
        pid_t pid = -1;
        bool wanted = false;
        steady::time_point restart_at;
    };
    struct machine {
        std::string name;
        std::unique_ptr<worker> current;
        std::unique_ptr<cuttable_link> link;
        std::string state = "up";
        std::string pool = "pool-a";
        steady::time_point up_at;
        steady::time_point unlisted_at; ///< When the entry of a lost worker lapses; the epoch if it is up.
        std::set<std::uint64_t> waves;
    };

    void write_settings(host& h);
    void spawn(host& h);
    void run_platform();
    void watch_processes();
    void beat();
    void join(machine& m);
    std::optional<http_response> cloud(const http_request& request);
    http_response list_machines();
    http_response order_machine(const http_request& request);

    const options options_;
    record& record_;
    std::string folder_;
    store store_;
    std::mutex mutex_;
    std::mutex events_mutex_; ///< Separate, since workers call back with their own locks held.
    std::vector<task_event> events_;
    std::vector<host_order_seen> orders_;
    std::vector<machine> machines_;
    std::vector<std::unique_ptr<worker>> former_;
    std::vector<std::unique_ptr<cuttable_link>> former_links_;
    std::unique_ptr<http_server> cloud_;
    std::vector<host> hosts_;
    std::atomic<int> memory_kills_ = 0;
    std::atomic<std::size_t> peak_ = 0;
    std::atomic<bool> stopping_ = false;
    std::int64_t next_worker_ = 0;
    std::uint64_t version_ = 0;
    std::thread platform_;
};

} // namespace review
