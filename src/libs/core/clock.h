#pragma once

#include "core/time_types.h"

namespace mjm {

/// Source of time for everything that runs outside the pure state machines.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// A clock that never goes back and also counts the time for which the machine was suspended.
    [[nodiscard]] virtual timestamp now() const = 0;
    [[nodiscard]] virtual wall_time wall_now() const = 0;
    /// The wall clock's time as Unix time in milliseconds.
    [[nodiscard]] std::int64_t unix_ms() const { return wall_now().time_since_epoch().count(); }
};

/// Reads the operating system's clocks.
class system_clock_source final : public clock {
public:
    [[nodiscard]] timestamp now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

/// Clock that only moves when a test advances it.
class manual_clock final : public clock {
public:
    [[nodiscard]] timestamp now() const override { return now_; }
    [[nodiscard]] wall_time wall_now() const override { return wall_now_; }

    void advance(duration d);
    /// Moves only the wall clock, to imitate a clock step.
    void step_wall(std::chrono::milliseconds d) { wall_now_ += d; }

private:
    timestamp now_{std::chrono::hours{1}};
    wall_time wall_now_{std::chrono::hours{24 * 365 * 56}};
};

} // namespace mjm
