#include "metrics/metric_registry.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <stdexcept>

namespace mjm {

void metric_counter::add(double amount) const
{
    if (amount >= 0)
        series_->Increment(amount);
}

double metric_counter::value() const
{
    return series_->Value();
}

void metric_gauge::set(double value) const
{
    series_->Set(value);
}

void metric_gauge::add(double amount) const
{
    series_->Increment(amount);
}

double metric_gauge::value() const
{
    return series_->Value();
}

void metric_histogram::observe(double value) const
{
    series_->Observe(value);
}

class metric_registry::impl {
public:
    prometheus::Registry registry{prometheus::Registry::InsertBehavior::Merge};
};

metric_registry::metric_registry() : impl_{std::make_unique<impl>()} {}
metric_registry::~metric_registry() = default;

metric_counter metric_registry::counter(const std::string& name, const std::string& help,
                                        const metric_labels& labels)
{
    return metric_counter{
        prometheus::BuildCounter().Name(name).Help(help).Register(impl_->registry).Add(labels)};
}

metric_gauge metric_registry::gauge(const std::string& name, const std::string& help,
                                    const metric_labels& labels)
{
    return metric_gauge{prometheus::BuildGauge().Name(name).Help(help).Register(impl_->registry).Add(labels)};
}

metric_histogram metric_registry::histogram(const std::string& name, const std::string& help,
                                            const std::vector<double>& bounds, const metric_labels& labels)
{
    // The library only asserts this, and only in debug builds.
    if (!std::is_sorted(bounds.begin(), bounds.end(), std::less_equal<>{}))
        throw std::invalid_argument("histogram bounds must rise: " + name);
    return metric_histogram{
        prometheus::BuildHistogram().Name(name).Help(help).Register(impl_->registry).Add(labels, bounds)};
}

std::string metric_registry::text() const
{
    return prometheus::TextSerializer{}.Serialize(impl_->registry.Collect());
}

} // namespace mjm
