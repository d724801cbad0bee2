#pragma once

#include <vector>

namespace mjm::bench {

/// Value below which the fraction `q` of the values lies (nearest rank); 0 when there are none.
[[nodiscard]] double quantile(std::vector<double> values, double q);
[[nodiscard]] double mean(const std::vector<double>& values);
/// Largest minus smallest value.
[[nodiscard]] double spread(const std::vector<double>& values);
/// Exponent b of the least-squares fit y = a x^b.
[[nodiscard]] double fitted_exponent(const std::vector<double>& x, const std::vector<double>& y);

/// Weighted max-min fair division of `capacity`: each part is at most its demand, and what one leaves goes
/// to the others by weight.
[[nodiscard]] std::vector<double> max_min_fair(const std::vector<double>& demand,
                                               const std::vector<double>& weight, double capacity);

} // namespace mjm::bench
