#pragma once

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace mjm {

/// Histogram of positive values in half-octave buckets. Each new value reduces the weight of the earlier
/// ones. Values are accurate to about 20%.
class log_histogram {
public:
    /// Adds a value. Values that are not positive are ignored.
    void add(double value);

    /// Returns the sum of the decayed weights.
    [[nodiscard]] double weight() const { return weight_; }
    /// Returns the quantile `q`, or 0 if the histogram is empty.
    [[nodiscard]] double quantile(double q) const;
    /// Returns the mean with values above the 95th percentile reduced to it, so that one outlier has little
    /// effect.
    [[nodiscard]] double trimmed_mean() const;
    /// Returns the mean distance from the median in octaves.
    [[nodiscard]] double spread() const;
    /// Returns the number and the weight of each bucket that is not empty.
    [[nodiscard]] std::vector<std::pair<std::size_t, double>> buckets() const;
    /// Adds weight to a bucket. Returns false, and adds nothing, if there is no such bucket or the weight is
    /// not a positive number.
    [[nodiscard]] bool restore_bucket(std::size_t bucket, double weight);

private:
    static constexpr std::size_t bucket_count = 128;
    std::array<double, bucket_count> buckets_{};
    double weight_ = 0.0;
};

} // namespace mjm
