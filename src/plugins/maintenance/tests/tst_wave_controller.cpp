#include "maintenance_fleet.h"

#include "core/invariant.h"
#include "maintenance/availability_budget.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace mjm::test;

namespace {

wave_document wave_over_all(const fleet_config& config, const std::string& id = "w")
{
    wave_scope scope;
    for (const auto& [pool, record] : config.pools)
        scope.pools.insert(pool);
    return make_wave(id, scope, config);
}

const std::vector<std::string> nothing;
const target_id first{"p0-z0-0"};

} // namespace

// Guards against a wave that does not reach every host, reboots one twice or leaves permits or cordons.
TEST_CASE("a wave reboots every host once and leaves nothing behind")
{
    maintenance_fleet fleet{make_config(2, 4, 9), 1};
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config));
    REQUIRE(fleet.run_until_finished("w", 4h));
    fleet.run(10s);
    CHECK(fleet.faults_found == nothing);
    CHECK(fleet.cordons().hosts.empty());
    for (const auto& [pool, record] : fleet.config.pools)
        CHECK(fleet.budget(pool).taken.empty());
    for (const auto& [id, host] : fleet.hosts)
        CHECK(host.reboots == 1);
}

// Guards against a drain that begins while a shard owner still starts tasks on the host.
TEST_CASE("no drain begins before the owners obey the cordon")
{
    maintenance_fleet fleet{make_config(1, 2, 4), 2};
    fleet.owners_follow = false;
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config));
    fleet.run(5min);
    CHECK(fleet.cordons().hosts.size() == 2);
    CHECK(fleet.wave("w")->count(host_stage::cordoned) == 2);
    fleet.owners_follow = true;
    CHECK(fleet.run_until_finished("w", 2h));
    CHECK(fleet.faults_found == nothing);
}

// Guards against reports of an owner that was replaced before the cordon was set.
TEST_CASE("a report of an earlier owner does not confirm a cordon")
{
    maintenance_fleet fleet{make_config(1, 2, 5), 3};
    const shard_id shard{service_id{"s0"}, zone_id{"z0"}};
    fleet.change_owner(shard);
    fleet.run(1s);
    fleet.owners[shard].epoch = 1;
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config));
    fleet.run(5min);
    CHECK(fleet.wave("w")->hosts.at(first).stage == host_stage::cordoned);
    fleet.owners[shard].epoch = 2;
    CHECK(fleet.run_until_finished("w", 2h));
}

// Guards against a drain, or a reboot, that starts while the store cannot be reached.
TEST_CASE("a store outage starts no drain and the wave goes on afterwards")
{
    maintenance_fleet fleet{make_config(2, 4, 8), 4};
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config));
    fleet.run(2min);
    fleet.set_outage(true);
    fleet.run(1s);
    const wave_document before = *fleet.wave("w");
    const cordon_document cordons = fleet.cordons();
    fleet.run(1h);
    CHECK(*fleet.wave("w") == before);
    CHECK(fleet.cordons() == cordons);
    fleet.set_outage(false);
    CHECK(fleet.run_until_finished("w", 4h));
    CHECK(fleet.faults_found == nothing);
}

// Guards against unplanned failures that leave the budget as it was.
TEST_CASE("an unplanned failure uses up the budget")
{
    maintenance_fleet fleet{make_config(1, 2, 5), 5};
    fleet.fail_host(target_id{"p0-z1-0"}, 30min);
    fleet.start_controller();
    fleet.run(30s);
    CHECK(fleet.budget(pool_id{"p0"}).down.size() == 1);
    fleet.create(wave_over_all(fleet.config));
    fleet.run(20min);
    CHECK(fleet.budget(pool_id{"p0"}).taken.empty());
    CHECK(fleet.wave("w")->hosts.at(first).reason == wait_reason::min_available);
    CHECK(fleet.run_until_finished("w", 4h));
    CHECK(fleet.faults_found == nothing);
}

// Guards against a fault of the new image or of the platform that a wave carries to the whole fleet.
TEST_CASE("correlated failures stop a wave")
{
    maintenance_fleet fleet{make_config(2, 4, 8), 6};
    fleet.start_controller();
    SECTION("hosts that fail verification")
    {
        for (auto& [id, host] : fleet.hosts)
            host.broken = true;
        fleet.create(wave_over_all(fleet.config));
        fleet.run(40min);
        CHECK(fleet.wave("w")->stopped_by == stop_reason::verification_failures);
        const std::int64_t failed = fleet.wave("w")->count(host_stage::failed);
        fleet.run(2h);
        CHECK(fleet.wave("w")->state == wave_state::stopped);
        // Only hosts that were already rebooting when the wave stopped may fail later.
        CHECK(fleet.wave("w")->count(host_stage::failed) <= failed + 4);
        for (auto& [id, host] : fleet.hosts)
            host.broken = false;
        const wave_document stopped = *fleet.wave("w");
        for (const auto& [id, host] : stopped.hosts) {
            if (host.stage == host_stage::failed)
                fleet.commands.retry("w", id, [](const auto&) {});
        }
    }
    SECTION("unplanned failures")
    {
        fleet.create(wave_over_all(fleet.config));
        fleet.run(1min);
        for (const char* id : {"p0-z2-0", "p0-z2-1", "p1-z2-0"})
            fleet.fail_host(target_id{id}, 20min);
        fleet.run(2min);
        CHECK(fleet.wave("w")->stopped_by == stop_reason::unplanned_failures);
        fleet.run(30min);
    }
    // Hosts that had not rebooted are in service again.
    CHECK(fleet.wave("w")->count(host_stage::draining) == 0);
    fleet.commands.resume("w", [](const auto&) {});
    CHECK(fleet.run_until_finished("w", 4h));
    CHECK(fleet.faults_found == nothing);
}

// Guards against operators' changes that take hosts out, or that leave hosts out.
TEST_CASE("pause, resume and abort")
{
    maintenance_fleet fleet{make_config(1, 4, 8), 7};
    fleet.task_end_rate = 0.0;
    fleet.task_rate = 1.0;
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config));
    fleet.run(1min);
    CHECK(fleet.wave("w")->count(host_stage::draining) == 2);
    fleet.commands.pause("w", [](const auto&) {});
    fleet.run(1min);
    CHECK(fleet.wave("w")->state == wave_state::paused);
    CHECK(fleet.budget(pool_id{"p0"}).taken.size() == 2);
    fleet.commands.abort("w", [](const auto&) {});
    CHECK(fleet.run_until_finished("w", 1min));
    fleet.run(10s);
    CHECK(fleet.wave("w")->count(host_stage::skipped) == 12);
    CHECK(fleet.budget(pool_id{"p0"}).taken.empty());
    CHECK(fleet.cordons().hosts.empty());
    CHECK(fleet.faults_found == nothing);
}

// Guards against a drain that waits for ever although the policy has a deadline, and against one that ends
// tasks although the policy is to wait.
TEST_CASE("tasks end at the drain deadline only by policy")
{
    maintenance_fleet fleet{make_config(1, 2, 4), 8};
    fleet.task_end_rate = 0.0;
    fleet.task_rate = 0.5;
    fleet.start_controller();
    wave_document wave = wave_over_all(fleet.config);
    wave.drain = GENERATE(drain_policy::wait, drain_policy::checkpoint);
    wave.drain_deadline = 60s;
    fleet.create(wave);
    const bool finished = fleet.run_until_finished("w", 1h);
    CHECK(finished == (wave.drain == drain_policy::checkpoint));
    CHECK((fleet.ended_by_policy > 0) == finished);
    CHECK(fleet.faults_found == nothing);
}

// Guards against a successor that loses, repeats or doubles what a killed or paused controller began.
TEST_CASE("a successor continues from the documents")
{
    maintenance_fleet fleet{make_config(2, 4, 8), 9};
    fleet.start_controller();
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config));
    const bool kill = GENERATE(true, false);
    for (int n = 0; n < 12; ++n) {
        fleet.run(duration{static_cast<duration::rep>(fleet.random.below(100'000'000))});
        if (kill) {
            fleet.kill_controller(0);
            fleet.start_controller();
        } else {
            fleet.pause_controller(static_cast<std::size_t>(n) % 2, 40s);
        }
    }
    CHECK(fleet.run_until_finished("w", 4h));
    CHECK(fleet.faults_found == nothing);
    for (const auto& [id, host] : fleet.hosts)
        CHECK(host.reboots == 1);
}

// Guards against two waves that take the same host, and against two that exceed a budget together.
TEST_CASE("two waves over the same hosts share the budget")
{
    maintenance_fleet fleet{make_config(1, 4, 10), 10};
    fleet.start_controller();
    fleet.create(wave_over_all(fleet.config, "a"));
    fleet.create(wave_over_all(fleet.config, "b"));
    CHECK(fleet.run_until_finished("a", 8h));
    CHECK(fleet.run_until_finished("b", 8h));
    CHECK(fleet.faults_found == nothing);
}

// Guards against checks that never fail: each check of the fleet meets the fault it is there for.
TEST_CASE("the checks of the fleet find the faults they guard against")
{
    maintenance_fleet fleet{make_config(1, 2, 4), 11};
    const auto write = [&fleet](const std::string& key, const std::string& value) {
        fleet.operators->put({key, value, std::nullopt, 0}, [](const auto&) {});
        fleet.run(2s);
    };
    const auto has = [&fleet](const std::string& text) {
        return std::any_of(fleet.faults_found.begin(), fleet.faults_found.end(),
                           [&](const std::string& it) { return it.find(text) != std::string::npos; });
    };
    cordon_document cordons{1, 1, {{first, {"x", 1}}}};
    write(cordon_key("fleet"), maintenance_codec::encode(cordons));
    CHECK(has("out without a permit"));
    CHECK_FALSE(has("two zones"));
    budget_document budget{1, 1, {{first, {"x", 1}}}, {}};
    for (const char* id : {"p0-z1-0", "p0-z1-1"}) {
        budget.taken[target_id{id}] = {"x", 1};
        cordons.hosts[target_id{id}] = {"x", 1};
    }
    write(budget_key(pool_id{"p0"}), maintenance_codec::encode(budget));
    CHECK(has("permit against the budget"));
    write(cordon_key("fleet"), maintenance_codec::encode(cordons));
    CHECK(has("two zones"));
    CHECK(has("two racks"));
    CHECK(has("too few hosts"));
    const std::uint64_t counted = invariant_violations(invariant::availability_budget);
    CHECK_FALSE(availability_budget{fleet.config, pool_id{"p0"}}.check(budget));
    CHECK(invariant_violations(invariant::availability_budget) == counted + 1);
    fleet.hosts[first].tasks = 1;
    fleet.task_end_rate = 0.0;
    fleet.request_reboot(first, "1", [](const auto&) {});
    fleet.run(1s);
    CHECK(has("rebooted with running tasks"));
}

// Guards against a host that is rebooted on the strength of a write that the store confirmed but did not
// make.
TEST_CASE("a store that confirms writes it does not make takes no further host out")
{
    maintenance_fleet fleet{make_config(2, 4, 8), 12};
    fleet.create(wave_over_all(fleet.config));
    fleet.start_controller();
    fleet.run(40s);
    fleet.processes[0].client->faults.confirm_unwritten = true;
    fleet.run(20min);
    CHECK(fleet.faults_found == nothing);
    CHECK(fleet.wave("w")->state != wave_state::finished);
}
