#pragma once

#include "jobs/job.h"
#include "jobs/target_orders.h"

namespace mjm {

/// What a target's report proves about a run that it lists neither as running nor as ended.
enum class absence {
    proves_nothing, ///< The target may have the run, or may still get it.
    not_received,   ///< The run never was on the target and never will be.
    not_answered,   ///< The target did not have the run, but may still get the start.
    ended,          ///< The run was on the target, or has been stopped there, and is over.
};

/// Returns what follows from a run's absence from the report that was requested at `sent_at`.
[[nodiscard]] absence meaning_of_absence(const task_run& run, const target_report& report, timestamp sent_at);

} // namespace mjm
