#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace mjm {

/// A typed key and value of a log line. The key must outlive the call it is passed to.
class log_field {
public:
    using value_type = std::variant<std::string, std::int64_t, std::uint64_t, double, bool>;

    template <typename T>
    log_field(std::string_view key, const T& value) : key_{key}, value_{convert(value)}
    {
    }

    [[nodiscard]] std::string_view key() const { return key_; }
    [[nodiscard]] const value_type& value() const { return value_; }

private:
    template <typename T>
    static value_type convert(const T& value)
    {
        if constexpr (std::is_same_v<T, bool>)
            return value;
        else if constexpr (std::signed_integral<T>)
            return static_cast<std::int64_t>(value);
        else if constexpr (std::unsigned_integral<T>)
            return static_cast<std::uint64_t>(value);
        else if constexpr (std::floating_point<T>)
            return static_cast<double>(value);
        else if constexpr (requires { value.str(); })
            return std::string{value.str()};
        else
            return std::string{std::string_view{value}};
    }

    std::string_view key_;
    value_type value_;
};

/// Whether values under this field name must not be logged: names of keys, authorization headers, secrets,
/// passwords and bearer tokens. Errs towards hiding, so `store_key` is hidden too; `key_id`,
/// `key_policy` and `key_freshness` are not.
[[nodiscard]] bool is_confidential_field(std::string_view name);

} // namespace mjm
