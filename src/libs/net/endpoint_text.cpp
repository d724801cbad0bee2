#include "net/endpoint_text.h"

#include <charconv>

namespace mjm {

std::optional<http_endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    http_endpoint out;
    out.address = std::string{text.substr(0, colon)};
    const char* const end = text.data() + text.size();
    const std::from_chars_result r = std::from_chars(text.data() + colon + 1, end, out.port);
    if (r.ec != std::errc{} || r.ptr != end || out.port == 0)
        return std::nullopt;
    return out;
}

} // namespace mjm
