#include "operator_key.h"

#include <algorithm>
#include <fstream>

namespace mjm {

namespace {

// Anything else could end the header that carries the key.
bool is_header_text(const std::string& key)
{
    return std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

tl::expected<std::string, std::string> checked(std::string key, const std::string& source)
{
    if (!is_header_text(key))
        return tl::unexpected{source + ": the key has characters other than printable ASCII"};
    return key;
}

} // namespace

tl::expected<std::string, std::string> find_operator_key(const key_sources& sources)
{
    if (!sources.option.empty())
        return checked(sources.option, "--key");
    if (!sources.environment.empty())
        return checked(sources.environment, "MJM_KEY");
    if (sources.file.empty())
        return std::string{};
    std::ifstream in{sources.file};
    std::string key;
    if (!std::getline(in, key) || key.empty())
        return tl::unexpected{sources.file + ": cannot read a key from its first line"};
    return checked(std::move(key), sources.file);
}

} // namespace mjm
