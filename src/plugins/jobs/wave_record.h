#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace mjm {

/// What the next leader has to know of a wave of maintenance.
struct wave_record {
    std::int64_t seen_ms = 0;   ///< Unix time at which a leader first saw it.
    std::set<std::string> done; ///< Hosts that have begun their maintenance, or are not part of the wave.
};

[[nodiscard]] std::string encode_wave_record(const wave_record& record);
/// Nothing when the text is not a wave's record.
[[nodiscard]] std::optional<wave_record> decode_wave_record(std::string_view text);

} // namespace mjm
