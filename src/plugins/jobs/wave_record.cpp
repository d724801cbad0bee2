#include "jobs/wave_record.h"

#include <nlohmann/json.hpp>

namespace mjm {

std::string encode_wave_record(const wave_record& record)
{
    return nlohmann::json{{"seen_ms", record.seen_ms}, {"done", record.done}}.dump();
}

std::optional<wave_record> decode_wave_record(std::string_view text)
{
    try {
        const nlohmann::json in = nlohmann::json::parse(text);
        return wave_record{in.at("seen_ms").get<std::int64_t>(), in.at("done").get<std::set<std::string>>()};
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace mjm
