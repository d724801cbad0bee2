#pragma once

#include "core/time_types.h"

#include <cstddef>
#include <cstdint>

namespace mjm {

struct crash_streak_settings {
    /// Number of successive runs that ended with a crash of their target from which on the next run is
    /// separated from other suspects, provided that chance does not explain the crashes.
    std::uint32_t separation_limit = 3;
    /// Number of such runs after which the job is given up if one of the crashes is attributed to the task.
    std::uint32_t attributed_limit = 4;
    /// The same without an attributed crash. Two starts after the third crash are the most that is allowed.
    std::uint32_t limit = 5;
    /// Number of crashes that are to be expected by chance above which chance explains a streak.
    double chance_limit = 0.3;
    /// Longest time for which a target is kept free for a task whose crashes come late.
    duration longest_isolation{std::chrono::seconds{20}};
    /// Crashes and time of targets at work that a new leader assumes, so that its first seconds prove little.
    /// Fewer crashes than `chance_limit`, or nothing could be proven of the task of the only target at work.
    double assumed_crashes = 0.25;
    duration assumed_time{std::chrono::seconds{60}};
};

/// Successive runs of a task whose targets crashed while the run was at work, however long after its start.
/// The streak ends with a run that ends by itself, or that is at work for twice as long as any run in it.
struct crash_streak {
    std::uint32_t crashes = 0;
    duration exposure{0};  ///< Sum of the times for which the runs were at work.
    duration longest{0};   ///< Longest of these times.
    bool unlikely = false; ///< Whether the crashes were too many for chance when the last one was counted.

    [[nodiscard]] bool empty() const { return crashes == 0; }
    /// Returns the time at work after which a run ends the streak.
    [[nodiscard]] duration survival_time() const { return 2 * longest; }
    friend bool operator==(const crash_streak&, const crash_streak&) = default;
};

/// How often targets crash while they have runs, as this leader has seen it.
class crash_rate {
public:
    explicit crash_rate(const crash_streak_settings& settings, timestamp now)
        : settings_{settings}, known_until_{now}
    {
    }

    /// Notes that this number of targets had runs since the last call.
    void advance(timestamp now, std::size_t targets);
    void note_crash() { ++crashes_; }
    /// Returns the number of crashes to be expected by chance under runs that were at work for this time,
    /// going by the crashes of targets other than `own`.
    [[nodiscard]] double expected(duration exposure, std::uint32_t own) const;

private:
    const crash_streak_settings settings_;
    timestamp known_until_;
    duration target_time_{0};
    std::uint32_t crashes_ = 0;
};

/// Counts the crash of a target under a run that was at work for this time.
void extend_streak(crash_streak& streak, duration at_work, const crash_rate& rate,
                   const crash_streak_settings& settings);

/// Whether the task's next run must be separated from those of other suspects until it ends the streak.
[[nodiscard]] bool needs_separation(const crash_streak& streak, const crash_streak_settings& settings);

/// Whether the task's next run must be the only one on its target that may cause a crash.
[[nodiscard]] bool needs_isolation(const crash_streak& streak, const crash_streak_settings& settings);

/// Whether the job of a task with this streak is to be given up. `attributed` is the number of crashes that
/// are attributed to the task.
[[nodiscard]] bool exceeds_limit(const crash_streak& streak, std::uint32_t attributed,
                                 const crash_streak_settings& settings);

} // namespace mjm
