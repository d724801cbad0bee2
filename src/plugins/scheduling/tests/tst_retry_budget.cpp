#include "scheduling/retry_budget.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {
constexpr timestamp start{std::chrono::hours{1}};
const team_id team{"a"};
} // namespace

// Guards against retries that multiply the load of an overloaded service.
TEST_CASE("retries stay within the ratio of first attempts plus the floor")
{
    retry_budget budget{{}};
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        const timestamp now = start + n * 10ms;
        budget.record_first_attempt(team, now);
        if (budget.try_spend(team, now))
            ++retries;
    }
    CHECK(retries <= 10 + 100 + 10);
    CHECK(retries >= 100);
}

// Guards against failures of one team that use up another team's budget, and against a budget that never
// refills while a team has no traffic.
TEST_CASE("budgets are per team and refill without traffic")
{
    retry_budget budget{{}};
    while (budget.try_spend(team, start)) {
    }
    CHECK(budget.try_spend(team_id{"b"}, start));
    CHECK_FALSE(budget.try_spend(team, start + 900ms));
    CHECK(budget.try_spend(team, start + 1100ms));
}

// Guards against synchronised retries and against an overflow at high attempt numbers.
TEST_CASE("the back-off grows up to its bound and is jittered")
{
    const retry_budget budget{{}};
    seeded_random random{4};
    duration longest_first{0};
    duration longest_late{0};
    for (int n = 0; n < 500; ++n) {
        longest_first = std::max(longest_first, budget.backoff(2, random));
        longest_late = std::max(longest_late, budget.backoff(1'000'000, random));
    }
    CHECK(longest_first <= 20ms);
    CHECK(longest_first > 15ms);
    CHECK(longest_late <= 2s);
    CHECK(longest_late > 1900ms);
}
