#include "net/url.h"

#include <cctype>

namespace mjm {

namespace {

int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<std::string> decode(std::string_view text, bool plus_is_space)
{
    std::string out;
    out.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '+' && plus_is_space) {
            out += ' ';
        } else if (c != '%') {
            out += c;
        } else {
            if (i + 2 >= text.size())
                return std::nullopt;
            const int high = hex_value(text[i + 1]);
            const int low = hex_value(text[i + 2]);
            if (high < 0 || low < 0 || (high == 0 && low == 0))
                return std::nullopt;
            out += static_cast<char>(high * 16 + low);
            i += 2;
        }
    }
    return out;
}

void append_encoded(std::string& out, std::string_view text, bool keep_slash)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' || c == '~' ||
            (c == '/' && keep_slash)) {
            out += c;
        } else {
            out += '%';
            out += digits[byte >> 4U];
            out += digits[byte & 15U];
        }
    }
}

} // namespace

std::optional<url_target> parse_url_target(std::string_view text)
{
    if (text.empty() || text.front() != '/')
        return std::nullopt;
    text = text.substr(0, text.find('#'));
    const std::size_t mark = text.find('?');
    const std::optional<std::string> path = decode(text.substr(0, mark), false);
    if (!path)
        return std::nullopt;
    url_target out{*path, {}};
    std::string_view rest = mark == std::string_view::npos ? std::string_view{} : text.substr(mark + 1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        if (pair.empty())
            continue;
        const std::size_t equals = pair.find('=');
        const std::optional<std::string> name = decode(pair.substr(0, equals), true);
        const std::optional<std::string> value =
            equals == std::string_view::npos ? std::string{} : decode(pair.substr(equals + 1), true);
        if (!name || !value)
            return std::nullopt;
        out.query[*name] = *value;
    }
    return out;
}

std::string format_url_target(std::string_view path, const std::map<std::string, std::string>& query)
{
    std::string out;
    append_encoded(out, path, true);
    char separator = '?';
    for (const auto& [name, value] : query) {
        out += separator;
        separator = '&';
        append_encoded(out, name, false);
        out += '=';
        append_encoded(out, value, false);
    }
    return out;
}

} // namespace mjm
