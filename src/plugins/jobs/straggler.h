#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <optional>

namespace mjm {

struct straggler_settings {
    /// Multiple of the mean run time of the step's other tasks above which a run is a straggler. Run times
    /// within a step differ by about 15%.
    double factor = 1.6;
    /// Added to the bound, for the delays of starts and reports.
    duration margin{std::chrono::milliseconds{300}};
    /// Fraction of the step's tasks that must be done before their run times are used as the reference.
    double done_share = 0.5;
    /// Factor by which a task's expected run time may be too short or too long. It is used where the step's
    /// other tasks give no reference.
    double estimate_factor = 2.0;
};

/// Run times of those tasks of a step that are done.
struct step_times {
    std::uint32_t done = 0; ///< Number of tasks.
    duration total{0};      ///< Sum of their run times.
};

/// Returns the age above which a run has taken much longer than the step's other tasks, or no value if too
/// few of them are done. This detects targets on which tasks stall or are slow although they report as
/// healthy. If the tasks of a job take long on every target, none is a straggler.
[[nodiscard]] std::optional<duration> straggler_bound(const step_times& others, std::uint32_t tasks,
                                                      const straggler_settings& settings);

/// Returns an estimate of `straggler_bound` for a run of this age and expected run time whose step has too
/// few tasks that are done. Those that started together with the run take at least as long as it has run, and
/// seldom less than their expected run time by more than its usual error.
[[nodiscard]] duration expected_straggler_bound(duration age, duration estimate, const step_times& others,
                                                const straggler_settings& settings);

/// Returns the age above which a run has exceeded its expected run time by far, or no value if none is
/// known. It is meant for runs on a target that had a straggler recently.
[[nodiscard]] std::optional<duration> overdue_bound(duration estimate, const straggler_settings& settings);

} // namespace mjm
