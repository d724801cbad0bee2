#include "scheduling/log_histogram.h"

#include <algorithm>
#include <cmath>

namespace mjm {

namespace {

constexpr int zero_bucket = 32;        // bucket of the value 1; the buckets below it hold values from 2^-16
constexpr double decay_factor = 0.995; // the histogram follows a change after about 200 values

std::size_t bucket_of(double value, std::size_t count)
{
    const int bucket = static_cast<int>(std::lround(std::log2(value) * 2.0)) + zero_bucket;
    return static_cast<std::size_t>(std::clamp(bucket, 0, static_cast<int>(count) - 1));
}

double value_of(std::size_t bucket)
{
    return std::exp2((static_cast<double>(bucket) - zero_bucket) / 2.0);
}

} // namespace

void log_histogram::add(double value)
{
    if (!(value > 0.0))
        return;
    for (double& it : buckets_)
        it *= decay_factor;
    weight_ = weight_ * decay_factor + 1.0;
    buckets_[bucket_of(value, bucket_count)] += 1.0;
}

double log_histogram::quantile(double q) const
{
    double seen = 0.0;
    std::size_t last = 0;
    for (std::size_t n = 0; n < bucket_count; ++n) {
        if (buckets_[n] <= 0.0)
            continue;
        last = n;
        seen += buckets_[n];
        if (seen >= q * weight_)
            return value_of(n);
    }
    return weight_ > 0.0 ? value_of(last) : 0.0;
}

double log_histogram::trimmed_mean() const
{
    if (weight_ <= 0.0)
        return 0.0;
    const double top = quantile(0.95);
    double sum = 0.0;
    for (std::size_t n = 0; n < bucket_count; ++n)
        sum += buckets_[n] * std::min(value_of(n), top);
    return sum / weight_;
}

double log_histogram::spread() const
{
    if (weight_ <= 0.0)
        return 0.0;
    const double middle = std::log2(quantile(0.5));
    double sum = 0.0;
    for (std::size_t n = 0; n < bucket_count; ++n)
        sum += buckets_[n] * std::abs(std::log2(value_of(n)) - middle);
    return sum / weight_;
}

std::vector<std::pair<std::size_t, double>> log_histogram::buckets() const
{
    std::vector<std::pair<std::size_t, double>> out;
    for (std::size_t n = 0; n < bucket_count; ++n) {
        if (buckets_[n] > 0.0)
            out.emplace_back(n, buckets_[n]);
    }
    return out;
}

bool log_histogram::restore_bucket(std::size_t bucket, double weight)
{
    if (bucket >= bucket_count || !std::isfinite(weight) || weight <= 0.0)
        return false;
    buckets_[bucket] += weight;
    weight_ += weight;
    return true;
}

} // namespace mjm
