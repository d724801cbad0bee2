#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>
#include <memory>
#include <vector>

namespace mjm {

struct target_health_settings {
    std::size_t min_failures = 5; ///< Failures of different requests before an ejection.
    std::size_t min_teams = 2;    ///< Teams among these failures, unless only one team uses the shard.
    double max_ejected_fraction =
        0.34; ///< Largest fraction of the shard's targets that is ejected at a time.
    duration first_ejection{std::chrono::seconds{10}};
    duration longest_ejection{std::chrono::minutes{5}};
};

/// Detects targets on which all tasks fail, ejects them and returns them to service by probing.
class target_health {
public:
    explicit target_health(const target_health_settings& settings);
    ~target_health();
    target_health(const target_health&) = delete;
    target_health& operator=(const target_health&) = delete;

    /// Sets the targets of the shard. Targets that were set before keep their state.
    void set_targets(const std::vector<target_id>& targets);
    /// Records a task that ended with success.
    void record_success(const target_id& target, const request_id& request, const team_id& team,
                        timestamp now);
    /// Records a failed task. Failures of a request that has failed on several targets don't count against
    /// any of them.
    void record_failure(const target_id& target, const request_id& request, const team_id& team,
                        timestamp now);

    /// Returns the health weight of a target: 0 while it is ejected, then a small weight during the probe, in
    /// which it gets one task at a time, then rising in steps to 1.
    [[nodiscard]] double weight(const target_id& target, timestamp now) const;
    /// Returns the largest number of tasks that the target may run at once now.
    [[nodiscard]] std::size_t max_tasks(const target_id& target, std::size_t slots, timestamp now) const;
    [[nodiscard]] bool ejected(const target_id& target, timestamp now) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
