#pragma once

#include "core/time_types.h"

#include <compare>
#include <cstdint>

namespace mjm {

/// Hybrid logical timestamp: orders events of different hosts consistently with causality.
struct hybrid_time {
    std::int64_t wall_ms = 0;
    std::uint32_t counter = 0;

    friend auto operator<=>(const hybrid_time&, const hybrid_time&) = default;
};

/// Hybrid logical clock (Kulkarni et al., 2014). Not thread-safe.
class hybrid_clock {
public:
    /// Timestamp for a local event or for a message to be sent.
    [[nodiscard]] hybrid_time tick(wall_time now);
    /// Merges the timestamp of a received message.
    hybrid_time observe(const hybrid_time& remote, wall_time now);

private:
    hybrid_time last_;
};

} // namespace mjm
