#pragma once

#include "jobs/evacuation.h"
#include "metrics/metric_registry.h"

namespace mjm {

/// Metrics of the evacuation of zones. Those of hosts that don't lead are 0.
class evacuation_gauges {
public:
    explicit evacuation_gauges(metric_registry& metrics);

    void set(const evacuation_state& state);

private:
    metric_gauge zones_;
    metric_gauge runs_;
    metric_gauge waiting_jobs_;
};

} // namespace mjm
