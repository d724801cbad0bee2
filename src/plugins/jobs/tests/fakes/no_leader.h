#pragma once

#include "jobs/job_front.h"

namespace mjm {

/// A leader that nobody reaches, so that the store is asked.
class no_leader final : public leader_link {
public:
    void state_of(const job_id& /*id*/, state_callback done) override
    {
        done(tl::unexpected{front_errc::leader_unavailable});
    }
    void waiting_jobs(const queue_id& /*queue*/, count_callback done) override
    {
        done(tl::unexpected{front_errc::leader_unavailable});
    }
};

} // namespace mjm
