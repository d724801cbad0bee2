#include "scheduling/run_estimator.h"

#include "scheduling/log_histogram.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace mjm {

namespace {

// Weight of the measurements from which on an estimate relies on them alone. With less, it is blended with
// the next broader source.
constexpr double trusted_weight = 10.0;
// Without any measurement, the declared run time is used within these bounds.
constexpr double min_declared_run_s = 0.001;
constexpr double max_declared_run_s = 3600.0;
// Run time of a request without measurement and declaration.
constexpr double default_run_s = 1.0;
// Largest factor, in either direction, by which a declared size is corrected.
constexpr double max_correction = 16.0;
// Memory uses a high quantile because tasks that exceed their memory are killed, whereas a processor is
// shared.
constexpr double memory_quantile = 0.95;
constexpr double cpu_quantile = 0.75;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration duration_of(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
}

/// Ratios of measured to declared amounts, and the measured amounts for requests that declare none.
struct size_history {
    log_histogram ratio;
    log_histogram amount;

    void add(std::int64_t declared, std::int64_t measured)
    {
        if (measured <= 0)
            return;
        amount.add(static_cast<double>(measured));
        if (declared > 0)
            ratio.add(static_cast<double>(measured) / static_cast<double>(declared));
    }

    [[nodiscard]] std::int64_t estimate(std::int64_t declared, double q) const
    {
        if (declared <= 0)
            return static_cast<std::int64_t>(std::ceil(amount.quantile(q)));
        const double learned = ratio.weight() > 0.0 ? ratio.quantile(q) : 1.0;
        const double factor = std::clamp(learned, 1.0 / max_correction, max_correction);
        const double trust = std::min(1.0, ratio.weight() / trusted_weight);
        // The blend is geometric, so that a factor that is 10 times too large weighs as much as one that is
        // 10 times too small.
        return static_cast<std::int64_t>(std::ceil(static_cast<double>(declared) * std::pow(factor, trust)));
    }
};

struct history {
    log_histogram run;
    log_histogram run_ratio; // measured / declared
    size_history cpu;
    size_history memory;

    void add(double run_s, double declared_s, const resources& declared, const resources& measured)
    {
        run.add(run_s);
        if (declared_s > 0.0)
            run_ratio.add(run_s / declared_s);
        cpu.add(declared.milli_cpu, measured.milli_cpu);
        memory.add(declared.memory_mib, measured.memory_mib);
    }

    /// Returns the estimated run time in seconds. Requires at least one recorded run.
    [[nodiscard]] double run_seconds(double declared_s) const
    {
        // The declaration is used if the ratios of measured to declared run time have less spread than the
        // run times alone, as for a team with two kinds of tasks of different length.
        const bool use_declaration =
            declared_s > 0.0 && run_ratio.weight() >= trusted_weight / 2 && run_ratio.spread() < run.spread();
        if (!use_declaration)
            return run.trimmed_mean();
        return std::clamp(declared_s * run_ratio.trimmed_mean(), run.quantile(0.0) / 2.0,
                          run.quantile(1.0) * 2.0);
    }
};

} // namespace

class run_estimator::impl {
public:
    std::map<std::pair<service_id, team_id>, history> teams;
    std::map<service_id, history> services;
};

run_estimator::run_estimator() : impl_{std::make_unique<impl>()} {}
run_estimator::~run_estimator() = default;

void run_estimator::record(const service_id& service, const team_id& team, duration run_time,
                           const resources& declared, const resources& measured)
{
    record(service, team, run_time, duration{0}, declared, measured);
}

void run_estimator::record(const service_id& service, const team_id& team, duration run_time,
                           duration declared_run, const resources& declared, const resources& measured)
{
    const double run_s = seconds_of(run_time);
    const double declared_s = seconds_of(declared_run);
    impl_->teams[{service, team}].add(run_s, declared_s, declared, measured);
    impl_->services[service].add(run_s, declared_s, declared, measured);
}

run_estimate run_estimator::estimate(const service_id& service, const team_id& team,
                                     const resources& declared, duration declared_run,
                                     const resources& largest) const
{
    const double declared_s = seconds_of(declared_run);
    double run_s =
        declared_s > 0.0 ? std::clamp(declared_s, min_declared_run_s, max_declared_run_s) : default_run_s;
    resources size = declared;

    // The estimate is refined from the broadest source to the narrowest. Each source has an influence
    // according to the weight of its measurements.
    const auto refine = [&](const history& h) {
        if (h.run.weight() > 0.0) {
            const double trust = std::min(1.0, h.run.weight() / trusted_weight);
            run_s =
                std::exp2(std::log2(run_s) * (1.0 - trust) + std::log2(h.run_seconds(declared_s)) * trust);
        }
    };
    const auto service_history = impl_->services.find(service);
    if (service_history != impl_->services.end())
        refine(service_history->second);
    const auto team_history = impl_->teams.find({service, team});
    if (team_history != impl_->teams.end()) {
        const history& h = team_history->second;
        refine(h);
        size.milli_cpu = h.cpu.estimate(declared.milli_cpu, cpu_quantile);
        size.memory_mib = h.memory.estimate(declared.memory_mib, memory_quantile);
    }
    size.slots = std::max<std::int64_t>(size.slots, 1);
    const auto bound = [](std::int64_t value, std::int64_t most) {
        return std::clamp<std::int64_t>(value, 0, std::max<std::int64_t>(most, 0));
    };
    size.milli_cpu = bound(size.milli_cpu, largest.milli_cpu);
    size.memory_mib = bound(size.memory_mib, largest.memory_mib);
    size.accelerators = bound(size.accelerators, largest.accelerators);
    size.slots = bound(size.slots, largest.slots);
    return {.run_time = duration_of(run_s), .size = size};
}

} // namespace mjm
