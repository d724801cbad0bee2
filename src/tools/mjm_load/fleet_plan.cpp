#include "fleet_plan.h"

#include <nlohmann/json.hpp>

#include <sstream>

namespace mjm {

namespace {

using nlohmann::json;

} // namespace

std::string encode_plan(const fleet_plan& plan)
{
    json out{{"teams", json::array()}, {"services", json::array()}, {"targets", json::array()}};
    for (const plan_team& it : plan.teams)
        out["teams"].push_back(
            {{"id", it.id.str()}, {"key", it.key}, {"share", it.share}, {"limit", it.limit}});
    for (const service_id& it : plan.services)
        out["services"].push_back(it.str());
    for (const plan_target& it : plan.targets)
        out["targets"].push_back({{"id", it.endpoint.id.str()},
                                  {"address", it.endpoint.address},
                                  {"port", it.endpoint.port},
                                  {"zone", it.zone.str()},
                                  {"service", it.service.str()}});
    return out.dump(2) + "\n";
}

std::optional<fleet_plan> decode_plan(std::string_view text)
{
    try {
        const json in = json::parse(text);
        fleet_plan plan;
        for (const json& it : in.at("teams"))
            plan.teams.push_back(plan_team{team_id{it.at("id").get<std::string>()},
                                           it.at("key").get<std::string>(), it.at("share").get<double>(),
                                           it.at("limit").get<std::int64_t>()});
        for (const json& it : in.at("services"))
            plan.services.emplace_back(it.get<std::string>());
        for (const json& it : in.at("targets"))
            plan.targets.push_back(
                plan_target{{target_id{it.at("id").get<std::string>()}, it.at("address").get<std::string>(),
                             it.at("port").get<std::uint16_t>()},
                            zone_id{it.at("zone").get<std::string>()},
                            service_id{it.at("service").get<std::string>()}});
        return plan;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<plan_team> parse_plan_team(std::string_view text)
{
    std::istringstream in{std::string{text}};
    std::string name;
    plan_team team;
    char colon = 0;
    if (!std::getline(in, name, ':') || !is_valid_name(name) || !(in >> team.share >> colon >> team.limit) ||
        colon != ':' || in.peek() != std::istringstream::traits_type::eof())
        return std::nullopt;
    team.id = team_id{name};
    team.key = "key-" + name;
    return team;
}

} // namespace mjm
