#pragma once

#include "core/time_types.h"

#include <cstdint>

namespace mjm {

struct crash_settings {
    /// Time at work after which a run no longer counts as a possible cause of a crash of its target.
    duration probation{std::chrono::milliseconds{500}};
    /// Number of crashes after which the job of a task is given up, provided that `attributed_minimum` of
    /// them are attributed to it.
    std::uint32_t attributed_limit = 3;
    std::uint32_t attributed_minimum = 2;
    /// Number of starts that ended in a crash or in silence of the target after which the job of a task is
    /// given up even if the crashes can't be attributed to it, provided that `confirmed_minimum` are crashes.
    std::uint32_t start_limit = 4;
    std::uint32_t confirmed_minimum = 2;
    /// Time after a crash of a host for which its further crashes are attributed to the host.
    duration host_distrust{std::chrono::seconds{20}};
    /// Longest time for which an isolated task waits until it is known whether the target of its last run has
    /// crashed.
    duration resolution_wait{std::chrono::seconds{8}};
    /// The same for a permanent task, which must not be away for long.
    duration permanent_resolution_wait{std::chrono::seconds{3}};
    /// Time for which a lost target may still turn out to have crashed.
    duration resolution_time{std::chrono::seconds{60}};
    /// Time after which a target that is kept for a task, but has no place for it, is given up for a while.
    duration isolation_wait{std::chrono::seconds{1}};
    duration isolation_pause{std::chrono::milliseconds{500}};
    /// Fraction of a pool's targets, at least one of them, that may be kept free for isolated runs.
    double isolation_share = 0.25;
};

/// Losses of a task's runs that the task itself may have caused: its target crashed, or fell silent for
/// good, before the run had been at work for the probation time.
struct crash_history {
    std::uint32_t crashes = 0;    ///< Crashes of targets.
    std::uint32_t attributed = 0; ///< Those of the crashes for which there was no other suspect.
    std::uint32_t unresolved = 0; ///< Runs lost with targets that may have crashed or may only be silent.

    [[nodiscard]] bool empty() const { return crashes == 0 && unresolved == 0; }
    friend bool operator==(const crash_history&, const crash_history&) = default;
};

/// Whether the task's next run must be the only one on its target that may cause a crash.
[[nodiscard]] bool needs_isolation(const crash_history& history);

/// Whether the job of a task with this history is to be given up.
[[nodiscard]] bool exceeds_limit(const crash_history& history, const crash_settings& settings);

} // namespace mjm
