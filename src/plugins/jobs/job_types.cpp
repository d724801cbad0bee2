#include "jobs/job_types.h"

#include "core/number_text.h"
#include <array>

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
        const std::optional<std::uint32_t> n = parse_integer<std::uint32_t>(text.substr(dot + 1));
        if (!n)
            return std::nullopt;
        numbers[i] = *n;
        text = text.substr(0, dot);
    }
    if (text.empty())
        return std::nullopt;
    return task_key{job_id{std::string{text}}, {numbers[0], numbers[1], numbers[2]}};
}

} // namespace mjm
