#include "core/invariant.h"
#include "core/random_source.h"
#include "permits/permit_allocation.h"
#include "permits/permit_document.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;

namespace {

shard_id shard(int n)
{
    return {service_id{"s" + std::to_string(n)}, zone_id{"a"}};
}

} // namespace

TEST_CASE("a permit document is restored from its JSON text, and invalid text is rejected")
{
    permit_document document;
    document.grants[shard(1)] = {12, 3};
    document.grants[shard(2)] = {8, 1};
    document.wanted[shard(2)] = 20;
    document.set_limit(10, 7);
    CHECK(permit_document::from_json(document.to_json()) == document);
    const std::string text = document.to_json();
    for (std::size_t n = 0; n < text.size(); ++n)
        CHECK_FALSE(permit_document::from_json(text.substr(0, n)));
    CHECK_FALSE(
        permit_document::from_json(R"({"limit":-1,"limit_version":1,"grants":{},"wanted":{},"caps":{}})"));
    CHECK_FALSE(permit_document::from_json(
        R"({"limit":1,"limit_version":1,"grants":{"a@b":{"count":1,"epoch":-1}},"wanted":{},"caps":{}})"));
}

TEST_CASE("grants above the limit are reported as a violation of team_limit")
{
    permit_document document;
    document.limit = 10;
    document.grants[shard(1)] = {6, 1};
    document.grants[shard(2)] = {5, 1};
    const std::uint64_t before = invariant_violations(invariant::team_limit);
    CHECK_FALSE(document.check_limit(team_id{"studio"}));
    CHECK(invariant_violations(invariant::team_limit) == before + 1);
    document.set_limit(10, 2);
    CHECK(document.check_limit(team_id{"studio"}));
    CHECK(document.free() == 0);
}

TEST_CASE("proportional parts sum up to the total, exceed no need, and leave no need without a permit")
{
    seeded_random random{21};
    for (int round = 0; round < 1000; ++round) {
        std::map<shard_id, std::int64_t> needs;
        std::int64_t sum = 0;
        std::int64_t needy = 0;
        for (int n = static_cast<int>(random.below(40)); n > 0; --n) {
            const auto need =
                static_cast<std::int64_t>(random.chance(0.3) ? 0 : random.below(1U << random.below(16)));
            needs[shard(n)] = need;
            sum += need;
            needy += need > 0 ? 1 : 0;
        }
        const auto total = static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(sum) + 2));
        std::int64_t given = 0;
        for (const auto& [id, part] : divide_in_proportion(total, needs)) {
            REQUIRE((part >= 0 && part <= needs[id]));
            REQUIRE((needs[id] == 0 || needy > total || part >= 1));
            given += part;
        }
        REQUIRE(given == std::min<std::int64_t>(sum, total));
    }
}

TEST_CASE("a raised limit raises no cap while the grants exceed the limit")
{
    permit_document document;
    document.grants[shard(1)] = {30, 1};
    document.grants[shard(2)] = {15, 1};
    document.set_limit(20, 2);
    const std::int64_t first = document.usable_by(shard(1));
    const std::int64_t second = document.usable_by(shard(2));
    document.set_limit(25, 3);
    CHECK(document.usable_by(shard(1)) <= first);
    CHECK(document.usable_by(shard(2)) <= second);
    document.set_limit(45, 4);
    CHECK(document.caps.empty());
}
