#pragma once

#include "jobs/revision_history.h"
#include "jobs/transaction_store.h"
#include "virtual_loop.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mjm {

/// In-memory store of a fleet. Each host accesses it through its own `fake_store_link`.
class fake_transaction_store {
public:
    explicit fake_transaction_store(virtual_loop& loop) : loop_{loop} {}

    struct record {
        std::string value;
        store_revision revision = 0;
        store_lease_id lease = 0;
    };

    [[nodiscard]] tl::expected<store_revision, transaction_error> commit(const store_transaction& t);
    /// Writes an entry on behalf of the test, without conditions.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Returns nullptr if the key does not exist.
    [[nodiscard]] const record* find(const std::string& key);
    [[nodiscard]] std::vector<kv_entry> list(const std::string& prefix);
    /// Returns the changes after a revision. If there are more than `most`, returns the first ones, and as
    /// the revision that of the last one returned. Changes of one transaction stay together.
    [[nodiscard]] store_changes changes(const std::string& prefix, store_revision after,
                                        std::size_t most) const;
    [[nodiscard]] store_lease_id grant(duration ttl);
    [[nodiscard]] bool renew(store_lease_id id);
    void end(store_lease_id id);
    /// Drops the history, so that watches have to read a new snapshot.
    void forget_history() { oldest_ = revision_; }
    [[nodiscard]] store_revision oldest() const { return oldest_; }
    [[nodiscard]] store_revision revision() const { return revision_; }
    /// Removes expired leases and their entries.
    void expire();

private:
    struct lease {
        duration ttl{0};
        timestamp ends;
    };
    void remove_at(const std::string& key);

    virtual_loop& loop_;
    std::map<std::string, record> records_;
    std::vector<store_change> history_;
    std::map<store_lease_id, lease> leases_;
    store_revision revision_ = 1;
    store_revision oldest_ = 0;
    store_lease_id last_lease_ = 0;
};

/// Connection of one host to the store, with fault injection.
class fake_store_link final : public transaction_store {
public:
    fake_store_link(virtual_loop& loop, fake_transaction_store& store) : loop_{loop}, store_{store} {}

    bool reachable = true;        ///< If false, calls have no effect and time out.
    bool watches_stuck = false;   ///< If true, calls that watch for changes are not answered.
    std::size_t lost_commits = 0; ///< Number of next transactions that take effect without an answer.
    std::size_t late_commits = 0; ///< Number of next transactions that take effect late, without an answer.
    duration late_by{std::chrono::seconds{3}}; ///< Delay of the late transactions.
    std::size_t commits = 0;                   ///< Number of calls to `commit`.
    std::size_t watches = 0;                   ///< Number of calls to `watch`.
    duration answer_delay{0};                  ///< Time for which the host leaves answers unhandled.
    duration watch_delay{0};                   ///< The same for the changes that a watch has read.
    std::size_t most_changes = 500;            ///< Number of changes that a watch answers with at most.
    timestamp late_until; ///< When the last answer that is left unhandled so far will be handled.

    void get(const std::string& key, get_callback done) override;
    void list(const std::string& prefix, const std::string& after, page_callback done) override;
    void watch(const std::string& prefix, store_revision after, duration wait, watch_callback done) override;
    void commit(store_transaction transaction, commit_callback done) override;
    void grant_lease(duration ttl, lease_callback done) override;
    void renew_lease(store_lease_id lease, done_callback done) override;
    void end_lease(store_lease_id lease, done_callback done) override;
    [[nodiscard]] timestamp complete_until(store_revision revision) const override
    {
        return history_.complete_until(revision);
    }

private:
    template <typename Callback, typename Effect>
    void answer(Callback done, Effect effect);
    /// Calls `handle` once the host gets to it, `delay` after the answer's arrival.
    void handle_later(duration delay, std::function<void()> handle);
    void poll(const std::string& prefix, store_revision after, timestamp until, const watch_callback& done);

    virtual_loop& loop_;
    fake_transaction_store& store_;
    revision_history history_;
};

} // namespace mjm
