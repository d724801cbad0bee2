#pragma once

#include "core/time_types.h"

namespace mjm {

/// Time as the polling loops see it, so that tests run without real delays.
class wait_clock {
public:
    wait_clock() = default;
    virtual ~wait_clock() = default;
    wait_clock(const wait_clock&) = delete;
    wait_clock& operator=(const wait_clock&) = delete;

    [[nodiscard]] virtual timestamp now() = 0;
    virtual void pause(duration length) = 0;
};

} // namespace mjm
