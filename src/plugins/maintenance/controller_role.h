#pragma once

#include "core/time_types.h"
#include "maintenance/controller_record.h"
#include "platform/kv_store.h"

#include <cstdint>
#include <memory>
#include <string>

namespace mjm {

struct controller_role_settings {
    std::string scope = "fleet";
    std::string holder;
    duration lease_ttl{std::chrono::seconds{15}};
    duration renew_interval{std::chrono::seconds{4}};
};

/// Acquires and keeps the controller role of a scope: a lock under a store lease, and an epoch that grows
/// with each acquisition. `held` may be wrong after a pause; the epoch fences the writes of such a holder.
class controller_role {
public:
    controller_role(kv_store& store, const controller_role_settings& settings);
    ~controller_role();
    controller_role(const controller_role&) = delete;
    controller_role& operator=(const controller_role&) = delete;

    void tick(timestamp now);
    /// A document was seen with a higher epoch.
    void supersede();
    [[nodiscard]] bool held() const;
    [[nodiscard]] std::uint64_t epoch() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
