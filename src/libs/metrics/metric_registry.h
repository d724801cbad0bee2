#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
} // namespace prometheus

namespace mjm {

using metric_labels = std::map<std::string, std::string>;

/// Handles refer to a series of a registry and must not outlive it. They are thread-safe and cheap to copy;
/// components look them up once and keep them.
class metric_counter {
public:
    explicit metric_counter(prometheus::Counter& series) : series_{&series} {}
    /// A negative amount is ignored.
    void add(double amount = 1.0) const;
    [[nodiscard]] double value() const;

private:
    prometheus::Counter* series_;
};

class metric_gauge {
public:
    explicit metric_gauge(prometheus::Gauge& series) : series_{&series} {}
    void set(double value) const;
    void add(double amount) const;
    [[nodiscard]] double value() const;

private:
    prometheus::Gauge* series_;
};

class metric_histogram {
public:
    explicit metric_histogram(prometheus::Histogram& series) : series_{&series} {}
    void observe(double value) const;

private:
    prometheus::Histogram* series_;
};

/// A program's metrics. Asking again for the same name and labels returns the same series. Wrong names, and
/// a name already used by another kind of metric, throw std::exception: they are programming errors.
/// Labels must come from the configuration and never from a caller's request, since each new value stays in
/// memory.
class metric_registry {
public:
    metric_registry();
    ~metric_registry();
    metric_registry(const metric_registry&) = delete;
    metric_registry& operator=(const metric_registry&) = delete;

    [[nodiscard]] metric_counter counter(const std::string& name, const std::string& help,
                                         const metric_labels& labels = {});
    [[nodiscard]] metric_gauge gauge(const std::string& name, const std::string& help,
                                     const metric_labels& labels = {});
    /// `bounds` are the upper bounds of the buckets in rising order; one without a bound is added.
    [[nodiscard]] metric_histogram histogram(const std::string& name, const std::string& help,
                                             const std::vector<double>& bounds,
                                             const metric_labels& labels = {});

    /// All series in the text exposition format, for `GET /metrics`.
    [[nodiscard]] std::string text() const;
    /// Value of the header `Content-Type` for `text`.
    static constexpr const char* content_type = "text/plain; version=0.0.4; charset=utf-8";

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
