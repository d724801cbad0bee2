#pragma once

#include "core/identifiers.h"
#include "core/random_source.h"
#include "core/time_types.h"

#include <map>

namespace mjm {

struct retry_budget_settings {
    double ratio = 0.1;       ///< Retries earned by each first attempt.
    double burst = 10.0;      ///< Most retries saved up by a team.
    double floor_per_s = 1.0; ///< Retries a second earned without any traffic.
    duration first_backoff{std::chrono::milliseconds{20}};
    duration longest_backoff{std::chrono::seconds{2}};
};

/// Limits retries per team within one service, so that retries cannot turn an overload into a collapse.
class retry_budget {
public:
    explicit retry_budget(const retry_budget_settings& settings) : settings_{settings} {}

    void record_first_attempt(const team_id& team, timestamp now);
    /// Takes one retry from the team's budget; false when it is used up.
    [[nodiscard]] bool try_spend(const team_id& team, timestamp now);
    /// Exponential back-off with full jitter before attempt number `attempt` (2 for the first retry).
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
