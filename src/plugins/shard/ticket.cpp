#include "shard/ticket.h"

#include "core/number_text.h"
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <vector>

namespace mjm {

namespace {

constexpr char separator = '~';
constexpr std::string_view version_tag = "t1";

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    while (true) {
        const std::size_t end = text.find(separator, begin);
        parts.push_back(text.substr(begin, end - begin));
        if (end == std::string_view::npos)
            return parts;
        begin = end + 1;
    }
}

std::string to_hex(const unsigned char* data, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(digits[data[i] >> 4U]);
        text.push_back(digits[data[i] & 0x0fU]);
    }
    return text;
}

bool is_valid_team(std::string_view team)
{
    return team.empty() || is_valid_name(team);
}

} // namespace

std::string ticket_codec::signature(std::string_view text) const
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
    return to_hex(digest.data(), size);
}

std::string ticket_codec::encode(const ticket& value) const
{
    std::string text{version_tag};
    for (const std::string& part : {to_string(value.shard), std::to_string(value.epoch), value.team.str(),
                                    std::to_string(value.issued.time_since_epoch().count()), value.nonce}) {
        text.push_back(separator);
        text += part;
    }
    const std::string mac = signature(text);
    return text + separator + mac;
}

tl::expected<ticket, reason> ticket_codec::decode(std::string_view text) const
{
    constexpr std::size_t part_count = 7;
    const std::vector<std::string_view> parts = split(text);
    if (parts.size() != part_count || parts[0] != version_tag)
        return tl::unexpected{reason::ticket_invalid};
    const std::string_view mac = parts[6];
    const std::string expected = signature(text.substr(0, text.size() - mac.size() - 1));
    if (mac.size() != expected.size() || CRYPTO_memcmp(mac.data(), expected.data(), mac.size()) != 0)
        return tl::unexpected{reason::ticket_invalid};

    const std::optional<shard_id> shard = parse_shard_id(parts[1]);
    const std::optional<shard_epoch> epoch = parse_integer<shard_epoch>(parts[2]);
    const std::optional<std::int64_t> issued = parse_integer<std::int64_t>(parts[4]);
    if (!shard || !epoch || !issued || !is_valid_team(parts[3]) || !is_valid_name(parts[5]))
        return tl::unexpected{reason::ticket_invalid};
    return ticket{*shard, *epoch, team_id{std::string{parts[3]}},
                  wall_time{std::chrono::milliseconds{*issued}}, std::string{parts[5]}};
}

request_id make_request_id(const shard_id& shard, const team_id& team, std::string_view suffix)
{
    return request_id{to_string(shard) + separator + team.str() + separator + std::string{suffix}};
}

std::optional<request_id_parts> parse_request_id(const request_id& id)
{
    const std::vector<std::string_view> parts = split(id.str());
    if (parts.size() != 3 || !is_valid_team(parts[1]) || !is_valid_name(parts[2]))
        return std::nullopt;
    const std::optional<shard_id> shard = parse_shard_id(parts[0]);
    if (!shard)
        return std::nullopt;
    return request_id_parts{*shard, team_id{std::string{parts[1]}}, std::string{parts[2]}};
}

} // namespace mjm
