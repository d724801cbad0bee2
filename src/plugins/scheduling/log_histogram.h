#pragma once

#include <array>
#include <cstddef>

namespace mjm {

/// Histogram of positive values in half-octave buckets whose older entries lose weight with each new one.
/// Values are known to within about 20%.
class log_histogram {
public:
    void add(double value);

    /// Sum of the decayed weights.
    [[nodiscard]] double weight() const { return weight_; }
    /// Value below which the fraction `q` lies; 0 when empty.
    [[nodiscard]] double quantile(double q) const;
    /// Mean with the values above the 95th percentile cut to it, so that one outlier does not move it.
    [[nodiscard]] double trimmed_mean() const;
    /// Mean distance from the median in octaves.
    [[nodiscard]] double spread() const;

private:
    static constexpr std::size_t bucket_count = 128;
    std::array<double, bucket_count> buckets_{};
    double weight_ = 0.0;
};

} // namespace mjm
