#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

struct key_record;

/// Hexadecimal HMAC-SHA256 of a presented key under a hexadecimal salt; nothing when the salt is not
/// hexadecimal.
[[nodiscard]] std::optional<std::string> hash_key(std::string_view salt_hex, std::string_view presented_key);
/// True when the presented key has the record's hash. The comparison takes the same time for any hash.
[[nodiscard]] bool key_matches(const key_record& record, std::string_view presented_key);
/// `bytes` bytes from the operating system's secure random source, in hexadecimal; nothing when the source
/// fails.
[[nodiscard]] std::optional<std::string> secure_random_hex(std::size_t bytes);
/// Hexadecimal SHA-256 digest.
[[nodiscard]] std::string sha256_hex(std::string_view text);
/// True for a non-empty, even number of lower-case hexadecimal digits.
[[nodiscard]] bool is_hex(std::string_view text);

} // namespace mjm
