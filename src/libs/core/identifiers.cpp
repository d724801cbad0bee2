#include "core/identifiers.h"

#include <algorithm>
#include <cctype>

namespace mjm {

namespace {

constexpr std::size_t max_name_length = 64;

bool is_name_character(char c)
{
    return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

} // namespace

std::string to_string(const shard_id& id)
{
    return id.service.str() + "@" + id.zone.str();
}

std::optional<shard_id> parse_shard_id(std::string_view text)
{
    const std::size_t at = text.find('@');
    if (at == std::string_view::npos || !is_valid_name(text.substr(0, at)) ||
        !is_valid_name(text.substr(at + 1)))
        return std::nullopt;
    return shard_id{service_id{std::string{text.substr(0, at)}}, zone_id{std::string{text.substr(at + 1)}}};
}

std::ostream& operator<<(std::ostream& out, const shard_id& id)
{
    return out << to_string(id);
}

bool is_valid_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_length &&
           std::isalnum(static_cast<unsigned char>(text.front())) != 0 &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

} // namespace mjm
