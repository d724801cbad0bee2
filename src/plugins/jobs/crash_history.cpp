#include "jobs/crash_history.h"

namespace mjm {

bool needs_isolation(const crash_history& history)
{
    return history.attributed > 0 || history.crashes + history.unresolved > 1;
}

bool exceeds_limit(const crash_history& history, const crash_settings& settings)
{
    const bool attributed =
        history.attributed >= settings.attributed_minimum && history.crashes >= settings.attributed_limit;
    const bool many_starts = history.crashes >= settings.confirmed_minimum &&
                             history.crashes + history.unresolved >= settings.start_limit;
    return attributed || many_starts;
}

} // namespace mjm
