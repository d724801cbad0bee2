#pragma once

#include "jobs/job_types.h"

#include <string>
#include <vector>

namespace mjm {

/// A run that was lost with its target and may be the cause.
struct lost_run {
    task_key task;
    run_number run = 0;
    bool restored = false;    ///< Whether an earlier leader has started it, at an unknown time.
    bool on_probation = true; ///< Whether it counts in the task's crash history.
    duration at_work{0};      ///< Time for which it is known to have been at work.
};

/// A target that is kept free for an isolated run.
struct kept_target {
    target_id target;
    timestamp since;
};

/// A target whose lease ran out in silence. It has crashed, or it may answer again.
struct lost_target {
    std::string host;
    target_incarnation incarnation = 0;
    timestamp lost_at;
    std::vector<lost_run> runs;
};

/// Why a target has lost runs.
struct target_loss {
    std::vector<task_key> lost;      ///< Tasks whose runs have ended.
    std::vector<task_key> in_flight; ///< Tasks whose starts may have been carried out, or may be later.
    const char* reason = "";
    bool is_crash = false; ///< Whether the target was to stay. Its crash may be attributed to a task.
};

} // namespace mjm
