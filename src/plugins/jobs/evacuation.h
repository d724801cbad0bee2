#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "jobs/job_types.h"

#include <cstddef>
#include <set>

namespace mjm {

/// Zones that an operator wants evacuated, and what that concerns.
struct evacuation_state {
    std::set<zone_id> zones;       ///< Nothing is started on their targets.
    std::size_t runs = 0;          ///< Runs that are left on these targets.
    std::set<job_id> waiting_jobs; ///< Jobs with waiting tasks that only these targets could run.
    timestamp next_check;
};

} // namespace mjm
