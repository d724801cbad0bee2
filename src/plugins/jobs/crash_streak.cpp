#include "jobs/crash_streak.h"

#include <algorithm>

namespace mjm {

namespace {

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

void crash_rate::advance(timestamp now, std::size_t targets)
{
    if (now <= known_until_)
        return;
    target_time_ += static_cast<duration::rep>(targets) * (now - known_until_);
    known_until_ = now;
}

double crash_rate::expected(duration exposure, std::uint32_t own) const
{
    // An earlier leader may have seen some of the task's own crashes.
    const std::uint32_t others = crashes_ > own ? crashes_ - own : 0;
    const double crashes = settings_.assumed_crashes + static_cast<double>(others);
    return crashes * seconds_of(exposure) / seconds_of(settings_.assumed_time + target_time_);
}

void extend_streak(crash_streak& streak, duration at_work, const crash_rate& rate,
                   const crash_streak_settings& settings)
{
    ++streak.crashes;
    streak.exposure += at_work;
    streak.longest = std::max(streak.longest, at_work);
    streak.unlikely = rate.expected(streak.exposure, streak.crashes) <= settings.chance_limit;
}

bool needs_separation(const crash_streak& streak, const crash_streak_settings& settings)
{
    return streak.unlikely && streak.crashes >= settings.separation_limit;
}

bool needs_isolation(const crash_streak& streak, const crash_streak_settings& settings)
{
    return needs_separation(streak, settings) && streak.survival_time() <= settings.longest_isolation;
}

bool exceeds_limit(const crash_streak& streak, std::uint32_t attributed,
                   const crash_streak_settings& settings)
{
    return streak.unlikely && streak.crashes >= (attributed > 0 ? settings.attributed_limit : settings.limit);
}

} // namespace mjm
