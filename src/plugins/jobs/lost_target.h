#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"

#include <string>
#include <vector>

namespace mjm {

struct lost_run {
    task_key task;
    run_number run = 0;
    bool restored = false; ///< Whether an earlier leader has started it, at an unknown time.
};

/// A target that is kept free of other starts for an isolated run.
struct kept_target {
    target_id target;
    timestamp since;
};

/// A target whose lease ran out in silence. It has crashed, or it may answer again.
struct lost_target {
    std::string host;
    target_incarnation incarnation = 0;
    timestamp lost_at;
    std::vector<lost_run> runs; ///< Its runs that were on probation.
};

} // namespace mjm
