#pragma once

#include "http.h"
#include "record.h"
#include "store.h"
#include "worker.h"

#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A small deployment on loopback addresses: the platform's store, its service for machines, workers of one
/// service, and the product's entry processes, one in each of three zones.
class deployment {
public:
    /// `program` is the product's program; `folder` takes its settings files and logs.
    deployment(std::string program, std::string folder, record& log);
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Ends the entry processes.
    void stop_entries();
    [[nodiscard]] std::size_t entries() const { return entries_.size(); }
    /// Sends SIGTERM to the entry process that leads. Returns its position, or the number of entry processes
    /// if none leads.
    std::size_t stop_leader();
    /// Starts the entry processes again that have ended.
    void restart_ended();
    /// Sets the cap of the clients' tenant; 0 for none.
    void set_team_cap(std::int64_t cpu) { team_cpu_ = cpu; }
    void add_workers(int count);
    /// Writes the configuration, starts the entry processes, and waits until all are ready.
    [[nodiscard]] bool start();
    [[nodiscard]] std::vector<std::unique_ptr<worker>>& workers() { return workers_; }

    /// Sends a client's call to one of the entry processes and records it with its answer.
    std::optional<reply> client(std::size_t entry, const std::string& method, const std::string& path,
                                const std::string& body);
    /// Hands a job in, at one entry process after the other until one has accepted it.
    [[nodiscard]] bool submit(const std::string& id, const std::string& body);
    /// Returns the state that the deployment shows for the job; empty without an answer.
    std::string state_of(const std::string& id);
    /// Returns whether all entry processes that were started still run.
    [[nodiscard]] bool entries_alive() const;

private:
    struct entry {
        std::string name;
        std::uint16_t caller_port = 0;
        std::uint16_t ready_port = 0;
        std::uint16_t peer_port = 0;
        pid_t pid = -1;
    };

    reply machines(const request& r);
    void launch(entry& e);
    void start_entry(const std::string& name, const std::string& zone);

    const std::string program_;
    const std::string folder_;
    record& log_;
    store store_;
    server machine_service_;
    std::vector<std::unique_ptr<worker>> workers_;
    std::vector<entry> entries_;
    std::int64_t team_cpu_ = 0;
};

} // namespace review
