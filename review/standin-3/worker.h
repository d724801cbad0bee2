#pragma once

#include "http.h"
#include "store.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// A start that a worker has carried out, or the end of its lease under a run.
struct task_event {
    std::string worker;
    std::string task;
    std::int64_t run = 0;
    bool lapsed = false;
};

/// Stand-in for one life of a worker with remote orders. A task's `spec` is the time in ms that it takes.
class worker {
public:
    using event_log = std::function<void(const task_event&)>;

    worker(std::string id, std::int64_t born_ms, event_log on_event);
    ~worker() = default;
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] json registration(const std::string& service, const std::string& machine,
                                    std::uint16_t link_port);
    /// From now on nothing is answered, and nothing runs.
    void kill();

private:
    struct run {
        std::int64_t number = 0;
        steady::time_point started;
        std::chrono::milliseconds length{0};
    };

    std::optional<http_response> handle(const http_request& request);
    http_response start(const json& body);
    http_response stop(const json& body);
    http_response hold(const json& body, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] bool fenced(const json& body);
    void extend(const json& body);
    void advance();
    void finish(const std::string& task, const char* how);
    [[nodiscard]] std::int64_t clock_ms() const;
    [[nodiscard]] http_response refuse(const char* reason) const;

    const std::string id_;
    const std::int64_t born_ms_;
    const steady::time_point boot_ = steady::now();
    const event_log on_event_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, run> running_;
    std::map<std::string, std::int64_t> last_over_; ///< Highest run that was stopped or has ended.
    std::vector<json> ended_;
    std::int64_t sequence_ = 0;
    std::int64_t beats_ = 0;
    std::uint64_t token_ = 0;
    std::int64_t lease_until_ms_ = 0;
    bool dead_ = false;
    http_server server_;
};

} // namespace review
