#pragma once

#include "jobs/job.h"

#include <compare>

namespace mjm {

/// When the caller of a job needs its result, as Unix times in ms.
struct job_objective {
    std::int64_t due_ms = 0;           ///< A job that is done by then is in time.
    std::int64_t useless_after_ms = 0; ///< A result after this time is useless.
};

enum class urgency {
    permanent, ///< The job serves users continuously; each second without it counts.
    in_time,   ///< The job can be done within its objective.
    late,      ///< The job can only be done after its objective, but its result is still of use.
    useless,   ///< The result will be useless; the job runs only if no other job needs the capacity.
};

/// Rank of a job among those that wait for the same targets. Smaller ranks are planned first.
struct work_rank {
    int priority = 0;
    urgency level = urgency::in_time;
    /// Acceptance time if permanent, else the latest start for the objective, as Unix time in seconds, plus
    /// open work; smaller first.
    double tie_breaker = 0.0;

    friend auto operator<=>(const work_rank&, const work_rank&) = default;
};

/// Ranks a job at `unix_ms`. In a pool whose queues need more than its capacity, work that can no longer be
/// in time does not delay work that can. Among jobs of one urgency with the same slack, those with the least
/// open work go first, such as small jobs and jobs that have begun, since they release their capacity
/// soonest.
[[nodiscard]] work_rank rank_job(const job& j, int priority, const job_objective& objective,
                                 std::int64_t unix_ms);

/// Returns the Unix time in ms after which `rank_job` gives the job another urgency; the largest value if it
/// never does. Within an urgency, the order of two jobs doesn't depend on the time.
[[nodiscard]] std::int64_t rank_valid_until(const job& j, const job_objective& objective,
                                            std::int64_t unix_ms);

/// Returns the objective of a job that was accepted at `from_ms`: the length of its critical path times
/// `stretch`, plus `allowance`.
[[nodiscard]] job_objective objective_of(const job& j, std::int64_t from_ms, double stretch,
                                         duration allowance);

} // namespace mjm
