#pragma once

#include "platform/kv_store.h"

#include <tl/expected.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mjm {

/// One page of a listing.
struct store_page {
    std::vector<kv_entry> entries;
    bool more = false;
    store_revision revision = 0; ///< Of the store when the page was read.
};

struct store_change {
    kv_entry entry;
    bool removed = false;
};

struct store_changes {
    std::vector<store_change> changes;
    store_revision revision = 0; ///< Where the next watch continues.
};

/// Writes that take effect together, or not at all.
struct store_transaction {
    /// Keys with their expected revisions; 0 means that the key must not exist.
    std::vector<std::pair<std::string, store_revision>> expected;
    std::vector<kv_write> writes; ///< `kv_write::expected` is unused.
    std::vector<std::string> removals;
};

struct transaction_error {
    store_errc code = store_errc::unreachable;
    std::vector<kv_entry> current; ///< With `conflict`: the expected keys that exist, as they are now.
};

/// Largest number of conditions, writes and removals of one transaction.
inline constexpr std::size_t max_transaction_entries = 32;

/// The platform's store with transactions and watches. Callbacks run once, later, on the thread of the
/// component that made the call.
class transaction_store {
public:
    using get_callback = std::function<void(tl::expected<kv_entry, store_errc>)>;
    using page_callback = std::function<void(tl::expected<store_page, store_errc>)>;
    /// `not_found` means that the history after the given revision is no longer available.
    using watch_callback = std::function<void(tl::expected<store_changes, store_errc>)>;
    using commit_callback = std::function<void(tl::expected<store_revision, transaction_error>)>;
    using lease_callback = std::function<void(tl::expected<store_lease_id, store_errc>)>;
    using done_callback = std::function<void(tl::expected<void, store_errc>)>;

    transaction_store() = default;
    transaction_store(const transaction_store&) = delete;
    transaction_store& operator=(const transaction_store&) = delete;
    virtual ~transaction_store() = default;

    virtual void get(const std::string& key, get_callback done) = 0;
    /// Entries of `prefix` whose keys follow `after`, in the order of their keys.
    virtual void list(const std::string& prefix, const std::string& after, page_callback done) = 0;
    /// Waits up to `wait` for changes below `prefix` later than `after`.
    virtual void watch(const std::string& prefix, store_revision after, duration wait,
                       watch_callback done) = 0;
    virtual void commit(store_transaction transaction, commit_callback done) = 0;
    virtual void grant_lease(duration ttl, lease_callback done) = 0;
    virtual void renew_lease(store_lease_id lease, done_callback done) = 0;
    virtual void end_lease(store_lease_id lease, done_callback done) = 0;
};

} // namespace mjm
