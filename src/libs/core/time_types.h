#pragma once

#include <chrono>
#include <cstdint>

namespace mjm {

/// Time difference in microseconds.
using duration = std::chrono::microseconds;

/// Whole milliseconds.
[[nodiscard]] constexpr std::int64_t to_ms(duration d)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

/// Monotonic time; only differences are meaningful, and only within one process.
using timestamp = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Wall-clock time; may differ between hosts by up to `max_clock_skew`.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Largest wall-clock difference between two entry hosts that ticket expiry tolerates.
inline constexpr std::chrono::milliseconds max_clock_skew{60'000};

} // namespace mjm
