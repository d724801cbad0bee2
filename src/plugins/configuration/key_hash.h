#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

struct key_record;

/// Returns the hexadecimal HMAC-SHA256 of a presented key under a hexadecimal salt, or std::nullopt if the
/// salt is not hexadecimal.
[[nodiscard]] std::optional<std::string> hash_key(std::string_view salt_hex, std::string_view presented_key);
/// Whether the presented key has the record's hash. The hashes are compared in constant time.
[[nodiscard]] bool key_matches(const key_record& record, std::string_view presented_key);
/// Returns `bytes` bytes from OpenSSL's random generator in hexadecimal, or std::nullopt if it fails.
[[nodiscard]] std::optional<std::string> secure_random_hex(std::size_t bytes);
/// Returns the hexadecimal SHA-256 digest.
[[nodiscard]] std::string sha256_hex(std::string_view text);
/// Whether the text is a non-empty, even number of lower-case hexadecimal digits.
[[nodiscard]] bool is_hex(std::string_view text);

} // namespace mjm
