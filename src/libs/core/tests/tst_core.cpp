#include "core/bounded_ring.h"
#include "core/clock.h"
#include "core/hybrid_clock.h"
#include "core/identifiers.h"
#include "core/invariant.h"
#include "core/number_text.h"
#include "core/random_source.h"
#include "core/task_types.h"

#include <catch2/catch.hpp>

#include <ctime>

using namespace mjm;

TEST_CASE("a full ring rejects the item, counts it and leaves it with the producer")
{
    bounded_ring<std::string> ring{1};
    std::string first{"first"};
    std::string second{"second"};
    REQUIRE(ring.try_push(first));
    REQUIRE_FALSE(ring.try_push(second));
    CHECK(second == "second");
    CHECK(ring.rejected() == 1);
    CHECK(ring.try_pop() == "first");
}

TEST_CASE("a closed ring still hands out queued items but takes no more")
{
    bounded_ring<int> ring{4};
    int item = 7;
    REQUIRE(ring.try_push(item));
    ring.close();
    CHECK_FALSE(ring.try_push(item));
    CHECK(ring.pop_for(std::chrono::seconds{0}) == 7);
    CHECK(ring.pop_for(std::chrono::seconds{0}) == std::nullopt);
}

TEST_CASE("hybrid time never goes back when the wall clock does")
{
    hybrid_clock clock;
    const hybrid_time a = clock.tick(wall_time{std::chrono::milliseconds{100}});
    const hybrid_time b = clock.tick(wall_time{std::chrono::milliseconds{50}});
    const hybrid_time c = clock.observe(hybrid_time{200, 3}, wall_time{std::chrono::milliseconds{60}});
    CHECK(a < b);
    CHECK(b < c);
    CHECK(c == hybrid_time{200, 4});
}

TEST_CASE("shard identifiers survive the text form and malformed ones are rejected")
{
    const shard_id id{service_id{"lens"}, zone_id{"hobart-1"}};
    CHECK(parse_shard_id(to_string(id)) == id);
    CHECK_FALSE(parse_shard_id("lens").has_value());
    CHECK_FALSE(parse_shard_id("@zone").has_value());
    CHECK_FALSE(parse_shard_id("a@b/c").has_value());
}

TEST_CASE("the same seed gives the same sequence")
{
    seeded_random a{42};
    seeded_random b{42};
    for (int i = 0; i < 100; ++i)
        REQUIRE(a.next() == b.next());
    CHECK(a.below(0) == 0);
}

TEST_CASE("every reason and outcome has a name that parses back")
{
    for (const auto& [value, name] : enum_names<reason>::entries)
        CHECK(parse_enum<reason>(name) == value);
    for (const auto& [value, name] : enum_names<outcome_kind>::entries)
        CHECK(parse_enum<outcome_kind>(name) == value);
}

TEST_CASE("a broken invariant is counted and reported, not fatal")
{
    int reported = 0;
    const invariant_handler previous =
        set_invariant_handler([&](invariant, const std::string&) { ++reported; });
    const std::uint64_t before = invariant_violations(invariant::one_pool);
    CHECK(check_invariant(true, invariant::one_pool, ""));
    CHECK_FALSE(check_invariant(false, invariant::one_pool, "host h1 in two pools"));
    set_invariant_handler(previous);
    CHECK(reported == 1);
    CHECK(invariant_violations(invariant::one_pool) == before + 1);
}

TEST_CASE("a wake that comes before the wait is not lost")
{
    // A consumer that missed it would wait the whole hour.
    bounded_ring<int> ring{1};
    ring.wake();
    CHECK(ring.pop_for(std::chrono::hours{1}) == std::nullopt);
}

TEST_CASE("a number is parsed as a whole or not at all")
{
    CHECK(parse_integer<std::uint32_t>("42") == 42U);
    CHECK(parse_integer<std::int64_t>("-42") == -42);
    for (const char* text : {"", "x", "4x", " 4", "-4", "4294967296"}) {
        CAPTURE(text);
        CHECK_FALSE(parse_integer<std::uint32_t>(text));
    }
}

TEST_CASE("the system's clock counts the time for which the machine was suspended")
{
    // Guards against a lease that seems valid on a host that has just woken up. It shows on machines that
    // have been suspended since their start.
    const auto boot_time = [] {
        timespec t{};
        clock_gettime(CLOCK_BOOTTIME, &t);
        return std::chrono::seconds{t.tv_sec} + std::chrono::nanoseconds{t.tv_nsec};
    };
    const system_clock_source time;
    const std::chrono::nanoseconds before = boot_time();
    const duration now = time.now().time_since_epoch();
    const std::chrono::nanoseconds after = boot_time();
    CHECK(now >= std::chrono::floor<duration>(before));
    CHECK(now <= after);
}
