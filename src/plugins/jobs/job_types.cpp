#include "jobs/job_types.h"

#include <array>
#include <charconv>

namespace mjm {

std::string to_string(const task_key& key)
{
    return key.job.str() + "." + std::to_string(key.position.occurrence) + "." +
           std::to_string(key.position.step) + "." + std::to_string(key.position.index);
}

std::optional<task_key> parse_task_key(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers{};
    for (std::size_t i = numbers.size(); i-- > 0;) {
        const std::size_t dot = text.rfind('.');
        if (dot == std::string_view::npos)
            return std::nullopt;
        const std::string_view part = text.substr(dot + 1);
        const std::from_chars_result r = std::from_chars(part.data(), part.data() + part.size(), numbers[i]);
        if (part.empty() || r.ec != std::errc{} || r.ptr != part.data() + part.size())
            return std::nullopt;
        text = text.substr(0, dot);
    }
    if (text.empty())
        return std::nullopt;
    return task_key{job_id{std::string{text}}, {numbers[0], numbers[1], numbers[2]}};
}

} // namespace mjm
