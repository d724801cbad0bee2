#pragma once

#include "jobs/job.h"

#include <compare>

namespace mjm {

/// When a job's caller needs it, as Unix time in ms.
struct job_objective {
    std::int64_t due_ms = 0;  ///< Done by then, the job is in time.
    std::int64_t late_ms = 0; ///< Done after that, it is of no use any more.
};

enum class urgency {
    permanent, ///< Serves users of its own; each second without it counts.
    in_time,   ///< Can be done within its objective.
    late,      ///< Can be done while it is still of some use.
    useless,   ///< Later than any use; done when nothing else needs the room.
};

/// Place of a job among those that wait for the same targets; smaller goes first.
struct work_rank {
    int priority = 0;
    urgency when = urgency::in_time;
    double weight = 0.0; ///< Smaller first among equally urgent jobs.

    friend auto operator<=>(const work_rank&, const work_rank&) = default;
};

/// Answers a pool whose queues ask for more than it holds: work that can no longer be in time does not
/// delay work that can, and among the latter, jobs that have begun and small ones go first, since they give
/// back their room soonest.
[[nodiscard]] work_rank rank_job(const job& j, int priority, const job_objective& objective,
                                 std::int64_t unix_ms);

/// Objective of an occurrence that is due, or was accepted, at `from_ms`.
[[nodiscard]] job_objective objective_of(const job& j, std::int64_t from_ms, double stretch,
                                         duration allowance);

} // namespace mjm
