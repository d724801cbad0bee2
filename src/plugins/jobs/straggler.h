#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace mjm {

struct straggler_settings {
    /// A run is late at this multiple of the time that the others took: tasks of a step differ by some 15%.
    double factor = 1.6;
    /// Added to it, for starts and reports that take their time.
    duration margin{std::chrono::milliseconds{300}};
    /// Share of the step's tasks whose end tells how long one takes.
    double done_share = 0.5;
    /// A task's declared run time may be off by this factor, which counts where no other task tells.
    double estimate_factor = 2.0;
};

/// Run times of the tasks of a step that are done.
struct step_times {
    std::uint32_t done = 0;
    duration total{0};
};

/// Answers targets that stand still or are slow while they report as healthy: a run is moved when the step's
/// other tasks are long done. A job whose tasks take long everywhere is left alone.
[[nodiscard]] bool is_straggler(duration age, const step_times& others, std::uint32_t tasks,
                                const straggler_settings& settings);

/// On a target that has shown a straggler, the declared run time is enough to tell.
[[nodiscard]] bool is_overdue(duration age, duration estimate, const straggler_settings& settings);

} // namespace mjm
