#include "configuration/config_head.h"

#include <nlohmann/json.hpp>

namespace mjm {

namespace {

using json = nlohmann::json;

config_decision read_entry(const json& in)
{
    config_decision entry;
    const std::optional<decision> kind = parse_enum<decision>(in.at("decision").get<std::string>());
    if (!kind)
        throw std::invalid_argument{"decision"};
    entry.kind = *kind;
    in.at("proposal").get_to(entry.proposal);
    in.at("version").get_to(entry.version);
    in.at("base").get_to(entry.base);
    in.at("patch").get_to(entry.patch);
    in.at("proposed_by").get_to(entry.proposed_by);
    in.at("decided_by").get_to(entry.decided_by);
    in.at("comment").get_to(entry.comment);
    in.at("decided_at_s").get_to(entry.decided_at_s);
    return entry;
}

} // namespace

std::string config_snapshot_key(std::uint64_t version)
{
    return "config/snapshot/" + std::to_string(version);
}

std::string config_history_key(std::uint64_t head_revision)
{
    return "config/history/" + std::to_string(head_revision);
}

std::string encode_head(const config_head& head)
{
    json entries = json::array();
    for (const config_decision& entry : head.entries)
        entries.push_back({{"decision", name_of(entry.kind)},
                           {"proposal", entry.proposal},
                           {"version", entry.version},
                           {"base", entry.base},
                           {"patch", entry.patch},
                           {"proposed_by", entry.proposed_by},
                           {"decided_by", entry.decided_by},
                           {"comment", entry.comment},
                           {"decided_at_s", entry.decided_at_s}});
    const json out = {{"version", head.version},
                      {"snapshot_version", head.snapshot_version},
                      {"history", head.history},
                      {"deltas", entries}};
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<config_head> decode_head(std::string_view text)
{
    const json in = json::parse(text, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    try {
        config_head head;
        in.at("version").get_to(head.version);
        in.at("snapshot_version").get_to(head.snapshot_version);
        in.at("history").get_to(head.history);
        std::uint64_t reached = head.snapshot_version;
        for (const json& item : in.at("deltas")) {
            head.entries.push_back(read_entry(item));
            if (head.entries.back().kind == decision::accepted && head.entries.back().version != ++reached)
                return std::nullopt;
        }
        if (reached != head.version)
            return std::nullopt;
        return head;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace mjm
