#include "jobs/work_order.h"

#include <limits>

namespace mjm {

namespace {

// A result later than this multiple of the objective is useless, according to the operators' rules.
constexpr double useless_after_factor = 3.0;

// Core-seconds of open work that count as much as a second of slack; about half of a mean job of the larger
// queues.
constexpr double work_per_slack_second = 60.0;

} // namespace

job_objective objective_of(const job& j, std::int64_t from_ms, double stretch, duration allowance)
{
    const double length =
        stretch * static_cast<double>(to_ms(j.critical_path())) + static_cast<double>(to_ms(allowance));
    return {from_ms + static_cast<std::int64_t>(length),
            from_ms + static_cast<std::int64_t>(useless_after_factor * length)};
}

work_rank rank_job(const job& j, int priority, const job_objective& objective, std::int64_t unix_ms)
{
    work_rank rank;
    rank.priority = priority;
    if (j.permanent()) {
        rank.level = urgency::permanent;
        rank.tie_breaker = static_cast<double>(j.record().accepted_ms);
        return rank;
    }
    const std::int64_t earliest_end = unix_ms + to_ms(j.remaining_critical_path());
    if (earliest_end <= objective.due_ms)
        rank.level = urgency::in_time;
    else
        rank.level = earliest_end <= objective.useless_after_ms ? urgency::late : urgency::useless;
    rank.tie_breaker = static_cast<double>(objective.due_ms - to_ms(j.remaining_critical_path())) / 1000.0 +
                       j.open_work_core_seconds() / work_per_slack_second;
    return rank;
}

std::int64_t rank_valid_until(const job& j, const job_objective& objective, std::int64_t unix_ms)
{
    const std::int64_t remaining = to_ms(j.remaining_critical_path());
    if (!j.permanent()) {
        for (const std::int64_t limit : {objective.due_ms, objective.useless_after_ms}) {
            if (unix_ms + remaining <= limit)
                return limit - remaining;
        }
    }
    return std::numeric_limits<std::int64_t>::max();
}

} // namespace mjm
