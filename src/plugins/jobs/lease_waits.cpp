#include "jobs/lease_waits.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace mjm {

std::string encode_lease_waits(const lease_waits& waits)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [target, wait] : waits)
        out[target.str()] = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
    return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<lease_waits> decode_lease_waits(std::string_view text)
{
    const nlohmann::json in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    lease_waits out;
    for (const auto& [target, wait] : in.items()) {
        if (!wait.is_number_unsigned())
            return std::nullopt;
        out[target_id{target}] = std::chrono::milliseconds{wait.get<std::int64_t>()};
    }
    return out;
}

} // namespace mjm
