#pragma once

#include "core/clock.h"
#include "jobs/run_time_model.h"
#include "jobs/transaction_store.h"
#include "logging/logger.h"

#include <cstdint>
#include <memory>

namespace mjm {

/// Stores what a leader has learned of run times, for the next leader. A write that is lost or carried out
/// late does no harm: the next leader then begins with older figures.
class run_time_store {
public:
    run_time_store(transaction_store& store, const clock& time, logger log, fencing_token token)
        : store_{store}, time_{time}, log_{std::move(log)}, token_{token}
    {
    }

    /// Writes the model if it has changed and the last write is long enough ago.
    void tick(const run_time_model& model);
    /// Returns the model that an earlier leader stored; an empty one, with a log line, if it can't be read.
    [[nodiscard]] run_time_model restore(const kv_entry& entry, const run_time_settings& settings);

private:
    transaction_store& store_;
    const clock& time_;
    logger log_;
    const fencing_token token_;
    std::uint64_t stored_change_ = 0;
    timestamp next_write_;
    bool busy_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace mjm
