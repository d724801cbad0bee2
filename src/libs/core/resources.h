#pragma once

#include <algorithm>
#include <cstdint>

namespace mjm {

/// Amounts of each kind of resource.
struct resources {
    std::int64_t milli_cpu = 0;
    std::int64_t memory_mib = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;

    resources& operator+=(const resources& other)
    {
        milli_cpu += other.milli_cpu;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        slots += other.slots;
        return *this;
    }
    resources& operator-=(const resources& other)
    {
        milli_cpu -= other.milli_cpu;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        slots -= other.slots;
        return *this;
    }
    friend resources operator+(resources a, const resources& b) { return a += b; }
    friend resources operator-(resources a, const resources& b) { return a -= b; }
    friend bool operator==(const resources&, const resources&) = default;

    /// True when each amount is at most the other's.
    [[nodiscard]] bool fits_in(const resources& other) const
    {
        return milli_cpu <= other.milli_cpu && memory_mib <= other.memory_mib &&
               accelerators <= other.accelerators && slots <= other.slots;
    }

    /// Largest fraction of `total` used in any kind of resource; a kind with no total does not count.
    [[nodiscard]] double dominant_fraction(const resources& total) const
    {
        const auto part = [](std::int64_t used, std::int64_t all) {
            return all > 0 ? static_cast<double>(used) / static_cast<double>(all) : 0.0;
        };
        return std::max(std::max(part(milli_cpu, total.milli_cpu), part(memory_mib, total.memory_mib)),
                        std::max(part(accelerators, total.accelerators), part(slots, total.slots)));
    }
};

} // namespace mjm
