#include "jobs/run_time_store.h"

#include "jobs/guarded_callback.h"
#include "jobs/job_keys.h"

#include <chrono>

namespace mjm {

namespace {

constexpr std::chrono::seconds write_interval{3};

} // namespace

void run_time_store::tick(const run_time_model& model)
{
    const timestamp now = time_.now();
    if (busy_ || now < next_write_ || model.changes() == stored_change_)
        return;
    busy_ = true;
    next_write_ = now + write_interval;
    store_transaction t;
    t.expected.emplace_back(std::string{job_keys::leader}, token_);
    t.writes.push_back({std::string{job_keys::run_times}, model.encode(), std::nullopt, 0});
    store_.commit(std::move(t),
                  guarded_callback(alive_, [this, change = model.changes()](
                                               const tl::expected<store_revision, transaction_error>& r) {
                      busy_ = false;
                      if (r)
                          stored_change_ = change;
                      else
                          log_.info("run_times_not_stored", {{"error", name_of(r.error().code)}});
                  }));
}

run_time_model run_time_store::restore(const kv_entry& entry, const run_time_settings& settings)
{
    std::optional<run_time_model> model = run_time_model::decode(entry.value, settings);
    if (!model) {
        log_.error("run_times_unreadable", {{"revision", entry.revision}});
        return run_time_model{settings};
    }
    log_.info("run_times_restored", {{"classes", model->classes()}});
    return std::move(*model);
}

} // namespace mjm
