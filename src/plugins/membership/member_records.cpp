#include "membership/member_records.h"

#include <nlohmann/json.hpp>

namespace mjm {

namespace {

constexpr std::uint64_t max_port = 65535;

bool has_string(const nlohmann::json& in, const char* name)
{
    return in.contains(name) && in[name].is_string();
}

bool has_number(const nlohmann::json& in, const char* name)
{
    return in.contains(name) && in[name].is_number_unsigned();
}

} // namespace

std::string member_key(const host_id& host)
{
    return "members/" + host.str();
}

std::string incarnation_key(const host_id& host)
{
    return "incarnations/" + host.str();
}

std::string ownership_key(const zone_id& zone)
{
    return "shards/" + zone.str();
}

std::string member_to_json(const member& value)
{
    const nlohmann::json out = {{"host", value.endpoint.id.str()},       {"address", value.endpoint.address},
                                {"port", value.endpoint.port},           {"zone", value.zone.str()},
                                {"incarnation", value.incarnation},      {"state", name_of(value.state)},
                                {"config_version", value.config_version}};
    return out.dump();
}

std::optional<member> member_from_json(std::string_view text)
{
    const nlohmann::json in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object() || !has_string(in, "host") || !has_string(in, "address") || !has_number(in, "port") ||
        !has_string(in, "zone") || !has_number(in, "incarnation") || !has_string(in, "state") ||
        !has_number(in, "config_version") || in["port"].get<std::uint64_t>() > max_port)
        return std::nullopt;
    const std::optional<member_state> state = parse_enum<member_state>(in["state"].get<std::string>());
    if (!state)
        return std::nullopt;
    member out;
    out.endpoint = {host_id{in["host"].get<std::string>()}, in["address"].get<std::string>(),
                    in["port"].get<std::uint16_t>()};
    out.zone = zone_id{in["zone"].get<std::string>()};
    out.incarnation = in["incarnation"].get<std::uint64_t>();
    out.state = *state;
    out.config_version = in["config_version"].get<std::uint64_t>();
    return out;
}

std::string ownership_to_json(const ownership_document& value)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [shard, record] : value)
        out[to_string(shard)] = {
            {"owner", record.owner.str()}, {"incarnation", record.incarnation}, {"epoch", record.epoch}};
    return out.dump();
}

std::optional<ownership_document> ownership_from_json(std::string_view text)
{
    const nlohmann::json in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    ownership_document out;
    for (const auto& [name, record] : in.items()) {
        const std::optional<shard_id> shard = parse_shard_id(name);
        if (!shard || !record.is_object() || !has_string(record, "owner") ||
            !has_number(record, "incarnation") || !has_number(record, "epoch"))
            return std::nullopt;
        out[*shard] = {host_id{record["owner"].get<std::string>()}, record["epoch"].get<shard_epoch>(),
                       record["incarnation"].get<std::uint64_t>()};
    }
    return out;
}

std::string incarnation_to_json(std::uint64_t value)
{
    return nlohmann::json{{"incarnation", value}}.dump();
}

std::optional<std::uint64_t> incarnation_from_json(std::string_view text)
{
    const nlohmann::json in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object() || !has_number(in, "incarnation"))
        return std::nullopt;
    return in["incarnation"].get<std::uint64_t>();
}

} // namespace mjm
