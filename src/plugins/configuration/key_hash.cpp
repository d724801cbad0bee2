#include "configuration/key_hash.h"

#include "configuration/fleet_config.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <vector>

namespace mjm {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";

std::string to_hex(const unsigned char* data, std::size_t n)
{
    std::string text;
    text.reserve(2 * n);
    for (std::size_t i = 0; i < n; ++i) {
        text += hex_digits[data[i] >> 4];
        text += hex_digits[data[i] & 15];
    }
    return text;
}

std::vector<unsigned char> from_hex(std::string_view text)
{
    std::vector<unsigned char> data;
    data.reserve(text.size() / 2);
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
        data.push_back(
            static_cast<unsigned char>(hex_digits.find(text[i]) * 16 + hex_digits.find(text[i + 1])));
    return data;
}

} // namespace

bool is_hex(std::string_view text)
{
    return !text.empty() && text.size() % 2 == 0 && std::all_of(text.begin(), text.end(), [](char c) {
        return hex_digits.find(c) != std::string_view::npos;
    });
}

std::optional<std::string> hash_key(std::string_view salt_hex, std::string_view presented_key)
{
    if (!is_hex(salt_hex))
        return std::nullopt;
    const std::vector<unsigned char> salt = from_hex(salt_hex);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    const std::vector<unsigned char> message(presented_key.begin(), presented_key.end());
    if (HMAC(EVP_sha256(), salt.data(), static_cast<int>(salt.size()), message.data(), message.size(),
             digest.data(), &n) == nullptr)
        return std::nullopt;
    return to_hex(digest.data(), n);
}

bool key_matches(const key_record& record, std::string_view presented_key)
{
    const std::optional<std::string> hash = hash_key(record.salt, presented_key);
    return hash && hash->size() == record.hash.size() &&
           CRYPTO_memcmp(hash->data(), record.hash.data(), hash->size()) == 0;
}

std::optional<std::string> secure_random_hex(std::size_t bytes)
{
    std::vector<unsigned char> data(bytes);
    if (RAND_bytes(data.data(), static_cast<int>(bytes)) != 1)
        return std::nullopt;
    return to_hex(data.data(), data.size());
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return to_hex(digest.data(), n);
}

} // namespace mjm
