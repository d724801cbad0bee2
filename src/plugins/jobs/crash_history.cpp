#include "jobs/crash_history.h"

#include <algorithm>

namespace mjm {

bool needs_isolation(const crash_history& history)
{
    return history.attributed > 0 || history.crashes + history.unresolved > 1;
}

bool exceeds_limit(const crash_history& history, const crash_settings& settings)
{
    return history.attributed >= settings.attributed_limit ||
           (history.crashes >= settings.confirmed_minimum &&
            history.crashes + history.unresolved >= settings.start_limit);
}

std::optional<std::size_t> probable_cause(const std::vector<crash_history>& histories)
{
    if (histories.size() == 1)
        return 0;
    const auto fewer_crashes = [](const crash_history& a, const crash_history& b) {
        return a.crashes < b.crashes;
    };
    const auto most = std::max_element(histories.begin(), histories.end(), fewer_crashes);
    if (most == histories.end() || most->crashes == 0)
        return std::nullopt;
    const auto equal = std::count_if(histories.begin(), histories.end(),
                                     [most](const crash_history& h) { return h.crashes == most->crashes; });
    if (equal > 1)
        return std::nullopt;
    return static_cast<std::size_t>(most - histories.begin());
}

} // namespace mjm
