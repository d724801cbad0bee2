#pragma once

#include "core/clock.h"
#include "jobs/job_scheduler.h"
#include "jobs/transaction_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mjm {

/// Writes jobs' progress to the store, one transaction at a time. Each transaction is conditional on the
/// leader's key and on the journal key that the previous one wrote, so that neither a former leader nor a
/// transaction that the store executes late can overwrite newer progress.
class progress_journal {
public:
    struct handler {
        std::function<void(const std::vector<progress_write>&)> on_stored;
        /// Another leader has written; this one must stop.
        std::function<void(const std::string&)> on_superseded;
        std::function<void(tl::expected<void, store_errc>)> on_store_reachability;
    };

    progress_journal(transaction_store& store, const clock& time, fencing_token token, handler h);
    ~progress_journal();
    progress_journal(const progress_journal&) = delete;
    progress_journal& operator=(const progress_journal&) = delete;

    /// Reads where the journal stands; must finish before the first write.
    void open(std::function<void(tl::expected<void, store_errc>)> done);
    /// Whether `write` may be called.
    [[nodiscard]] bool idle() const;
    /// Most progress entries of one transaction.
    [[nodiscard]] static std::size_t capacity();
    void write(std::vector<progress_write> writes);

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
