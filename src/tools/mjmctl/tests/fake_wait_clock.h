#pragma once

#include "wait_clock.h"

namespace mjm::test {

/// Time passes only in pauses.
class fake_wait_clock final : public wait_clock {
public:
    [[nodiscard]] timestamp now() override { return now_; }
    void pause(duration length) override { now_ += length; }

private:
    timestamp now_{};
};

} // namespace mjm::test
