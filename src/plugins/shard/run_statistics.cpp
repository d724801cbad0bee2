#include "shard/run_statistics.h"

#include <algorithm>

namespace mjm {

namespace {

constexpr double mean_smoothing = 0.1;
constexpr duration min_retry_delay{std::chrono::milliseconds{100}};
constexpr duration max_retry_delay{std::chrono::seconds{30}};

duration from_seconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void run_statistics::record(duration run_time)
{
    mean_s_ += mean_smoothing * (std::chrono::duration<double>(run_time).count() - mean_s_);
}

duration run_statistics::mean() const
{
    return from_seconds(mean_s_);
}

duration run_statistics::retry_delay(std::size_t queued, std::size_t running) const
{
    const double servers = static_cast<double>(std::max<std::size_t>(1, running));
    const duration wait = from_seconds(mean_s_ * static_cast<double>(queued) / servers);
    return std::clamp(wait, min_retry_delay, max_retry_delay);
}

} // namespace mjm
