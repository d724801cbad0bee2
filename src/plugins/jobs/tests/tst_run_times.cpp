#include "jobs/run_time_model.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

const run_class quick{queue_id{"quick"}, "", 11};
const service_id pool{"pool"};
const target_id usual{"usual"};

double factor(duration a, duration b)
{
    return std::chrono::duration<double>(a) / std::chrono::duration<double>(b);
}

void record_many(run_time_model& model, int runs, duration declared, duration measured)
{
    for (int n = 0; n < runs; ++n)
        model.record(quick, pool, target_id{"t" + std::to_string(n % 5)}, declared, measured);
}

} // namespace

TEST_CASE("without measurements, the declared run time is expected")
{
    const run_time_model model;
    CHECK(model.expect(quick, 700ms).typical == duration{700ms});
    CHECK(model.expect(quick, 700ms).late == duration{700ms});
}

TEST_CASE("run times that callers declare too short are corrected")
{
    run_time_model model;
    record_many(model, 30, 500ms, 2000ms);
    CHECK(factor(model.expect(quick, 500ms).typical, 2000ms) == Approx(1.0).epsilon(0.25));
    SECTION("a class without runs takes what its queue has learned")
    {
        const run_class other{quick.queue, "image", 11};
        CHECK(factor(model.expect(other, 500ms).typical, 2000ms) == Approx(1.0).epsilon(0.25));
    }
    SECTION("other queues learn nothing from it")
    {
        CHECK(model.expect({queue_id{"other"}, "", 11}, 500ms).typical == duration{500ms});
    }
    SECTION("the expectation follows a change of the run times")
    {
        record_many(model, 600, 500ms, 250ms);
        CHECK(factor(model.expect(quick, 500ms).typical, 250ms) < 1.5);
    }
}

TEST_CASE("declared run times that tell short tasks from long ones are used")
{
    run_time_model model;
    for (int n = 0; n < 40; ++n) {
        const duration declared = n % 2 == 0 ? duration{200ms} : duration{3200ms};
        model.record(quick, pool, target_id{"t" + std::to_string(n % 7)}, declared, declared * 2);
    }
    CHECK(factor(model.expect(quick, 200ms).typical, 400ms) == Approx(1.0).epsilon(0.25));
    CHECK(factor(model.expect(quick, 3200ms).typical, 6400ms) == Approx(1.0).epsilon(0.25));
}

TEST_CASE("a few runs of seven times the length change the late figure and not the typical one")
{
    run_time_model model;
    for (int n = 0; n < 200; ++n)
        model.record(quick, pool, target_id{"t" + std::to_string(n % 11)}, 0ms, n % 15 == 0 ? 4200ms : 600ms);
    const run_expectation expected = model.expect(quick, 0ms);
    CHECK(factor(expected.typical, 600ms) < 1.6);
    CHECK(factor(expected.late, 600ms) > 4.0);
}

TEST_CASE("runs on a slow target don't make the tasks look long")
{
    run_time_model model;
    for (int n = 0; n < 200; ++n) {
        model.record(quick, pool, target_id{"t" + std::to_string(n % 5)}, 0ms, 500ms);
        if (n % 2 == 0)
            model.record(quick, pool, target_id{"slow"}, 0ms, 1000ms);
    }
    CHECK(model.slowness(target_id{"slow"}) > 1.5);
    CHECK(model.slowness(target_id{"t1"}) == Approx(1.0).epsilon(0.2));
    CHECK(factor(model.expect(quick, 0ms).typical, 500ms) == Approx(1.0).epsilon(0.25));
}

TEST_CASE("the targets of one pool are not compared with those of another one")
{
    run_time_model model;
    const run_class other{queue_id{"long"}, "", 11};
    for (int n = 0; n < 400; ++n) {
        model.record(quick, pool, target_id{"t" + std::to_string(n % 5)}, 0ms, n % 3 == 0 ? 800ms : 500ms);
        model.record(other, service_id{"other"}, target_id{"u" + std::to_string(n % 5)}, 0ms, 2100ms);
    }
    for (const char* target : {"t0", "t4", "u0", "u4"})
        CHECK(model.slowness(target_id{target}) == Approx(1.0).epsilon(0.25));
    CHECK(factor(model.expect(other, 0ms).typical, 2100ms) == Approx(1.0).epsilon(0.25));
}

TEST_CASE("images that callers choose can't fill the memory")
{
    run_time_model model;
    record_many(model, 30, 500ms, 500ms);
    for (int n = 0; n < 1000; ++n)
        model.record({queue_id{"quick"}, "image " + std::to_string(n), 11}, pool, usual, 500ms, 500ms);
    CHECK(model.classes() <= run_time_settings{}.max_classes);
    CHECK(model.encode().size() < 100'000);
}

TEST_CASE("a stored model tells the same, and text of other writers is refused")
{
    run_time_model model;
    record_many(model, 30, 500ms, 2000ms);
    const std::optional<run_time_model> restored = run_time_model::decode(model.encode(), {});
    REQUIRE(restored);
    CHECK(factor(restored->expect(quick, 500ms).typical, model.expect(quick, 500ms).typical) ==
          Approx(1.0).epsilon(0.01));
    for (const char* text :
         {"", "{}", "[1]", R"([["q",null,0,[[1,"x"]],[]]])", R"([["q",null,0,[[1,-1]],[]]])",
          R"([["q",null,0,[[999,1]],[]]])", R"([["q",null,0,[[1,1e999]],[]]])"})
        CHECK_FALSE(run_time_model::decode(text, {}));
}

TEST_CASE("a scheduler expects of a new job what finished runs have shown, and so does the next leader's")
{
    scheduler_fixture f;
    const target_id target = f.add_target("t");
    const auto declare = [](step_spec& s) { s.estimate = 200ms; };
    for (std::uint64_t n = 1; n <= 20; ++n) {
        const std::vector<start_command> starts = f.run_job("j" + std::to_string(n), 1, 2000, declare);
        REQUIRE(starts.size() == 1);
        f.advance(1600ms);
        f.report(target, {}, {ended(starts.front(), n, run_end::done)});
    }
    const job_id next = f.add_job("next", 1, 2000, declare);
    CHECK(f.scheduler.find_job(next)->critical_path() > duration{1000ms});

    const std::optional<run_time_model> stored = run_time_model::decode(f.scheduler.run_times().encode(), {});
    REQUIRE(stored);
    scheduler_fixture successor;
    successor.scheduler.restore_run_times(*stored);
    const job_id restored = successor.add_job("next", 1, 2000, declare);
    CHECK(successor.scheduler.find_job(restored)->critical_path() > duration{1000ms});
}
