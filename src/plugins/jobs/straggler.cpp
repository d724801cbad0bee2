#include "jobs/straggler.h"

#include <algorithm>

namespace mjm {

namespace {

duration scaled(duration d, double factor)
{
    return duration{static_cast<std::int64_t>(static_cast<double>(d.count()) * factor)};
}

} // namespace

std::optional<duration> straggler_bound(const step_times& others, std::uint32_t tasks,
                                        const straggler_settings& settings)
{
    if (others.done == 0 ||
        static_cast<double>(others.done) < settings.done_share * static_cast<double>(tasks))
        return std::nullopt;
    return scaled(others.total / others.done, settings.factor) + settings.margin;
}

duration expected_straggler_bound(duration age, duration estimate, const step_times& others,
                                  const straggler_settings& settings)
{
    const duration run_time = others.done > 0
                                  ? others.total / others.done
                                  : std::max(age, scaled(estimate, 1.0 / settings.estimate_factor));
    return scaled(run_time, settings.factor) + settings.margin;
}

std::optional<duration> overdue_bound(duration estimate, const straggler_settings& settings)
{
    if (estimate.count() <= 0)
        return std::nullopt;
    return scaled(estimate, settings.estimate_factor) + settings.margin;
}

} // namespace mjm
