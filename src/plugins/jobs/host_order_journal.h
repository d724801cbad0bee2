#pragma once

#include "core/clock.h"
#include "jobs/host_order_record.h"
#include "jobs/job_types.h"
#include "jobs/transaction_store.h"
#include "logging/logger.h"

#include <functional>
#include <memory>
#include <string>

namespace mjm {

/// Stores the orders to hosts before they are sent. The next leader thereby knows to which hosts it must not
/// send orders until the handover has ended, and may send orders to all others at once.
class host_order_journal {
public:
    /// `on_stored` is called after each write that the store has confirmed.
    host_order_journal(transaction_store& store, const clock& time, logger log, fencing_token token,
                       std::function<void()> on_stored);
    ~host_order_journal();
    host_order_journal(const host_order_journal&) = delete;
    host_order_journal& operator=(const host_order_journal&) = delete;

    /// Sets the revision of the stored record that the leader has read; 0 if there is none.
    void open(store_revision revision) { revision_ = revision; }
    /// Writes the orders unless the store has all of them. Orders that are no longer pending are removed less
    /// often.
    void set(const host_order_record& orders);
    /// Whether the store is known to have this order.
    [[nodiscard]] bool is_stored(const std::string& host, const host_order& order) const;

private:
    void write(const host_order_record& orders);
    void on_error(const transaction_error& error, std::size_t hosts);

    transaction_store& store_;
    const clock& time_;
    logger log_;
    const fencing_token token_;
    const std::function<void()> on_stored_;
    host_order_record stored_;
    /// Revision of the stored record. Each write is conditional on it, so that a write that the store carries
    /// out late does not overwrite a newer one.
    store_revision revision_ = 0;
    timestamp next_cleanup_;
    timestamp not_before_;
    bool busy_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace mjm
