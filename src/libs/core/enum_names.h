#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace mjm {

/// Table of the names of an `enum class`; specialise `entries` as a constexpr array of {value, name}.
template <typename Enum>
struct enum_names;

template <typename Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value)
{
    for (const std::pair<Enum, std::string_view>& entry : enum_names<Enum>::entries) {
        if (entry.first == value)
            return entry.second;
    }
    return "invalid";
}

template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum> parse_enum(std::string_view name)
{
    for (const std::pair<Enum, std::string_view>& entry : enum_names<Enum>::entries) {
        if (entry.second == name)
            return entry.first;
    }
    return std::nullopt;
}

} // namespace mjm
