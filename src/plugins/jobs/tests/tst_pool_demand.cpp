#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace mjm;

// Guards against hosts that are moved for work that has ended, or not moved for work that has come: the
// demand of a job is computed again only after the job has changed.
TEST_CASE("the demand of a pool follows each change of its jobs", "[pool_demand]")
{
    scheduler_fixture f;
    const service_id pool{"fit"};
    f.add_target("w1");
    CHECK(f.scheduler.demand_of(pool).present == resources{});
    f.add_job("j", 4);
    CHECK(f.scheduler.demand_of(pool).waiting.milli_cpu == 8000);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 4);
    CHECK(f.scheduler.demand_of(pool).waiting == resources{});
    CHECK(f.scheduler.demand_of(pool).present.milli_cpu == 8000);
    for (const start_command& start : starts)
        f.confirm(start);
    const listed_end done{1, starts[0].order.task, 1, run_end::done, {}};
    const listed_end failed{2, starts[1].order.task, 1, run_end::failed, {}};
    f.report(target_id{"w1"},
             {{starts[2].order.task, 1, {}, full_pace, 0.0}, {starts[3].order.task, 1, {}, full_pace, 0.0}},
             {done, failed});
    CHECK(f.scheduler.demand_of(pool).present.milli_cpu == 6000);
    CHECK(f.scheduler.demand_of(pool).waiting.milli_cpu == 2000);
    f.add_job("k", 1);
    CHECK(f.scheduler.demand_of(pool).total.milli_cpu == 8000);
    f.scheduler.cancel_job(job_id{"j"}, f.now());
    CHECK(f.scheduler.demand_of(pool).total.milli_cpu == 2000);
}
