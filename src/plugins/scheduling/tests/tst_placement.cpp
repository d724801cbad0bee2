#include "scheduling/placement.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace mjm;

namespace {

placement_candidate target(int n, int rack)
{
    return {.id = target_id{"t" + std::to_string(n)},
            .rack = rack_id{"r" + std::to_string(rack)},
            .capacity = {.milli_cpu = 8000, .memory_mib = 8000, .accelerators = 0, .slots = 8},
            .reserved = {},
            .reported_used = {}};
}

constexpr resources one_slot{.milli_cpu = 1000, .memory_mib = 1000, .accelerators = 0, .slots = 1};

} // namespace

// Guards against tasks on targets that are leaving, ejected or full.
TEST_CASE("unusable, ejected and full targets are never chosen")
{
    seeded_random random{1};
    std::vector<placement_candidate> targets{target(0, 0), target(1, 0), target(2, 1), target(3, 1)};
    targets[0].usable = false;
    targets[1].weight = 0.0;
    targets[2].reserved.slots = 8;
    for (int n = 0; n < 20; ++n)
        CHECK(choose_target(targets, one_slot, random) == target_id{"t3"});
    targets[3].reported_used.memory_mib = 7500;
    CHECK_FALSE(choose_target(targets, one_slot, random));
}

// Guards against placing all tasks between two usage reports on the target that reported the least usage.
TEST_CASE("tasks placed since the last report count as load, and load is spread over racks")
{
    seeded_random random{2};
    std::vector<placement_candidate> targets;
    targets.reserve(8);
    for (int n = 0; n < 8; ++n)
        targets.push_back(target(n, n / 4));
    for (int n = 0; n < 32; ++n) {
        const std::optional<target_id> id = choose_target(targets, one_slot, random);
        REQUIRE(id);
        for (placement_candidate& it : targets) {
            if (it.id == *id)
                it.reserved += one_slot;
        }
    }
    std::map<rack_id, std::int64_t> racks;
    for (const placement_candidate& it : targets) {
        CHECK(it.reserved.slots >= 3);
        CHECK(it.reserved.slots <= 5);
        racks[it.rack] += it.reserved.slots;
    }
    CHECK(racks[rack_id{"r0"}] == Approx(16).margin(1));
}

// Guards against reserving a target whose capacity is too small for the large task.
TEST_CASE("the reservation goes to the least loaded target that is large enough")
{
    std::vector<placement_candidate> targets{target(0, 0), target(1, 0), target(2, 1)};
    targets[0].capacity.slots = 4;
    targets[1].reserved.slots = 6;
    targets[2].reserved.slots = 3;
    const resources large{.milli_cpu = 0, .memory_mib = 0, .accelerators = 0, .slots = 8};
    CHECK(choose_reservation(targets, large) == target_id{"t2"});
    targets[2].usable = false;
    CHECK(choose_reservation(targets, large) == target_id{"t1"});
}
