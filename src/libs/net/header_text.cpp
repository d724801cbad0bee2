#include "net/header_text.h"

#include <algorithm>
#include <cctype>

namespace mjm {

namespace {

bool has_line_break(std::string_view text)
{
    return text.find_first_of("\r\n") != std::string_view::npos;
}

} // namespace

std::string lower_case(std::string_view text)
{
    std::string out{text};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

void append_header(std::string& out, std::string_view name, std::string_view value)
{
    if (!has_line_break(name) && !has_line_break(value))
        out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace mjm
