#pragma once

#include "core/clock.h"
#include "jobs/transaction_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace mjm {

struct prefix_watch_settings {
    std::string prefix;
    /// One watch waits this long. Short, because only its end shows a connection that has gone silent.
    duration wait{std::chrono::milliseconds{1000}};
    duration retry{std::chrono::milliseconds{200}}; ///< Pause after a failed call.
};

/// Follows all entries below a prefix of the store: first a snapshot, then each change. After a loss of the
/// store's history there is another snapshot, which replaces everything reported before.
class prefix_watch {
public:
    struct handler {
        std::function<void(const std::vector<kv_entry>&)> on_snapshot;
        std::function<void(const store_change&)> on_change;
        /// The store stopped answering, or answers again.
        std::function<void(tl::expected<void, store_errc>)> on_store_reachability;
    };

    prefix_watch(transaction_store& store, const clock& time, prefix_watch_settings settings, handler h);
    ~prefix_watch();
    prefix_watch(const prefix_watch&) = delete;
    prefix_watch& operator=(const prefix_watch&) = delete;

    /// Starts what is due; the owner calls it regularly.
    void tick();
    /// Reads a new snapshot as soon as possible.
    void reload();
    /// When the store last answered.
    [[nodiscard]] timestamp last_answer_at() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
