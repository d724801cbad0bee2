#pragma once

#include "core/clock.h"
#include "wait_clock.h"

#include <thread>

namespace mjm {

class system_wait_clock final : public wait_clock {
public:
    [[nodiscard]] timestamp now() override { return source_.now(); }
    void pause(duration length) override { std::this_thread::sleep_for(length); }

private:
    system_clock_source source_;
};

} // namespace mjm
