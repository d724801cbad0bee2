#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mjm {

/// Progress of a maintenance wave, stored for the next leader.
struct wave_record {
    std::int64_t seen_ms = 0;   ///< Unix time at which a leader first saw the wave.
    std::set<std::string> done; ///< Hosts whose maintenance has begun, or that the platform refused.
};

[[nodiscard]] std::string encode_wave_record(const wave_record& record);
/// Returns std::nullopt if the text is not a wave's record.
[[nodiscard]] std::optional<wave_record> decode_wave_record(std::string_view text);

} // namespace mjm
