#pragma once

#include "core/time_types.h"
#include "platform/kv_store.h"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mjm {

/// One page of the entries below a prefix.
struct store_page {
    std::vector<kv_entry> entries;
    bool more = false;           ///< Whether more entries follow.
    store_revision revision = 0; ///< Revision of the store when the page was read.
};

struct store_change {
    kv_entry entry;
    bool removed = false; ///< Whether the entry was removed rather than written.
};

struct store_changes {
    std::vector<store_change> changes;
    store_revision revision = 0; ///< The next watch continues after this revision.
};

/// Writes and removals that take effect together or not at all.
struct store_transaction {
    /// Keys with their expected revisions; 0 requires that the key does not exist.
    std::vector<std::pair<std::string, store_revision>> expected;
    std::vector<kv_write> writes; ///< `kv_write::expected` is unused.
    std::vector<std::string> removals;
};

struct transaction_error {
    store_errc code = store_errc::unreachable;
    std::vector<kv_entry> current; ///< For `conflict`, the current entries of the expected keys that exist.
};

/// Largest number of conditions, writes and removals of one transaction.
inline constexpr std::size_t max_transaction_entries = 32;

/// The platform's key-value store with transactions and watches. Each callback runs once, after the call has
/// returned, on the thread of the component that made the call.
class transaction_store {
public:
    using get_callback = std::function<void(tl::expected<kv_entry, store_errc>)>;
    using page_callback = std::function<void(tl::expected<store_page, store_errc>)>;
    /// The error `not_found` means that the history after the given revision is no longer available.
    using watch_callback = std::function<void(tl::expected<store_changes, store_errc>)>;
    using commit_callback = std::function<void(tl::expected<store_revision, transaction_error>)>;
    using lease_callback = std::function<void(tl::expected<store_lease_id, store_errc>)>;
    using done_callback = std::function<void(tl::expected<void, store_errc>)>;

    transaction_store() = default;
    transaction_store(const transaction_store&) = delete;
    transaction_store& operator=(const transaction_store&) = delete;
    virtual ~transaction_store() = default;

    /// Reads one entry; the error is `not_found` if the key does not exist.
    virtual void get(const std::string& key, get_callback done) = 0;
    /// Reads a page of the entries below `prefix` whose keys are greater than `after`, in the order of their
    /// keys.
    virtual void list(const std::string& prefix, const std::string& after, page_callback done) = 0;
    /// Waits up to `wait` for changes below `prefix` after the revision `after`.
    virtual void watch(const std::string& prefix, store_revision after, duration wait,
                       watch_callback done) = 0;
    /// Reports the store's new revision, or `conflict` if an expected revision differs.
    virtual void commit(store_transaction transaction, commit_callback done) = 0;
    /// Creates a lease. Entries written with it are removed when it expires, `ttl` after its latest renewal.
    virtual void grant_lease(duration ttl, lease_callback done) = 0;
    /// The error is `not_found` if the lease has expired.
    virtual void renew_lease(store_lease_id lease, done_callback done) = 0;
    /// Ends the lease and removes its entries.
    virtual void end_lease(store_lease_id lease, done_callback done) = 0;
    /// Returns a time before which all changes of the store have `revision` or an earlier one, as far as the
    /// answers to earlier calls show; the epoch if they don't show any.
    [[nodiscard]] virtual timestamp complete_until(store_revision revision) const = 0;
};

} // namespace mjm
