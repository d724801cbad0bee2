#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace mjm {

struct target_health_settings {
    std::size_t min_failures = 5;       ///< Failures of different requests before an ejection.
    std::size_t min_teams = 2;          ///< Different teams among them, unless one team alone uses the shard.
    double max_ejected_fraction = 0.34; ///< Of the shard's targets.
    duration first_ejection{std::chrono::seconds{10}};
    duration longest_ejection{std::chrono::minutes{5}};
};

/// Finds targets that fail everything, takes them out and lets them back in by probing.
class target_health {
public:
    explicit target_health(const target_health_settings& settings);
    ~target_health();
    target_health(const target_health&) = delete;
    target_health& operator=(const target_health&) = delete;

    void set_targets(const std::vector<target_id>& targets);
    /// A task ended. A request that has failed on other targets as well is no evidence against this one.
    void record_success(const target_id& target, const request_id& request, const team_id& team,
                        timestamp now);
    void record_failure(const target_id& target, const request_id& request, const team_id& team,
                        timestamp now);

    /// 0 while ejected; during a probe the target may have one task; then the weight returns to 1 in steps.
    [[nodiscard]] double weight(const target_id& target, timestamp now) const;
    /// Largest number of tasks that the target may have at once now.
    [[nodiscard]] std::size_t max_tasks(const target_id& target, std::size_t slots, timestamp now) const;
    [[nodiscard]] bool ejected(const target_id& target, timestamp now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
