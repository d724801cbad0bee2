#pragma once

#include "core/time_types.h"
#include "platform/kv_store.h"

#include <map>
#include <string>
#include <vector>

namespace mjm {

/// State and rules of the platform's key-value service, without sockets. Shared by `fake_kv_store` and
/// `mjm_platform_standin`.
class store_model {
public:
    static constexpr std::size_t max_value = 1 << 20;

    [[nodiscard]] tl::expected<kv_read, store_errc> get(const std::string& key, store_revision known,
                                                        timestamp now);
    [[nodiscard]] tl::expected<store_revision, store_errc> put(const kv_write& write, timestamp now);
    [[nodiscard]] tl::expected<void, store_errc> erase(const std::string& key,
                                                       std::optional<store_revision> expected, timestamp now);
    /// Entries whose key starts with `prefix`, in key order.
    [[nodiscard]] std::vector<kv_entry> list(const std::string& prefix, timestamp now);
    [[nodiscard]] store_lease_id grant_lease(duration ttl, timestamp now);
    [[nodiscard]] tl::expected<void, store_errc> keep_alive(store_lease_id lease, timestamp now);

private:
    struct record {
        std::string value;
        store_revision revision = 0;
        store_lease_id lease = 0;
    };
    struct lease_state {
        duration ttl{0};
        timestamp ends;
    };

    void expire(timestamp now);

    std::map<std::string, record> records_;
    std::map<store_lease_id, lease_state> leases_;
    store_revision revision_ = 0;
    store_lease_id last_lease_ = 0;
};

} // namespace mjm
