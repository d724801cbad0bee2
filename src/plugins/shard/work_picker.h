#pragma once

#include "core/random_source.h"
#include "scheduling/fair_queue.h"
#include "shard/target_set.h"
#include "shard/task_ledger.h"

#include <functional>
#include <optional>
#include <set>

namespace mjm {

/// Request to start next, and its target.
struct picked_work {
    queued_task task;
    /// Target to start the task on. Unset if the free capacity is kept for a reservation; the task must then
    /// be queued again.
    std::optional<target_id> target;
};

/// Picks the next request in the order of the queue for which a target of the shard has free capacity. Keeps
/// the target of a reservation free.
class work_picker {
public:
    using permit_check = std::function<bool(const team_id&)>;
    /// Returns the targets that are chosen for a request only if no other has free capacity.
    using avoided_targets = std::function<std::set<target_id>(const request_id&)>;

    work_picker(fair_queue& queue, const target_set& targets, const task_ledger& tasks, random_source& random)
        : queue_{queue}, targets_{targets}, tasks_{tasks}, random_{random}
    {
    }

    /// Removes and returns the next request of the queue, or std::nullopt if no request can start.
    [[nodiscard]] std::optional<picked_work> pick(const permit_check& has_permit,
                                                  const avoided_targets& avoided, timestamp now);

private:
    [[nodiscard]] pick_context make_context(const permit_check& has_permit) const;
    [[nodiscard]] std::optional<target_id> target_for(const queued_task& task,
                                                      const std::set<target_id>& avoid,
                                                      const std::optional<queued_task>& reserved) const;

    fair_queue& queue_;
    const target_set& targets_;
    const task_ledger& tasks_;
    random_source& random_;
};

} // namespace mjm
