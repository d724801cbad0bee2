#include "jobs/host_order_journal.h"

#include "jobs/guarded_callback.h"
#include "jobs/job_keys.h"

#include <algorithm>

namespace mjm {

namespace {

// Removing finished orders is not urgent: one that is left in the record only delays the next leader's orders
// to its host by some seconds.
constexpr std::chrono::milliseconds cleanup_interval{1000};
// Pause after a failed write, so that a failing store is not loaded further.
constexpr std::chrono::milliseconds retry_pause{100};

} // namespace

host_order_journal::host_order_journal(transaction_store& store, const clock& time, logger log,
                                       fencing_token token, std::function<void()> on_stored)
    : store_{store}, time_{time}, log_{std::move(log)}, token_{token}, on_stored_{std::move(on_stored)}
{
}

host_order_journal::~host_order_journal() = default;

bool host_order_journal::is_stored(const std::string& host, const host_order& order) const
{
    const auto it = stored_.find(host);
    return it != stored_.end() && it->second == order;
}

void host_order_journal::set(const host_order_record& orders)
{
    const timestamp now = time_.now();
    if (busy_ || now < not_before_ || orders == stored_)
        return;
    const bool complete = std::all_of(orders.begin(), orders.end(), [this](const auto& entry) {
        return is_stored(entry.first, entry.second);
    });
    if (complete && now < next_cleanup_)
        return;
    write(orders);
}

void host_order_journal::write(const host_order_record& orders)
{
    busy_ = true;
    next_cleanup_ = time_.now() + cleanup_interval;
    store_transaction t;
    t.expected.emplace_back(std::string{job_keys::leader}, token_);
    t.expected.emplace_back(std::string{job_keys::host_orders}, revision_);
    t.writes.push_back({std::string{job_keys::host_orders}, encode_host_orders(orders), std::nullopt, 0});
    store_.commit(
        std::move(t),
        guarded_callback(alive_, [this, orders](const tl::expected<store_revision, transaction_error>& r) {
            busy_ = false;
            if (!r) {
                on_error(r.error(), orders.size());
                return;
            }
            revision_ = *r;
            stored_ = orders;
            on_stored_();
        }));
}

void host_order_journal::on_error(const transaction_error& error, std::size_t hosts)
{
    // It is unknown which orders the store has now, since a write without an answer may have taken effect.
    stored_.clear();
    not_before_ = time_.now() + retry_pause;
    for (const kv_entry& e : error.current) {
        if (e.key == job_keys::host_orders)
            revision_ = e.revision;
    }
    log_.warn("host_orders_not_stored", {{"hosts", hosts}, {"error", name_of(error.code)}});
}

} // namespace mjm
