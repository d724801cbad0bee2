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
    /// Time that the store may hold one watch call open. It is short, because a dead connection only shows
    /// when the call does not end in time.
    duration wait{std::chrono::milliseconds{1000}};
    duration retry{std::chrono::milliseconds{200}}; ///< Delay before a failed call is repeated.
    /// Shortest time between the sending of two watch calls, so that one answer has the changes of some time.
    duration min_interval{0};
};

/// Follows all entries below a prefix of the store: reports a snapshot first, then each change. If the store
/// no longer has the history that is needed, reports another snapshot, which replaces everything reported
/// before.
class prefix_watch {
public:
    struct handler {
        std::function<void(const std::vector<kv_entry>&)> on_snapshot;
        std::function<void(const store_change&)> on_change;
        /// The store stopped answering, or answers again.
        std::function<void(tl::expected<void, store_errc>)> on_store_reachability;
        /// A watch call was answered with this number of changes, before they are reported. May be null.
        std::function<void(std::size_t)> on_answer;
    };

    prefix_watch(transaction_store& store, const clock& time, prefix_watch_settings settings, handler h);
    ~prefix_watch();
    prefix_watch(const prefix_watch&) = delete;
    prefix_watch& operator=(const prefix_watch&) = delete;

    /// Starts the next call to the store if it is due. The owner calls this regularly.
    void tick();
    /// Sets `prefix_watch_settings::wait` for the calls from now on.
    void set_wait(duration wait);
    /// Asks for what has changed so far, without waiting for the call in flight, whose answer is dropped.
    void refresh();
    /// Reads a new snapshot as soon as possible.
    void reload();
    /// Returns when the store last answered.
    [[nodiscard]] timestamp last_answer_at() const;
    /// Returns a time before which every change below the prefix has been reported, or is superseded by what
    /// was reported. It is the latest one that the store's answers prove: an answer to a watch may have been
    /// cut, so changes that it lacks may be older than the call. The epoch before the first snapshot.
    [[nodiscard]] timestamp view_time() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
