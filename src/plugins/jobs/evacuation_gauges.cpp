#include "jobs/evacuation_gauges.h"

namespace mjm {

evacuation_gauges::evacuation_gauges(metric_registry& metrics)
    : zones_{metrics.gauge("mjm_evacuated_zones", "Zones that the operator wants evacuated.", {})},
      runs_{metrics.gauge("mjm_evacuated_zone_runs", "Runs that are left in evacuated zones.", {})},
      waiting_jobs_{metrics.gauge("mjm_jobs_awaiting_zones",
                                  "Jobs with waiting tasks that only evacuated zones could run.", {})}
{
}

void evacuation_gauges::set(const evacuation_state& state)
{
    zones_.set(static_cast<double>(state.zones.size()));
    runs_.set(static_cast<double>(state.runs));
    waiting_jobs_.set(static_cast<double>(state.waiting_jobs.size()));
}

} // namespace mjm
