#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

void add_cold_target(scheduler_fixture& f, const std::string& name, duration cold)
{
    target_info info = f.info_of(name);
    info.warm_at = f.now().now + cold;
    f.scheduler.set_target(info, f.now());
    f.report(info.id, {});
}

} // namespace

// Guards against work that waits for a warm target, or is slow, although the other kind of target is free.
TEST_CASE("tasks go to warm targets first, and to cold ones rather than wait")
{
    scheduler_fixture f;
    add_cold_target(f, "a", 5s);
    const target_id warm = f.add_target("b");
    // The fuller target is preferred among those of one kind.
    CHECK(f.run_job("serving", 1, 2000, [](step_spec& s) { s.permanent = true; })[0].target.id ==
          target_id{"a"});
    const std::vector<start_command> starts = f.run_job("j", 20);
    REQUIRE(starts.size() == 20);
    const auto on_warm = std::count_if(starts.begin(), starts.end(),
                                       [&warm](const start_command& s) { return s.target.id == warm; });
    CHECK(on_warm == 16);
}

// Guards against a wave of moves from targets that are slow after their start.
TEST_CASE("the time for which a target is cold doesn't make its runs stragglers")
{
    const bool cold = GENERATE(false, true);
    scheduler_fixture f;
    if (cold)
        add_cold_target(f, "a", 4s);
    else
        f.add_target("a");
    std::vector<start_command> starts = f.run_job("j", 17);
    REQUIRE(starts.size() == 16);
    f.add_target("b");
    std::vector<listed_end> ends;
    for (std::size_t i = 0; i + 1 < starts.size(); ++i)
        ends.push_back(ended(starts[i], i + 1, run_end::done));
    f.advance(1s);
    f.report(target_id{"a"}, {running(starts.back())}, ends);
    f.advance(2s);
    f.report(target_id{"a"}, {running(starts.back())});
    CHECK(f.take_stops().empty() == cold);
    if (!cold)
        return;
    f.advance(4s);
    f.report(target_id{"a"}, {running(starts.back())});
    CHECK(f.take_stops().size() == 1);
}
