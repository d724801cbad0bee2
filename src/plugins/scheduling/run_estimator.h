#pragma once

#include "core/identifiers.h"
#include "core/resources.h"
#include "core/time_types.h"

#include <memory>

namespace mjm {

/// Expected run time and size of a request.
struct run_estimate {
    duration run_time{0};
    resources size;
};

/// Estimates run times and sizes from measurements per service and team. Declared values are only hints.
class run_estimator {
public:
    run_estimator();
    ~run_estimator();
    run_estimator(const run_estimator&) = delete;
    run_estimator& operator=(const run_estimator&) = delete;

    /// Records the run time and usage of a finished task. `measured` is zero for kinds that were not
    /// reported.
    void record(const service_id& service, const team_id& team, duration run_time, const resources& declared,
                const resources& measured);
    /// As above, for a request that declared its run time (0 if it did not). Records the ratio of the
    /// measured to the declared run time as well.
    void record(const service_id& service, const team_id& team, duration run_time, duration declared_run,
                const resources& declared, const resources& measured);
    /// Returns the estimate for a request that declares `declared` and `declared_run` (0 if not declared).
    /// The estimated size never exceeds `largest`, so that a wrong estimate cannot make a request
    /// unplaceable.
    [[nodiscard]] run_estimate estimate(const service_id& service, const team_id& team,
                                        const resources& declared, duration declared_run,
                                        const resources& largest) const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
