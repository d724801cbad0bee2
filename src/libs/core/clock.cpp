#include "core/clock.h"

namespace mjm {

timestamp system_clock_source::now() const
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

wall_time system_clock_source::wall_now() const
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

void manual_clock::advance(duration d)
{
    now_ += d;
    wall_now_ += std::chrono::duration_cast<std::chrono::milliseconds>(d);
}

} // namespace mjm
