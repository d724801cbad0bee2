#pragma once

#include "jobs/target_status.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace mjm {

/// Requirements and preferences of a task that needs a target.
struct placement_request {
    const step_spec* step = nullptr;
    const std::map<target_id, std::uint32_t>* step_runs = nullptr; ///< Runs of the step by target, or null.
    target_id avoided_target;   ///< Where the task failed or stalled before; chosen only if no other fits.
    std::string preferred_rack; ///< Rack on which the step's other tasks run; empty for none.
    bool suspected = false;     ///< Whether runs of the task were lost in crashes of their targets.
    bool isolated = false;      ///< Whether no other run on the target may be on probation.
};

/// Whether the target may be given any work at `now`.
[[nodiscard]] bool accepts_work(const target_status& t, timestamp now);
/// Whether the target may be given permanent tasks at `now`. If it accepts no other work, they should have no
/// other place.
[[nodiscard]] bool accepts_permanent_tasks(const target_status& t, timestamp now);
/// Whether the target is retired, and takes one run whose lease expires at once, so that its ends are free.
[[nodiscard]] bool accepts_expiring_run(const target_status& t, timestamp now);

/// Whether the target fits the task apart from what it runs at present.
[[nodiscard]] bool could_run(const target_status& t, const placement_request& request);

/// Whether the target has free capacity for the task, and fewer of its step's tasks than allowed.
[[nodiscard]] bool has_place(const target_status& t, const placement_request& request);

/// Whether the target has free capacity for one more task of the step. Checks no other condition.
[[nodiscard]] bool has_capacity(const target_status& t, const step_spec& step);

/// Chooses a target for one task. Returns null if no target fits. The fullest target with enough free
/// capacity is chosen, so that others stay free for tasks with large needs, for maintenance, and for other
/// pools. Backfill tasks go to the emptiest target. A target that is
/// slow after its start gets a task that ends only if no other fits.
[[nodiscard]] target_status* choose_target(const placement_request& request,
                                           const std::vector<target_status*>& pool, timestamp now);

} // namespace mjm
