#include "core/clock.h"

#include <ctime>

namespace mjm {

timestamp system_clock_source::now() const
{
    // CLOCK_MONOTONIC, which std::chrono::steady_clock reads, stands still while the machine is suspended, so
    // a lease would outlive its end on a host that wakes up.
    timespec t{};
    clock_gettime(CLOCK_BOOTTIME, &t);
    return timestamp{std::chrono::duration_cast<duration>(std::chrono::seconds{t.tv_sec} +
                                                          std::chrono::nanoseconds{t.tv_nsec})};
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
