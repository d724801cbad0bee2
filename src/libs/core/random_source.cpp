#include "core/random_source.h"

#include <chrono>
#include <exception>
#include <random>

#include <unistd.h>

namespace mjm {

std::uint64_t random_source::below(std::uint64_t n)
{
    return n == 0 ? 0 : next() % n;
}

double random_source::uniform01()
{
    constexpr int mantissa_bits = 53;
    return static_cast<double>(next() >> (64 - mantissa_bits)) /
           static_cast<double>(std::uint64_t{1} << mantissa_bits);
}

std::uint64_t seeded_random::next()
{
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

std::uint64_t entropy_seed()
{
    try {
        std::random_device device;
        return (static_cast<std::uint64_t>(device()) << 32) | device();
    } catch (const std::exception&) {
        // No source of the system; the processes of a fleet still differ by these.
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        seeded_random mixed{static_cast<std::uint64_t>(now.count()) ^
                            (static_cast<std::uint64_t>(getpid()) << 32U)};
        return mixed.next();
    }
}

} // namespace mjm
