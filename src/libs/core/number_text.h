#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>

namespace mjm {

/// Parses a decimal number; nothing when the text is anything else, or out of the type's range.
template <std::integral Integer>
[[nodiscard]] std::optional<Integer> parse_integer(std::string_view text)
{
    Integer value = 0;
    const std::from_chars_result r = std::from_chars(text.data(), text.data() + text.size(), value);
    if (r.ec != std::errc{} || r.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

} // namespace mjm
