#pragma once

#include "configuration/fleet_config.h"
#include "core/time_types.h"
#include "platform/kv_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mjm {

struct config_replica_settings {
    duration poll_interval{std::chrono::seconds{1}};
};

/// Follows the committed configuration and never installs a version lower than the one it holds.
class config_replica {
public:
    config_replica(kv_store& store, const config_replica_settings& settings);
    ~config_replica();
    config_replica(const config_replica&) = delete;
    config_replica& operator=(const config_replica&) = delete;

    void tick(timestamp now);
    /// The version in force here; null until the first version has been read.
    [[nodiscard]] std::shared_ptr<const fleet_config> current() const;
    /// JSON text of the version in force, to pass on to a peer.
    [[nodiscard]] const std::string& current_text() const;
    /// Offers a version obtained from a peer; ignored unless newer. `confirmed` is when the peer, in this
    /// process's time, last knew it to be current.
    void offer(std::uint64_t version, const std::string& text, timestamp confirmed);
    /// A peer confirmed that `version` was current at `confirmed`.
    void confirm(std::uint64_t version, timestamp confirmed);

    /// Latest time at which the version in force here was known to be the newest committed one.
    [[nodiscard]] std::optional<timestamp> last_confirmed() const;
    /// Latest time at which the store itself answered, and since when it has not.
    [[nodiscard]] std::optional<timestamp> last_store_contact() const;
    void on_install(std::function<void(const std::shared_ptr<const fleet_config>&)> callback);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
