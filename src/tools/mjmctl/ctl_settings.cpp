#include "ctl_settings.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace mjm {

namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::size_t max_path = 4096;

bool is_address(const std::string& text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(family, text.c_str(), parsed.data()) == 1;
}

} // namespace

settings_schema<ctl_settings> make_ctl_schema()
{
    settings_schema<http_endpoint> server;
    server
        .ip_address("address", &http_endpoint::address, "Address of an entry host's admin port.",
                    presence::required)
        .integer("port", &http_endpoint::port, 1, max_port, "The admin port.", presence::required);
    settings_schema<ctl_settings> schema;
    schema.list("servers", &ctl_settings::servers, server, 0, 64, "Entry hosts, tried in turn.")
        .string("key_file", &ctl_settings::key_file, "File that holds the operator's key; empty for none.", 0,
                max_path)
        .milliseconds("request_timeout_ms", &ctl_settings::request_timeout, std::chrono::milliseconds{100},
                      std::chrono::minutes{5}, "Time limit of one request.");
    return schema;
}

std::optional<http_endpoint> parse_server(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string address{text.substr(0, colon)};
    int family = AF_INET;
    if (address.starts_with('[') && address.ends_with(']')) {
        address = address.substr(1, address.size() - 2);
        family = AF_INET6;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (ec != std::errc{} || end != digits.data() + digits.size() || port == 0 ||
        address.find('\0') != std::string::npos || !is_address(address, family))
        return std::nullopt;
    return http_endpoint{std::move(address), port};
}

} // namespace mjm
