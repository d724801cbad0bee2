#include "jobs/run_time_model.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace mjm {

namespace {

using nlohmann::json;

// Bounds of the expected run time, against values from other writers.
constexpr double shortest_run_s = 0.001;
constexpr double longest_run_s = 86'400.0;
constexpr double largest_weight = 1e6;
// Longer names of images are cut off, so that the stored form stays small.
constexpr std::size_t max_image = 64;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration duration_of(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>{std::clamp(seconds, shortest_run_s, longest_run_s)});
}

/// Blends two values so that one that is too large by a factor weighs as much as one that is too small by it.
double blend(double from, double to, double share_of_to)
{
    return std::exp2(std::log2(from) * (1.0 - share_of_to) + std::log2(to) * share_of_to);
}

json encode_histogram(const log_histogram& h)
{
    json out = json::array();
    for (const auto& [bucket, weight] : h.buckets())
        out.push_back({bucket, std::round(weight * 1000.0) / 1000.0});
    return out;
}

bool decode_histogram(const json& in, log_histogram& out)
{
    for (const json& row : in) {
        const double weight = row.at(1).get<double>();
        // Weights are rounded when they are stored.
        if (weight != 0.0 &&
            (weight > largest_weight || !out.restore_bucket(row.at(0).get<std::size_t>(), weight)))
            return false;
    }
    return true;
}

} // namespace

run_class class_of(const queue_id& queue, const step_spec& step)
{
    run_class out{queue, step.image.substr(0, max_image), 0};
    if (step.need.milli_cpu > 0)
        out.size = static_cast<int>(std::lround(std::log2(static_cast<double>(step.need.milli_cpu))));
    return out;
}

run_time_model::history& run_time_model::history_of(const run_class& tasks)
{
    const auto known = classes_.find(tasks);
    if (known != classes_.end())
        return known->second;
    if (classes_.size() >= settings_.max_classes) {
        const auto least =
            std::min_element(classes_.begin(), classes_.end(), [](const auto& a, const auto& b) {
                return a.second.seconds.weight() < b.second.seconds.weight();
            });
        classes_.erase(least);
    }
    return classes_[tasks];
}

void run_time_model::record(const run_class& tasks, const service_id& service, const target_id& target,
                            duration declared, duration measured)
{
    if (measured.count() <= 0)
        return;
    const double expected = seconds_of(expect(tasks, declared).typical);
    const double usual = seconds_of(measured) / slowness(target);
    history& of_class = history_of(tasks);
    const bool trusted = of_class.seconds.weight() >= settings_.trusted_weight;
    add(of_class, usual, seconds_of(declared));
    if (queues_.size() < settings_.max_queues || queues_.contains(tasks.queue))
        add(queues_[tasks.queue], usual, seconds_of(declared));
    ++changes_;
    // A declaration that is off would count as the speed of the targets.
    if (!trusted || expected <= 0.0)
        return;
    const double deviation = std::clamp(std::log2(seconds_of(measured) / expected),
                                        -settings_.largest_deviation, settings_.largest_deviation);
    double& median = pool_medians_[service];
    targets_[target].add(deviation - median, settings_.target_decay);
    median += deviation > median ? settings_.median_step : -settings_.median_step;
}

void run_time_model::add(history& h, double seconds, double declared_s) const
{
    h.seconds.add(seconds);
    if (declared_s > 0.0)
        h.ratio.add(seconds / declared_s);
    ++h.runs;
    if (h.seconds.weight() < settings_.trusted_weight || h.runs % settings_.runs_per_summary == 0)
        summarize(h);
}

void run_time_model::summarize(history& h) const
{
    const auto summary_of = [this](const log_histogram& it) {
        return summary{it.trimmed_mean(), it.quantile(settings_.late_quantile), it.spread()};
    };
    h.of_seconds = summary_of(h.seconds);
    h.of_ratio = summary_of(h.ratio);
}

run_expectation run_time_model::refine(const run_expectation& broader, const history& h,
                                       duration declared) const
{
    if (h.seconds.weight() <= 0.0)
        return broader;
    double typical = h.of_seconds.mean;
    double late = h.of_seconds.late;
    const double declared_s = seconds_of(declared);
    if (declared_s > 0.0 && h.ratio.weight() >= settings_.trusted_weight / 2.0) {
        // The declaration counts by how much less the runs differ from it than from each other.
        const double apart = std::pow(h.of_seconds.spread, 2.0);
        const double off = std::pow(h.of_ratio.spread, 2.0);
        const double share = apart + off > 0.0 ? apart / (apart + off) : 1.0;
        typical = blend(typical, declared_s * h.of_ratio.mean, share);
        late = blend(late, declared_s * h.of_ratio.late, share);
    }
    late = std::clamp(late, typical, settings_.largest_late_factor * typical);
    const double trust = std::min(1.0, h.seconds.weight() / settings_.trusted_weight);
    if (broader.typical.count() <= 0)
        return {duration_of(typical), duration_of(late)};
    return {duration_of(blend(seconds_of(broader.typical), typical, trust)),
            duration_of(blend(seconds_of(broader.late), late, trust))};
}

run_expectation run_time_model::expect(const run_class& tasks, duration declared) const
{
    run_expectation out{declared, declared};
    const auto queue = queues_.find(tasks.queue);
    if (queue != queues_.end())
        out = refine(out, queue->second, declared);
    const auto known = classes_.find(tasks);
    return known == classes_.end() ? out : refine(out, known->second, declared);
}

double run_time_model::slowness(const target_id& target) const
{
    const auto it = targets_.find(target);
    if (it == targets_.end() || it->second.runs < settings_.trusted_runs_of_target)
        return 1.0;
    return std::exp2(it->second.mean());
}

std::string run_time_model::encode() const
{
    json rows = json::array();
    for (const auto& [queue, h] : queues_)
        rows.push_back({queue.str(), nullptr, 0, encode_histogram(h.seconds), encode_histogram(h.ratio)});
    for (const auto& [tasks, h] : classes_)
        rows.push_back({tasks.queue.str(), tasks.image, tasks.size, encode_histogram(h.seconds),
                        encode_histogram(h.ratio)});
    return rows.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<run_time_model> run_time_model::decode(std::string_view text, run_time_settings settings)
{
    const json rows = json::parse(text, nullptr, false);
    if (!rows.is_array())
        return std::nullopt;
    run_time_model out{settings};
    try {
        for (const json& row : rows) {
            const queue_id queue{row.at(0).get<std::string>()};
            history h;
            if (!decode_histogram(row.at(3), h.seconds) || !decode_histogram(row.at(4), h.ratio))
                return std::nullopt;
            out.summarize(h);
            if (row.at(1).is_null())
                out.queues_[queue] = h;
            else if (out.classes_.size() < settings.max_classes)
                out.classes_[{queue, row.at(1).get<std::string>(), row.at(2).get<int>()}] = h;
        }
    } catch (const json::exception&) {
        return std::nullopt;
    }
    return out;
}

} // namespace mjm
