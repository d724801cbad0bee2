#include "platform/body_digest.h"

#include <xxhash.h>

#include <array>
#include <cstdint>

namespace mjm {

std::string body_digest(std::string_view body)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t value = XXH3_64bits(body.data(), body.size());
    std::string out(16, '0');
    for (auto it = out.rbegin(); it != out.rend(); ++it) {
        *it = digits[value & 15U];
        value >>= 4U;
    }
    return out;
}

} // namespace mjm
