#include "net/http_message.h"

namespace mjm {

std::string_view http_request::header(std::string_view name) const
{
    const auto it = headers.find(std::string{name});
    return it == headers.end() ? std::string_view{} : std::string_view{it->second};
}

std::vector<std::string> http_request::path_segments() const
{
    std::vector<std::string> segments;
    std::string_view rest{path};
    if (rest.starts_with('/'))
        rest.remove_prefix(1);
    while (!rest.empty()) {
        const std::size_t end = rest.find('/');
        segments.emplace_back(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return segments;
}

} // namespace mjm
