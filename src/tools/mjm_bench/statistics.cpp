#include "statistics.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace mjm::bench {

double quantile(std::vector<double> values, double q)
{
    if (values.empty())
        return 0.0;
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
    const std::size_t index = std::min(rank > 0 ? rank - 1 : 0, values.size() - 1);
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

double mean(const std::vector<double>& values)
{
    return values.empty()
               ? 0.0
               : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double spread(const std::vector<double>& values)
{
    if (values.empty())
        return 0.0;
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    return *most - *least;
}

double fitted_exponent(const std::vector<double>& x, const std::vector<double>& y)
{
    std::vector<double> log_x;
    std::vector<double> log_y;
    for (std::size_t n = 0; n < x.size(); ++n) {
        log_x.push_back(std::log(x[n]));
        log_y.push_back(std::log(y[n]));
    }
    const double mean_x = mean(log_x);
    const double mean_y = mean(log_y);
    double covariance = 0.0;
    double variance = 0.0;
    for (std::size_t n = 0; n < x.size(); ++n) {
        covariance += (log_x[n] - mean_x) * (log_y[n] - mean_y);
        variance += (log_x[n] - mean_x) * (log_x[n] - mean_x);
    }
    return variance > 0.0 ? covariance / variance : 0.0;
}

std::vector<double> max_min_fair(const std::vector<double>& demand, const std::vector<double>& weight,
                                 double capacity)
{
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return demand[a] / weight[a] < demand[b] / weight[b]; });
    double weights = std::accumulate(weight.begin(), weight.end(), 0.0);
    std::vector<double> part(demand.size(), 0.0);
    for (const std::size_t n : order) {
        part[n] = std::min(demand[n], capacity * weight[n] / weights);
        capacity -= part[n];
        weights -= weight[n];
    }
    return part;
}

} // namespace mjm::bench
