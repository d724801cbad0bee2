#pragma once

#include "core/identifiers.h"
#include "core/random_source.h"
#include "core/time_types.h"

#include <map>

namespace mjm {

struct retry_budget_settings {
    double ratio = 0.1;       ///< Retries added to the budget by each first attempt.
    double burst = 10.0;      ///< Largest number of retries in a team's budget.
    double floor_per_s = 1.0; ///< Retries per second added to the budget even without traffic.
    duration first_backoff{std::chrono::milliseconds{20}};
    duration longest_backoff{std::chrono::seconds{2}};
};

/// Token bucket that limits the retries of each team within one service, so that retries cannot turn an
/// overload into an outage.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_settings& settings) : settings_{settings} {}

    /// Adds the retries that a first attempt allows to the team's budget.
    void record_first_attempt(const team_id& team, timestamp now);
    /// Takes one retry from the team's budget. Returns false if the budget is used up.
    [[nodiscard]] bool try_spend(const team_id& team, timestamp now);
    /// Returns the exponential back-off with full jitter before attempt number `attempt` (2 is the first
    /// retry).
    [[nodiscard]] duration backoff(unsigned attempt, random_source& random) const;

private:
    struct bucket {
        double tokens = 0.0;
        timestamp refilled;
    };
    bucket& refill(const team_id& team, timestamp now);

    retry_budget_settings settings_;
    std::map<team_id, bucket> buckets_;
};

} // namespace mjm
