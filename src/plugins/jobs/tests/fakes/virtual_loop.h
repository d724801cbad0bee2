#pragma once

#include "core/clock.h"
#include "core/executor.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace mjm {

/// Event loop in virtual time: runs events in the order of their times, on a clock that only this loop
/// advances.
class virtual_loop final : public executor {
public:
    [[nodiscard]] const manual_clock& time() const { return clock_; }

    void post(std::function<void()> work) override { after(duration{0}, std::move(work)); }
    /// Schedules `event` to run after `delay`.
    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(std::pair{clock_.now() + delay, ++sequence_}, std::move(event));
    }
    /// Runs all events that are due within `d`, and calls `tick` at least once per `step`.
    void run_for(duration d, const std::function<void()>& tick = {},
                 duration step = std::chrono::milliseconds{20})
    {
        const timestamp end = clock_.now() + d;
        while (clock_.now() < end) {
            if (tick)
                tick();
            run_due(); // Work that `tick` has posted, which would otherwise bring about the next tick.
            timestamp next = std::min(end, clock_.now() + step);
            if (!events_.empty())
                next = std::min(next, std::max(clock_.now(), events_.begin()->first.first));
            clock_.advance(next - clock_.now());
            run_due();
        }
    }

private:
    void run_due()
    {
        while (!events_.empty() && events_.begin()->first.first <= clock_.now()) {
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
        }
    }

    manual_clock clock_;
    std::map<std::pair<timestamp, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t sequence_ = 0;
};

} // namespace mjm
