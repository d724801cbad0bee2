#pragma once

#include "jobs/job_front.h"

namespace mjm {

/// A leader link without a reachable leader, so that queries fall back to the store.
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
