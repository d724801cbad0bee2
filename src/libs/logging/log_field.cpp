#include "logging/log_field.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace mjm {

bool is_confidential_field(std::string_view name)
{
    static constexpr std::array<std::string_view, 3> open{"key_id", "key_policy", "key_freshness"};
    static constexpr std::array<std::string_view, 4> hidden{"authorization", "secret", "password", "bearer"};
    std::string lower{name};
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return c == '-' || c == '.' || c == ' ' ? '_' : static_cast<char>(std::tolower(c));
    });
    if (std::find(open.begin(), open.end(), lower) != open.end())
        return false;
    for (const std::string_view word : hidden) {
        if (lower.find(word) != std::string::npos)
            return true;
    }
    // A word that ends in "key" or "keys", such as `apiKey` or `team_keys`.
    std::size_t begin = 0;
    while (begin <= lower.size()) {
        const std::size_t end = std::min(lower.find('_', begin), lower.size());
        const std::string_view word = std::string_view{lower}.substr(begin, end - begin);
        if (word.ends_with("key") || word.ends_with("keys"))
            return true;
        begin = end + 1;
    }
    return false;
}

} // namespace mjm
