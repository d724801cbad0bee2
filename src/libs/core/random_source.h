#pragma once

#include <cstdint>

namespace mjm {

/// Source of random numbers handed to the pure state machines, so that a run can be replayed from its seed.
class random_source {
public:
    random_source() = default;
    random_source(const random_source&) = delete;
    random_source& operator=(const random_source&) = delete;
    virtual ~random_source() = default;

    [[nodiscard]] virtual std::uint64_t next() = 0;

    /// Uniform integer in [0, n); 0 when n is 0.
    [[nodiscard]] std::uint64_t below(std::uint64_t n);
    /// Uniform real number in [0, 1).
    [[nodiscard]] double uniform01();
    [[nodiscard]] bool chance(double probability) { return uniform01() < probability; }
};

/// SplitMix64 generator: the same sequence for the same seed on every platform.
class seeded_random final : public random_source {
public:
    explicit seeded_random(std::uint64_t seed) : state_{seed} {}
    [[nodiscard]] std::uint64_t next() override;

private:
    std::uint64_t state_;
};

/// Seed taken from the operating system's entropy source.
[[nodiscard]] std::uint64_t entropy_seed();

} // namespace mjm
