#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace mjm {

/// Moving mean of a shard's run times, and the waiting time that follows from it.
class run_statistics {
public:
    void record(duration run_time);
    [[nodiscard]] duration mean() const;
    /// When a refused caller should try again, with this much work waiting and running.
    [[nodiscard]] duration retry_advice(std::size_t queued, std::size_t running) const;

private:
    double mean_s_ = 0.0;
};

} // namespace mjm
