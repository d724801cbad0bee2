#include "granted_key.h"

#include "configuration/key_hash.h"

namespace mjm {

namespace {

constexpr std::size_t key_bytes = 32;
constexpr std::size_t salt_bytes = 16; // The least that the API accepts.

} // namespace

std::optional<granted_key> make_key()
{
    const std::optional<std::string> key = secure_random_hex(key_bytes);
    const std::optional<std::string> salt = secure_random_hex(salt_bytes);
    if (!key || !salt)
        return std::nullopt;
    const std::optional<std::string> hash = hash_key(*salt, *key);
    if (!hash)
        return std::nullopt;
    return granted_key{*key, *salt, *hash};
}

} // namespace mjm
