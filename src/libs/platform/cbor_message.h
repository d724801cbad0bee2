#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace mjm {

/// Reads the fields of a CBOR map; remembers instead of throwing when one is missing or of another type.
class cbor_reader {
public:
    // Named functions, because text would also convert to a JSON string.
    [[nodiscard]] static cbor_reader parse(std::string_view text);
    [[nodiscard]] static cbor_reader of(nlohmann::json value) { return cbor_reader{std::move(value)}; }

    [[nodiscard]] bool ok() const { return ok_; }
    void fail() { ok_ = false; }

    [[nodiscard]] std::string text(const char* name);
    [[nodiscard]] std::string bytes(const char* name);
    [[nodiscard]] std::int64_t integer(const char* name);
    [[nodiscard]] std::uint64_t unsigned_integer(const char* name);
    [[nodiscard]] bool boolean(const char* name);
    /// A nested map or array; null when it is missing.
    [[nodiscard]] nlohmann::json nested(const char* name);

private:
    explicit cbor_reader(nlohmann::json&& value) : value_(std::move(value)), ok_{value_.is_object()} {}
    [[nodiscard]] const nlohmann::json* find(const char* name);

    nlohmann::json value_;
    bool ok_ = true;
};

[[nodiscard]] std::string to_cbor_text(const nlohmann::json& value);
[[nodiscard]] nlohmann::json cbor_bytes(std::string_view bytes);

} // namespace mjm
