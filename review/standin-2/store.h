#pragma once

#include "http.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/// The platform's metadata store. It keeps its whole history.
class store {
public:
    store();

    void start() { server_.start(); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Writes as the operator or a worker does.
    void put(const std::string& key, const std::string& text);
    void remove(const std::string& key);
    /// Returns the text of an item; empty if there is none.
    std::string get(const std::string& key);

private:
    struct item {
        std::string value; ///< In base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::uint64_t revision = 0;
        std::string key;
        nlohmann::json text;
    };
    struct lease {
        std::int64_t ttl_ms = 0;
        std::int64_t ends_at_ms = 0;
    };

    reply handle(const request& r);
    reply range(const request& r);
    reply watch(const request& r);
    reply transaction(const request& r);
    void expire_leases();
    void end_lease(std::uint64_t id);
    void write_item(const std::string& key, const std::string& value, std::uint64_t lease_id,
                    std::uint64_t revision);
    void remove_item(const std::string& key, std::uint64_t revision);
    [[nodiscard]] nlohmann::json to_json(const std::string& key, const item& it) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> events_;
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t revision_ = 100;
    std::uint64_t next_lease_ = 7000;
    server server_;
};

} // namespace review
