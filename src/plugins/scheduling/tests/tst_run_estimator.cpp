#include "scheduling/run_estimator.h"

#include "core/random_source.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

const service_id service{"s"};
const team_id team{"a"};
constexpr resources largest{.milli_cpu = 32000, .memory_mib = 64000, .accelerators = 0, .slots = 8};
constexpr resources declared{.milli_cpu = 1000, .memory_mib = 1000, .accelerators = 0, .slots = 1};

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

// Guards against estimates that rely on declared values far from the measured ones.
TEST_CASE("declared values ten times too large or too small are corrected")
{
    for (const double factor : {0.1, 10.0}) {
        run_estimator estimator;
        seeded_random random{7};
        const auto scaled = [factor](double value) { return static_cast<std::int64_t>(value * factor); };
        const resources measured{.milli_cpu = scaled(1000), .memory_mib = scaled(1000)};
        for (int n = 0; n < 50; ++n) {
            const auto spread = 0.8 + 0.4 * random.uniform01();
            estimator.record(service, team, duration{scaled(2e6 * spread)}, 2s, declared, measured);
        }
        const run_estimate e = estimator.estimate(service, team, declared, 2s, largest);
        CHECK(seconds(e.run_time) == Approx(2.0 * factor).epsilon(0.35));
        CHECK(static_cast<double>(e.size.memory_mib) == Approx(1000.0 * factor).epsilon(0.25));
        CHECK(static_cast<double>(e.size.milli_cpu) == Approx(1000.0 * factor).epsilon(0.25));
    }
}

// Guards against an estimate between the two modes although the declared run times distinguish them, and
// against the use of a declared run time that is the same for both modes.
TEST_CASE("estimates of bimodal run times use the declaration only if it distinguishes the modes")
{
    run_estimator informative;
    run_estimator constant;
    for (int n = 0; n < 100; ++n) {
        const bool is_long = n % 2 == 0;
        const duration run = is_long ? duration{10s} : duration{100ms};
        informative.record(service, team, run, is_long ? duration{30s} : duration{300ms}, declared, {});
        constant.record(service, team, run, duration{1s}, declared, {});
    }
    const auto estimate = [](const run_estimator& e, duration d) {
        return seconds(e.estimate(service, team, declared, d, largest).run_time);
    };
    CHECK(estimate(informative, 30s) == Approx(10.0).epsilon(0.3));
    CHECK(estimate(informative, 300ms) == Approx(0.1).epsilon(0.3));
    CHECK(estimate(constant, 1s) == Approx(5.05).epsilon(0.3));
}

// Guards against a first request of a team that cannot be placed or has an estimate of zero for lack of
// measurements.
TEST_CASE("without measurements of the team, estimates use those of the service or the declaration")
{
    run_estimator estimator;
    const resources huge{.milli_cpu = 1'000'000, .memory_mib = -5, .accelerators = 9, .slots = 0};
    const run_estimate cold = estimator.estimate(service, team, huge, 0s, largest);
    CHECK(cold.size.fits_in(largest));
    CHECK(cold.size.memory_mib == 0);
    CHECK(cold.size.slots == 1);
    CHECK(cold.run_time > 0s);
    CHECK(estimator.estimate(service, team, declared, 5s, largest).run_time == 5s);
    for (int n = 0; n < 30; ++n)
        estimator.record(service, team_id{"other"}, 20s, declared, {});
    CHECK(seconds(estimator.estimate(service, team, declared, 0s, largest).run_time) ==
          Approx(20.0).epsilon(0.3));
}

// Guards against a single outlier that changes the estimate for all later requests.
TEST_CASE("one run that takes a thousand times as long does not change the estimate")
{
    run_estimator estimator;
    for (int n = 0; n < 40; ++n)
        estimator.record(service, team, n == 20 ? duration{1000s} : duration{1s}, declared, {});
    CHECK(seconds(estimator.estimate(service, team, declared, 0s, largest).run_time) ==
          Approx(1.0).epsilon(0.3));
}
