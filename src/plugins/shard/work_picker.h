#pragma once

#include "core/random_source.h"
#include "scheduling/fair_queue.h"
#include "shard/target_set.h"
#include "shard/task_ledger.h"

#include <functional>
#include <optional>
#include <set>

namespace mjm {

/// A waiting request that may start now, and where.
struct picked_work {
    queued_task task;
    std::optional<target_id> target; ///< Nothing when the room went to a reservation; queue it again.
};

/// Joins the queue's order with the room on the shard's targets, and keeps the target of a reservation free.
class work_picker {
public:
    using permit_check = std::function<bool(const team_id&)>;
    /// Targets that a request should rather not be sent to again.
    using avoided_targets = std::function<std::set<target_id>(const request_id&)>;

    work_picker(fair_queue& queue, const target_set& targets, const task_ledger& tasks, random_source& random)
        : queue_{queue}, targets_{targets}, tasks_{tasks}, random_{random}
    {
    }

    /// Removes the next request from the queue; nothing when none may start.
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
