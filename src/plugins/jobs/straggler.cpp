#include "jobs/straggler.h"

namespace mjm {

namespace {

duration scaled(duration d, double factor)
{
    return duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * factor)};
}

} // namespace

bool is_straggler(duration age, const step_times& others, std::uint32_t tasks,
                  const straggler_settings& settings)
{
    if (others.done == 0 ||
        static_cast<double>(others.done) < settings.done_share * static_cast<double>(tasks))
        return false;
    return age > scaled(others.total / others.done, settings.factor) + settings.margin;
}

bool is_overdue(duration age, duration estimate, const straggler_settings& settings)
{
    return estimate.count() > 0 && age > scaled(estimate, settings.estimate_factor) + settings.margin;
}

} // namespace mjm
