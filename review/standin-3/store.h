#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using json = nlohmann::json;
using steady = std::chrono::steady_clock;

std::string encode_base64(const std::string& bytes);

/// Stand-in for the platform's metadata store.
class store {
public:
    store();
    ~store();
    store(const store&) = delete;
    store& operator=(const store&) = delete;

    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Writes as the operator or a worker, without conditions.
    void put(const std::string& key, const std::string& text);
    void remove(const std::string& key);
    /// Returns the values, in base64, of the items whose keys begin with `prefix`.
    [[nodiscard]] std::map<std::string, std::string> values(const std::string& prefix);
    [[nodiscard]] std::size_t count(const std::string& prefix);
    /// Adds items as they were written earlier than the history reaches back.
    void add_old(const std::map<std::string, std::string>& values);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        item value;
        bool removed = false;
        steady::time_point at;
    };
    struct lease {
        std::chrono::milliseconds ttl{0};
        steady::time_point ends;
    };

    std::optional<http_response> handle(const http_request& request);
    http_response get(const http_request& request);
    http_response range(const http_request& request);
    http_response watch(const http_request& request);
    http_response commit(const http_request& request);
    http_response grant(const http_request& request);
    http_response keep(const std::string& id);
    http_response end(const std::string& id);
    void write(const std::string& key, const std::string& value, std::uint64_t lease_id);
    void erase(const std::string& key);
    void end_lease(std::uint64_t id);
    void expire();
    [[nodiscard]] static json to_json(const std::string& key, const item& it);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<event> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t forgotten_ = 0; ///< Revision up to which the history is gone.
    std::uint64_t next_lease_ = 7000;
    bool stopping_ = false;
    std::thread expiry_;
    http_server server_;
};

} // namespace review
