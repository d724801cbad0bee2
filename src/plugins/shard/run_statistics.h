#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace mjm {

/// Exponential moving mean of the run times of a shard's tasks, and the retry delay derived from it.
class run_statistics {
public:
    void record(duration run_time);
    [[nodiscard]] duration mean() const;
    /// Returns the delay after which a refused caller should try again if `queued` requests wait and
    /// `running` tasks run.
    [[nodiscard]] duration retry_delay(std::size_t queued, std::size_t running) const;

private:
    double mean_s_ = 0.0;
};

} // namespace mjm
