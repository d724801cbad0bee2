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
    /// Time between reads of the head.
    duration poll_interval{std::chrono::seconds{1}};
};

/// Keeps a copy of the newest committed configuration, and never installs a version older than its own.
class config_replica {
public:
    config_replica(kv_store& store, const config_replica_settings& settings);
    ~config_replica();
    config_replica(const config_replica&) = delete;
    config_replica& operator=(const config_replica&) = delete;

    /// Reads the head from the store if the poll interval has passed.
    void tick(timestamp now);
    /// Returns the installed version, or null before the first installation.
    [[nodiscard]] std::shared_ptr<const fleet_config> current() const;
    /// JSON text of the installed version, for peers. Empty before the first installation.
    [[nodiscard]] const std::string& current_text() const;
    /// Installs a version received from a peer if it is newer than the one held, and counts as a confirmation
    /// if it is the same. `confirmed` is the latest time, by this process's clock, at which the peer knew the
    /// version to be the newest.
    void offer(std::uint64_t version, const std::string& text, timestamp confirmed);
    /// Records a peer's confirmation that `version` was the newest at `confirmed`. Ignored unless `version`
    /// is installed here.
    void confirm(std::uint64_t version, timestamp confirmed);

    /// Latest time at which the installed version was known to be the newest committed one. Returns
    /// std::nullopt before the first installation.
    [[nodiscard]] std::optional<timestamp> last_confirmed() const;
    /// Latest time at which the store answered a read. Returns std::nullopt if it has not answered yet.
    [[nodiscard]] std::optional<timestamp> last_store_contact() const;
    /// Adds a callback that is called with each version after its installation.
    void on_install(std::function<void(const std::shared_ptr<const fleet_config>&)> callback);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
