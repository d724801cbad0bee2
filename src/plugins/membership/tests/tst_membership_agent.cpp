#include "membership/tests/member_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>

using namespace mjm;

namespace {

constexpr int second = std::chrono::seconds{1} / member_fleet::step_time;
// Covers the lease (6 s), the takeover delay (6 s) and two polls.
constexpr int takeover_steps = 14 * second;

std::uint64_t number_from_environment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void require_no_violations(const member_fleet& fleet)
{
    INFO((fleet.violations.empty() ? std::string{} : fleet.violations.front()));
    REQUIRE(fleet.violations.empty());
}

void set_faults(member_fleet& fleet, const store_faults& faults)
{
    for (const auto& it : fleet.processes)
        it->store->faults = faults;
}

} // namespace

TEST_CASE("shards without owners are divided evenly among the members of the zone, even if all start at once")
{
    member_fleet fleet{1, 10};
    for (const char* host : {"h1", "h2", "h3"})
        fleet.start(host);
    fleet.start("other", "b");
    CHECK(fleet.steps_until([&] { return fleet.all_owned(); }, 10 * second));
    CHECK(fleet.steps_until([&] { return fleet.balanced(); }, 60 * second));
    CHECK(fleet.processes[3]->agent->owned().empty());
    CHECK(fleet.steps_until(
        [&] {
            return std::all_of(fleet.shards.begin(), fleet.shards.end(), [&](const shard_id& it) {
                return fleet.processes[3]->agent->owner_of(it).has_value();
            });
        },
        10 * second));
    CHECK(fleet.processes[3]->agent->members().size() == 4);
    require_no_violations(fleet);
}

TEST_CASE("shards of a killed member are taken over at higher epochs, the others keep their owners")
{
    member_fleet fleet{2, 9};
    for (const char* host : {"h1", "h2", "h3"})
        fleet.start(host);
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 60 * second));
    const auto lost = fleet.processes[0]->agent->owned();
    const auto kept = fleet.processes[1]->agent->owned();
    fleet.kill(*fleet.processes[0]);
    CHECK(fleet.steps_until([&] { return fleet.all_owned(); }, takeover_steps));
    fleet.run(std::chrono::seconds{2}); // Lets each member read the document again.
    for (const auto& [shard, epoch] : lost)
        CHECK(fleet.processes[1]->agent->owner_of(shard)->epoch == epoch + 1);
    const auto after = fleet.processes[1]->agent->owned();
    CHECK(std::includes(after.begin(), after.end(), kept.begin(), kept.end()));
    require_no_violations(fleet);
}

TEST_CASE("a resumed member drops the shards it has lost and confirms no old epoch")
{
    member_fleet fleet{3, 6};
    fleet.start("h1");
    fleet.start("h2");
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 60 * second));
    member_fleet::process& paused = *fleet.processes[0];
    const auto old_shards = paused.agent->owned();
    fleet.pause(paused);
    REQUIRE(
        fleet.steps_until([&] { return fleet.processes[1]->agent->owned().size() == 6; }, takeover_steps));
    fleet.resume(paused);
    int refused = 0;
    for (const auto& [shard, epoch] : old_shards)
        paused.agent->confirm_epoch(shard, epoch, [&](bool confirmed) { refused += confirmed ? 0 : 1; });
    fleet.run(std::chrono::seconds{3});
    CHECK(refused == static_cast<int>(old_shards.size()));
    CHECK(paused.agent->owned().empty());
    CHECK(fleet.steps_until([&] { return fleet.balanced(); }, 60 * second));
    require_no_violations(fleet);
}

TEST_CASE("confirm_epoch reports true for the current owner and false while the store is unreachable")
{
    member_fleet fleet{4, 1};
    fleet.start("h1");
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 20 * second));
    const std::pair<const shard_id, shard_epoch> own = *fleet.processes[0]->agent->owned().begin();
    std::vector<bool> answers;
    const auto ask = [&] {
        fleet.processes[0]->agent->confirm_epoch(own.first, own.second,
                                                 [&](bool it) { answers.push_back(it); });
        CHECK(answers.size() < 2);
        fleet.run(std::chrono::seconds{2});
    };
    ask();
    set_faults(fleet, {.unreachable = true});
    ask();
    CHECK(answers == std::vector<bool>{true, false});
}

TEST_CASE("live owners do not change during a store outage longer than the lease, nor after it")
{
    member_fleet fleet{5, 9};
    for (const char* host : {"h1", "h2", "h3"})
        fleet.start(host);
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 60 * second));
    const std::size_t owner_changes = fleet.owner_changes();
    set_faults(fleet, {.unreachable = true});
    fleet.run(std::chrono::minutes{5});
    CHECK(fleet.balanced());
    set_faults(fleet, {});
    fleet.run(std::chrono::minutes{1});
    CHECK(fleet.balanced());
    CHECK(fleet.owner_changes() == owner_changes);
    require_no_violations(fleet);
}

TEST_CASE("a leaving member hands over its shards within 4 s and then removes its record")
{
    member_fleet fleet{6, 9};
    for (const char* host : {"h1", "h2", "h3"})
        fleet.start(host);
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 60 * second));
    fleet.processes[0]->agent->leave(fleet.now);
    CHECK(fleet.steps_until([&] { return fleet.processes[0]->agent->owned().empty() && fleet.all_owned(); },
                            4 * second));
    CHECK(fleet.steps_until([&] { return fleet.processes[0]->agent->has_left(); }, 4 * second));
    CHECK(fleet.store.find("members/h1") == nullptr);
    CHECK(fleet.balanced());
    require_no_violations(fleet);
}

TEST_CASE("the last member releases its shards, and the next one takes them at higher epochs")
{
    member_fleet fleet{7, 3};
    fleet.start("h1");
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 20 * second));
    fleet.processes[0]->agent->leave(fleet.now);
    REQUIRE(fleet.steps_until([&] { return fleet.processes[0]->agent->has_left(); }, 5 * second));
    fleet.start("h2");
    CHECK(fleet.steps_until([&] { return fleet.all_owned(); }, 5 * second));
    for (const auto& [shard, epoch] : fleet.processes[1]->agent->owned())
        CHECK(epoch == 2);
    require_no_violations(fleet);
}

TEST_CASE("a joining member gets its part of the shards one at a time")
{
    member_fleet fleet{8, 9};
    fleet.start("h1");
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 20 * second));
    fleet.run(std::chrono::seconds{20});
    fleet.start("h2");
    std::size_t before = fleet.owner_changes();
    for (int n = 0; n < 10; ++n) {
        fleet.run(std::chrono::seconds{9});
        CHECK(fleet.owner_changes() - before <= 1);
        before = fleet.owner_changes();
    }
    CHECK(fleet.balanced());
    require_no_violations(fleet);
}

TEST_CASE("a restarted process supersedes its former incarnation and takes over its shards at higher epochs")
{
    member_fleet fleet{9, 4};
    fleet.start("h1");
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 20 * second));
    const bool paused = GENERATE(false, true);
    if (paused)
        fleet.pause(*fleet.processes[0]);
    fleet.start("h1");
    CHECK(fleet.steps_until([&] { return fleet.processes[1]->agent->owned().size() == 4; }, 5 * second));
    if (paused)
        fleet.resume(*fleet.processes[0]);
    CHECK(fleet.steps_until([&] { return fleet.processes[0]->agent->superseded(); }, 5 * second));
    CHECK(fleet.processes[0]->agent->owned().empty());
    CHECK(fleet.processes[1]->agent->incarnation() == 2);
    fleet.run(std::chrono::seconds{20});
    CHECK(fleet.processes[1]->agent->owned().size() == 4);
    require_no_violations(fleet);
}

TEST_CASE("a shard that is removed from the configuration and added again gets a higher epoch")
{
    member_fleet fleet{10, 2};
    fleet.start("h1");
    REQUIRE(fleet.steps_until([&] { return fleet.balanced(); }, 20 * second));
    const shard_id shard = *fleet.shards.begin();
    const bool quickly = GENERATE(false, true);
    fleet.processes[0]->agent->set_shards({});
    CHECK(fleet.processes[0]->agent->owned().empty());
    if (!quickly)
        fleet.run(std::chrono::seconds{5});
    fleet.processes[0]->agent->set_shards(fleet.shards);
    CHECK(fleet.steps_until([&] { return fleet.balanced(); }, 5 * second));
    CHECK(fleet.processes[0]->agent->owned().at(shard) == 2);
    require_no_violations(fleet);
}

TEST_CASE("shards are owned and handed over in spite of lost requests, lost answers and late effects")
{
    const auto faults = GENERATE(store_faults{.lose_request = 0.3}, store_faults{.lose_answer = 0.3},
                                 store_faults{.late_effect = 0.3});
    member_fleet fleet{11, 6};
    fleet.start("h1").store->faults = faults;
    fleet.start("h2").store->faults = faults;
    CHECK(fleet.steps_until([&] { return fleet.all_owned(); }, 60 * second));
    fleet.processes[0]->agent->leave(fleet.now);
    CHECK(fleet.steps_until([&] { return fleet.processes[0]->agent->has_left(); }, 60 * second));
    CHECK(fleet.steps_until([&] { return fleet.all_owned(); }, 60 * second));
    require_no_violations(fleet);
}

TEST_CASE("using a claim that the store has not made is reported as a violation")
{
    member_fleet fleet{12, 0};
    fleet.start("h1");
    fleet.run(std::chrono::seconds{3}); // The member's own record is really written.
    fleet.shards = member_fleet{12, 4}.shards;
    fleet.processes[0]->store->faults.confirm_unwritten = true;
    fleet.processes[0]->agent->set_shards(fleet.shards);
    fleet.run(std::chrono::seconds{3});
    REQUIRE(fleet.processes[0]->agent->owned().size() == 4);
    fleet.start("h2");
    fleet.run(std::chrono::seconds{5});
    CHECK_FALSE(fleet.violations.empty());
}

TEST_CASE("random kills, pauses, restarts, outages and lost answers never lead to two owners at one epoch")
{
    const std::uint64_t first = number_from_environment("MJM_FIRST_SEED", 200);
    const std::uint64_t count = number_from_environment("MJM_SEEDS", 20);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        INFO("MJM_FIRST_SEED=" << seed << " MJM_SEEDS=1");
        member_fleet fleet{seed, 8};
        seeded_random random{seed * 7919};
        const std::vector<std::string> names{"h1", "h2", "h3", "h4"};
        for (const std::string& name : names)
            fleet.start(name);
        for (int n = 0; n < 2000; ++n) {
            member_fleet::process& it = *fleet.processes[random.below(fleet.processes.size())];
            if (random.chance(0.02))
                it.store->faults = {.lose_request = random.uniform01() / 3,
                                    .lose_answer = random.uniform01() / 3,
                                    .late_effect = random.uniform01() / 3,
                                    .unreachable = random.chance(0.2)};
            if (random.chance(0.003))
                set_faults(fleet, {.unreachable = random.chance(0.7)});
            if (it.agent && random.chance(0.02)) {
                if (it.paused)
                    fleet.resume(it);
                else
                    fleet.pause(it);
            }
            if (random.chance(0.004))
                fleet.kill(it);
            if (it.agent && random.chance(0.002))
                it.agent->leave(fleet.now);
            if (fleet.processes.size() < 16 && random.chance(0.006))
                fleet.start(names[random.below(names.size())]);
            fleet.step();
            require_no_violations(fleet);
        }
        for (const auto& it : fleet.processes) {
            it->store->faults = {};
            if (it->agent && it->paused)
                fleet.resume(*it);
        }
        fleet.start("last");
        // Leases must expire and the takeover delay must pass before shards move, one each 10 s.
        CHECK(fleet.steps_until([&] { return fleet.all_owned(); }, 3 * takeover_steps));
        CHECK(fleet.steps_until([&] { return fleet.balanced(); }, 120 * second));
        require_no_violations(fleet);
    }
}
