#pragma once

#include "core/clock.h"
#include "jobs/job_scheduler.h"
#include "jobs/transaction_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// What one transaction writes.
struct journal_batch {
    std::vector<progress_write> progress;
    std::optional<lease_waits> waits; ///< Waits for silent targets; empty if they are not to be written.
    std::optional<given_up_record> given_up; ///< Runs that were given up; likewise.
    store_revision revision = 0;             ///< At which the store has them, once it has.
};

/// Writes the progress of jobs to the store, one transaction at a time. Each transaction is conditional on
/// the leader key and on the journal key as written by the previous transaction, so that neither a former
/// leader nor a transaction that the store executes late can overwrite newer progress.
class progress_journal {
public:
    struct handler {
        /// The store has these writes.
        std::function<void(const journal_batch&)> on_stored;
        /// Another leader has taken over, for the given reason; this one must stop.
        std::function<void(const std::string&)> on_superseded;
        /// The store stopped answering, or answers again.
        std::function<void(tl::expected<void, store_errc>)> on_store_reachability;
    };

    progress_journal(transaction_store& store, const clock& time, fencing_token token, handler h);
    ~progress_journal();
    progress_journal(const progress_journal&) = delete;
    progress_journal& operator=(const progress_journal&) = delete;

    /// Reads the journal key. Must finish before the first write.
    void open(std::function<void(tl::expected<void, store_errc>)> done);
    /// Whether `write` may be called.
    [[nodiscard]] bool idle() const;
    /// Returns the largest number of progress entries that one `write` takes.
    [[nodiscard]] static std::size_t capacity();
    /// Writes the entries in one transaction. Only allowed while `idle`.
    void write(journal_batch batch);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
