#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace mjm {

struct straggler_settings {
    /// Multiple of the mean run time of the step's other tasks above which a run is a straggler. Run times
    /// within a step differ by about 15%.
    double factor = 1.6;
    /// Added to the bound, for the delays of starts and reports.
    duration margin{std::chrono::milliseconds{300}};
    /// Fraction of the step's tasks that must be done before their run times are used as the reference.
    double done_share = 0.5;
    /// Factor by which a task's declared run time may be too short. It is used where the step's other tasks
    /// give no reference.
    double estimate_factor = 2.0;
};

/// Run times of those tasks of a step that are done.
struct step_times {
    std::uint32_t done = 0; ///< Number of tasks.
    duration total{0};      ///< Sum of their run times.
};

/// Whether a run of this age has taken much longer than the step's other tasks. This detects targets on which
/// tasks stall or are slow although they report as healthy. If the tasks of a job take long on every target,
/// none is a straggler.
[[nodiscard]] bool is_straggler(duration age, const step_times& others, std::uint32_t tasks,
                                const straggler_settings& settings);

/// Whether a run of this age has exceeded its declared run time by far. It is meant for runs on a target that
/// had a straggler recently. Returns false if no run time is declared.
[[nodiscard]] bool is_overdue(duration age, duration estimate, const straggler_settings& settings);

} // namespace mjm
