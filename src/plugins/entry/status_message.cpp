#include "entry/status_message.h"

#include <nlohmann/json.hpp>

namespace mjm {

namespace {

using nlohmann::json;

// Short keys keep a message of ten shards under 600 bytes.
json shard_to_json(const shard_status& status)
{
    return json::array({to_string(status.shard), status.epoch, status.load.queued, status.load.running,
                        status.load.free_slots, status.load.mean_run.count()});
}

shard_status shard_from_json(const json& value)
{
    const std::optional<shard_id> shard = parse_shard_id(value.at(0).get<std::string>());
    if (!shard)
        throw json::other_error::create(501, "shard identifier", &value);
    shard_status status;
    status.shard = *shard;
    status.epoch = value.at(1).get<shard_epoch>();
    status.load.queued = value.at(2).get<std::size_t>();
    status.load.running = value.at(3).get<std::int64_t>();
    status.load.free_slots = value.at(4).get<std::int64_t>();
    status.load.mean_run = duration{value.at(5).get<duration::rep>()};
    return status;
}

} // namespace

std::string encode_status(const status_message& message)
{
    json document;
    document["h"] = message.host.str();
    document["z"] = message.zone.str();
    document["t"] = json::array({message.sent.wall_ms, message.sent.counter});
    document["v"] = message.config_version;
    document["a"] = message.confirmed_age.count();
    document["s"] = message.store_reachable;
    document["p"] = message.no_commit_promised;
    document["w"] = message.wants_config;
    if (!message.config.empty())
        document["c"] = message.config;
    document["o"] = json::array();
    for (const shard_status& status : message.shards)
        document["o"].push_back(shard_to_json(status));
    document["r"] = json::object();
    for (const auto& [team, count] : message.running) {
        if (count != 0)
            document["r"][team.str()] = count;
    }
    std::string text;
    json::to_cbor(document, text);
    return text;
}

tl::expected<status_message, status_errc> decode_status(const std::string& text)
{
    try {
        const json document = json::from_cbor(text);
        status_message message;
        message.host = host_id{document.at("h").get<std::string>()};
        message.zone = zone_id{document.at("z").get<std::string>()};
        message.sent.wall_ms = document.at("t").at(0).get<std::int64_t>();
        message.sent.counter = document.at("t").at(1).get<std::uint32_t>();
        message.config_version = document.at("v").get<std::uint64_t>();
        message.confirmed_age = duration{document.at("a").get<duration::rep>()};
        message.store_reachable = document.at("s").get<bool>();
        message.no_commit_promised = document.at("p").get<bool>();
        message.wants_config = document.at("w").get<bool>();
        message.config = document.value("c", std::string{});
        for (const json& status : document.at("o"))
            message.shards.push_back(shard_from_json(status));
        for (const auto& [team, count] : document.at("r").items())
            message.running[team_id{team}] = count.get<std::int64_t>();
        return message;
    } catch (const json::exception&) {
        return tl::unexpected{status_errc::malformed};
    }
}

} // namespace mjm
