#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"
#include "scheduling/log_histogram.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Tasks that are expected to behave alike.
struct run_class {
    queue_id queue;
    std::string image;
    int size = 0; ///< Order of magnitude of the declared processor time, as a power of two.

    friend auto operator<=>(const run_class&, const run_class&) = default;
};

[[nodiscard]] run_class class_of(const queue_id& queue, const step_spec& step);

/// What is expected of a run on a target of usual speed.
struct run_expectation {
    duration typical{0}; ///< Mean without the longest runs.
    duration late{0};    ///< Few runs take longer.
};

struct run_time_settings {
    /// Weight of the measurements from which on they alone count. With less, they are blended with a broader
    /// class or with the declared run time.
    double trusted_weight = 10.0;
    /// Number of classes that are kept. Callers choose images, so their number is not known.
    std::size_t max_classes = 64;
    std::size_t max_queues = 256;
    /// Multiple of the typical run time that the late one doesn't exceed, in a class of short and long tasks.
    double largest_late_factor = 8.0;
    double late_quantile = 0.95;
    /// Runs after which the figures of a class that is known well are computed anew.
    std::uint64_t runs_per_summary = 16;
    /// Runs that a target must have finished before it counts as slow or fast.
    double trusted_runs_of_target = 6.0;
    /// Part of a target's history that remains with each further run, so that it follows a change.
    double target_decay = 0.9;
    /// Octaves by which each run moves the median deviation of its pool.
    double median_step = 0.02;
    /// Octaves by which one run may differ from the expectation in the history of its target. A few tasks are
    /// long on every target.
    double largest_deviation = 1.0;
};

/// Learns from finished runs how long a task runs. Callers declare run times that may be far off. A target
/// that is slow by itself is told apart from tasks that are long, so that its runs don't make them look long.
class run_time_model {
public:
    explicit run_time_model(run_time_settings settings = {}) : settings_{settings} {}

    /// Records a run that has ended as done on a target of the service. `declared` is 0 if no run time was
    /// declared.
    void record(const run_class& tasks, const service_id& service, const target_id& target, duration declared,
                duration measured);
    /// Returns the declared run time for both values if nothing has been learned.
    [[nodiscard]] run_expectation expect(const run_class& tasks, duration declared) const;
    /// Returns the factor by which runs take longer on the target than elsewhere; 1 while it is not known.
    [[nodiscard]] double slowness(const target_id& target) const;
    void forget_target(const target_id& target) { targets_.erase(target); }

    /// Number of changes so far.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }
    [[nodiscard]] std::size_t classes() const { return classes_.size(); }
    /// Returns the stored form. It has no targets, whose speed is learned anew within seconds.
    [[nodiscard]] std::string encode() const;
    /// Returns std::nullopt if the text is not a stored model.
    [[nodiscard]] static std::optional<run_time_model> decode(std::string_view text,
                                                              run_time_settings settings);

private:
    /// Figures of a histogram, computed once for several runs.
    struct summary {
        double mean = 0.0;
        double late = 0.0;
        double spread = 0.0; ///< In octaves.
    };
    struct history {
        log_histogram seconds;
        log_histogram ratio; ///< Measured to declared run times.
        summary of_seconds;
        summary of_ratio;
        std::uint64_t runs = 0;
    };
    /// Deviations of runs from the expectation.
    struct deviation_history {
        double octaves = 0.0; ///< Decayed sum.
        double weight = 0.0;
        double runs = 0.0;
        void add(double deviation, double decay)
        {
            octaves = octaves * decay + deviation;
            weight = weight * decay + 1.0;
            ++runs;
        }
        [[nodiscard]] double mean() const { return weight > 0.0 ? octaves / weight : 0.0; }
    };

    /// Returns the history of the class, in place of that with the least weight if there are too many.
    history& history_of(const run_class& tasks);
    void add(history& h, double seconds, double declared_s) const;
    void summarize(history& h) const;
    [[nodiscard]] run_expectation refine(const run_expectation& broader, const history& h,
                                         duration declared) const;

    run_time_settings settings_;
    std::map<queue_id, history> queues_;
    std::map<run_class, history> classes_;
    std::map<target_id, deviation_history> targets_; ///< Without what the runs of their pool have in common.
    std::map<service_id, double>
        pool_medians_; ///< Median deviation in octaves, which all runs have in common.
    std::uint64_t changes_ = 0;
};

} // namespace mjm
