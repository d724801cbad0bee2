#include "fleet_simulation.h"
#include "jobs/job_keys.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

// Guards against an acknowledgement that a target carries out in its next life, so that it forgets ends that
// nobody has read.
TEST_CASE("orders to a target's former life have no effect on its next one")
{
    const std::uint64_t seed = GENERATE(range<std::uint64_t>(1, 5));
    CAPTURE(seed);
    fleet_simulation sim{seed};
    sim.fleet.task_need = {100, 64, 0, 0};
    sim.fleet.most_ends_listed = 500;
    sim.fleet.entry_delay = 100ms;
    sim.run_for(4s);
    lease_request late;
    late.token = sim.store.find(std::string{job_keys::leader})->revision;
    late.ends_acknowledged = 1000;
    for (int i = 0; i < 8; ++i) {
        sim.submit("j" + std::to_string(i), 200);
        sim.run_for(500ms);
        if (i == 2)
            sim.fleet.crash_for("h0", restart_kind::same_id, 500ms);
        for (int n = 0; n < 50; ++n) {
            for (const target_info& t : sim.fleet.listed()) {
                if (i > 3 && t.host == "h0")
                    sim.fleet.observe({t.id, t.endpoint}, late, [](const auto& /*report*/) {});
            }
            sim.run_for(10ms);
        }
    }
    sim.run_for(20s);
    CHECK(sim.fleet.violations.empty());
    for (const std::string& id : sim.accepted)
        CHECK(sim.completed(id));
}

// Guards against a leader that resigns because a target refuses one of its own orders as overtaken.
TEST_CASE("the token of the orders to a target rises once in each of its lives")
{
    scheduler_fixture f;
    const target_id t = f.add_target("t");
    const auto token = [&f, &t] { return f.scheduler.begin_observation(t, f.now().now).token; };
    CHECK(token() == scheduler_fixture::token);
    f.scheduler.on_stored({}, f.now(), 40);
    CHECK(token() == scheduler_fixture::token);
    const timestamp before = f.now().now;
    f.advance(1ms);
    f.report(t, {}, {}, 2);
    CHECK(token() == 40);
    CHECK(f.scheduler.token_for(t) == 40);
    f.scheduler.on_stored({}, f.now(), 41);
    CHECK(token() == 40);

    f.scheduler.on_report(t, tl::unexpected{order_errc::fenced}, before, f.now());
    f.scheduler.on_stop_answer(t, {job_id{"j"}, {0, 0, 0}}, 1, tl::unexpected{order_errc::fenced}, f.now());
    CHECK_FALSE(f.scheduler.superseded());
    f.advance(1ms);
    f.scheduler.on_report(t, tl::unexpected{order_errc::fenced}, f.now().now, f.now());
    CHECK(f.scheduler.superseded());
}

// Guards against a start in a new life that an order to the former one with the same token can follow.
TEST_CASE("a start in a target's new life has a higher token than all orders to the former one")
{
    scheduler_fixture f;
    const target_id t = f.add_target("t");
    target_info info = f.info_of("t");
    info.incarnation = 2;
    f.scheduler.set_target(info, f.now());
    f.report(t, {}, {}, 2);
    f.add_job("j", 1);
    f.scheduler.plan(f.now());
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now(), 40);
    const std::vector<start_command> starts = f.take_starts();
    REQUIRE(starts.size() == 1);
    CHECK(starts[0].order.token == 40);
}

// Guards against a task that runs twice because a late order has extended the lease of a target's new life.
TEST_CASE("the lease of a target's new life counts as the longest one")
{
    scheduler_fixture f;
    const target_id t = f.add_target("t");
    f.advance(10s); // The leases of earlier leaders are over.
    target_info info = f.info_of("t");
    info.incarnation = 2;
    f.scheduler.set_target(info, f.now());
    f.report(t, {}, {}, 2);
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    f.report(t, {running(starts[0])}, {}, 2);
    f.miss(t);
    f.miss(t);
    f.advance(5s); // Longer than the lease that this leader has granted, with its margin.
    CHECK(f.scheduler.find_job(job_id{"j"})->active_runs() == 1);
    f.advance(2s);
    CHECK(f.scheduler.find_job(job_id{"j"})->active_runs() == 0);
}
