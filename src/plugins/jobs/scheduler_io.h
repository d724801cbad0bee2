#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"
#include "jobs/target_orders.h"

#include <cstdint>
#include <string>
#include <variant>

namespace mjm {

/// Time of one call to the scheduler, on the monotonic clock and as Unix time.
struct scheduler_time {
    timestamp now;
    std::int64_t unix_ms = 0;
};

/// Times whose state the leader knows: each change before them has been handled.
struct view_times {
    timestamp targets;
    timestamp cancellations;
    timestamp configuration; ///< And the evacuations of zones, which the operator writes beside it.
};

/// Progress of a job that is to be written to the store.
struct progress_write {
    job_id job;
    std::uint64_t change = 0; ///< Number of the job's latest change that `text` contains.
    std::string text;
};

/// The runs that were given up, to be written to the store.
struct given_up_record {
    std::uint64_t change = 0; ///< Number of the latest change that `text` contains.
    std::string text;
};

struct start_command {
    target_ref target;
    start_order order;
    timestamp planned_at; ///< When the run was planned.
};
struct stop_command {
    target_ref target;
    task_key task;
    run_number run = 0;
};
struct pace_command {
    target_ref target;
    task_key task;
    run_number run = 0;
    int percent = 100;
};
using target_command = std::variant<start_command, stop_command, pace_command>;

/// Resources that a service's open jobs need.
struct pool_demand {
    /// Sum over the jobs. Counted for each is the larger of the need of its running and waiting tasks and the
    /// need of its largest step that still waits for other steps.
    resources total;
    resources present; ///< Need of running and waiting tasks.
    resources waiting; ///< Need of tasks that have no run and whose step is ready.
    /// Whether a waiting task may run on some of the targets only, by its label or by the number of its
    /// step's tasks on each.
    bool restricted = false;
};

} // namespace mjm
