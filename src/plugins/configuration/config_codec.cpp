#include "configuration/config_codec.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace mjm {

namespace {

using json = nlohmann::json;

struct decode_failure {
    config_error error;
};

[[noreturn]] void fail(config_rule rule, const std::string& pointer, const std::string& detail)
{
    throw decode_failure{{rule, pointer, detail}};
}

std::string escape_pointer_token(const std::string& token)
{
    std::string text;
    for (const char c : token) {
        if (c == '~')
            text += "~0";
        else if (c == '/')
            text += "~1";
        else
            text += c;
    }
    return text;
}

/// Reads the members of one JSON object. `reject_unread_members` rejects the members that have not been read.
class object_reader {
public:
    object_reader(const json& value, std::string pointer) : value_{value}, pointer_{std::move(pointer)}
    {
        if (!value.is_object())
            fail(config_rule::type, pointer_, std::string{"expected an object, found "} + value.type_name());
    }

    [[nodiscard]] const std::string& pointer() const { return pointer_; }
    [[nodiscard]] std::string pointer_to(const std::string& name) const
    {
        return pointer_ + "/" + escape_pointer_token(name);
    }

    const json* find(const std::string& name)
    {
        read_members_.insert(name);
        const auto it = value_.find(name);
        return it == value_.end() ? nullptr : &*it;
    }
    const json& require(const std::string& name)
    {
        const json* const found = find(name);
        if (found == nullptr)
            fail(config_rule::missing, pointer_to(name), "required member is missing");
        return *found;
    }

    std::string text(const std::string& name)
    {
        const json& value = require(name);
        if (!value.is_string())
            fail(config_rule::type, pointer_to(name),
                 std::string{"expected a string, found "} + value.type_name());
        return value.get<std::string>();
    }
    void read(const std::string& name, std::int64_t& out, bool required = false)
    {
        const json* const value = required ? &require(name) : find(name);
        if (value == nullptr)
            return;
        if (!value->is_number_integer())
            fail(config_rule::type, pointer_to(name),
                 std::string{"expected an integer, found "} + value->type_name());
        if (value->is_number_unsigned() &&
            value->get<std::uint64_t>() >
                static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
            fail(config_rule::range, pointer_to(name), "exceeds the range of a signed 64-bit integer");
        out = value->get<std::int64_t>();
    }
    void read(const std::string& name, std::uint64_t& out)
    {
        std::int64_t n = static_cast<std::int64_t>(out);
        read(name, n);
        if (n < 0)
            fail(config_rule::range, pointer_to(name), "must not be negative");
        out = static_cast<std::uint64_t>(n);
    }
    void read(const std::string& name, double& out, bool required = false)
    {
        const json* const value = required ? &require(name) : find(name);
        if (value == nullptr)
            return;
        if (!value->is_number())
            fail(config_rule::type, pointer_to(name),
                 std::string{"expected a number, found "} + value->type_name());
        out = value->get<double>();
    }
    void read(const std::string& name, bool& out)
    {
        const json* const value = find(name);
        if (value == nullptr)
            return;
        if (!value->is_boolean())
            fail(config_rule::type, pointer_to(name),
                 std::string{"expected true or false, found "} + value->type_name());
        out = value->get<bool>();
    }

    /// Calls `visit(name, reader)` for each record in the object member `name`, and rejects
    /// unknown members of the record.
    template <typename Visit>
    void for_each_record(const std::string& name, Visit visit)
    {
        const json* const table = find(name);
        if (table == nullptr)
            return;
        const object_reader names{*table, pointer_to(name)};
        for (const auto& [key, value] : table->items()) {
            if (!is_valid_name(key))
                fail(config_rule::name, names.pointer_to(key), "not a valid identifier");
            object_reader record{value, names.pointer_to(key)};
            visit(key, record);
            record.reject_unread_members();
        }
    }

    void reject_unread_members() const
    {
        for (const auto& [key, value] : value_.items()) {
            if (!read_members_.contains(key))
                fail(config_rule::unknown_member, pointer_to(key), "unknown member");
        }
    }

private:
    const json& value_;
    std::string pointer_;
    std::set<std::string> read_members_;
};

std::vector<key_record> read_keys(object_reader& in)
{
    std::vector<key_record> keys;
    in.for_each_record("keys", [&keys](const std::string& name, object_reader& key) {
        keys.push_back(key_record{key_id{name}, key.text("salt"), key.text("hash")});
    });
    return keys;
}

json write_keys(const std::vector<key_record>& keys)
{
    json out = json::object();
    for (const key_record& key : keys)
        out[key.id.str()] = {{"salt", key.salt}, {"hash", key.hash}};
    return out;
}

target_record read_target(const std::string& name, object_reader& in)
{
    target_record target;
    target.endpoint.id = target_id{name};
    target.endpoint.address = in.text("address");
    std::int64_t port = 0;
    in.read("port", port, true);
    if (port < 1 || port > 65535)
        fail(config_rule::range, in.pointer_to("port"), "must be 1 to 65535");
    target.endpoint.port = static_cast<std::uint16_t>(port);
    target.zone = zone_id{in.text("zone")};
    target.rack = rack_id{in.text("rack")};
    target.pool = pool_id{in.text("pool")};
    object_reader capacity{in.require("capacity"), in.pointer_to("capacity")};
    capacity.read("milli_cpu", target.capacity.milli_cpu, true);
    capacity.read("memory_mib", target.capacity.memory_mib, true);
    capacity.read("accelerators", target.capacity.accelerators);
    capacity.read("slots", target.capacity.slots, true);
    capacity.reject_unread_members();
    in.read("connections", target.connections);
    in.read("cordoned", target.cordoned);
    in.read("assignment", target.assignment);
    return target;
}

json write_target(const target_record& target)
{
    return {{"address", target.endpoint.address},
            {"port", target.endpoint.port},
            {"zone", target.zone.str()},
            {"rack", target.rack.str()},
            {"pool", target.pool.str()},
            {"capacity",
             {{"milli_cpu", target.capacity.milli_cpu},
              {"memory_mib", target.capacity.memory_mib},
              {"accelerators", target.capacity.accelerators},
              {"slots", target.capacity.slots}}},
            {"connections", target.connections},
            {"cordoned", target.cordoned},
            {"assignment", target.assignment}};
}

fleet_config read_config(object_reader& in)
{
    fleet_config config;
    in.read("version", config.version);
    if (in.find("ticket_secret") != nullptr)
        config.ticket_secret = in.text("ticket_secret");
    config.authority_month = in.text("authority_month");
    object_reader calendar{in.require("calendar"), in.pointer_to("calendar")};
    for (const auto& [month, owner] : in.require("calendar").items()) {
        static_cast<void>(owner);
        config.calendar[month] = owner_id{calendar.text(month)};
    }
    const auto in_force = config.calendar.find(config.authority_month);
    if (in_force == config.calendar.end())
        fail(config_rule::month, "/authority_month", "the calendar has no owner for this month");
    config.authority = in_force->second;
    if (const json* const weights = in.find("weights")) {
        object_reader reader{*weights, in.pointer_to("weights")};
        reader.read("buffer_cost", config.weights.buffer_cost);
        reader.read("rollout_time", config.weights.rollout_time);
        reader.read("moves", config.weights.moves);
        reader.read("share_adherence", config.weights.share_adherence);
        reader.reject_unread_members();
    }
    in.for_each_record("owners", [&config](const std::string& name, object_reader& record) {
        config.owners[owner_id{name}] = owner_record{owner_id{name}, read_keys(record)};
    });
    in.for_each_record("operators", [&config](const std::string& name, object_reader& record) {
        config.operators[operator_id{name}] = operator_record{operator_id{name}, read_keys(record)};
    });
    in.for_each_record("teams", [&config](const std::string& name, object_reader& record) {
        team_record team;
        team.id = team_id{name};
        team.owner = owner_id{record.text("owner")};
        record.read("share", team.share, true);
        record.read("limit", team.limit, true);
        team.keys = read_keys(record);
        config.teams[team.id] = team;
    });
    in.for_each_record("services", [&config](const std::string& name, object_reader& record) {
        service_record service;
        service.id = service_id{name};
        service.pool = pool_id{record.text("pool")};
        record.read("open_to_all", service.open_to_all);
        config.services[service.id] = service;
    });
    in.for_each_record("pools", [&config](const std::string& name, object_reader& record) {
        pool_record pool;
        pool.id = pool_id{name};
        record.read("min_available", pool.min_available);
        record.read("spare", pool.spare);
        config.pools[pool.id] = pool;
    });
    in.for_each_record("targets", [&config](const std::string& name, object_reader& record) {
        config.targets[target_id{name}] = read_target(name, record);
    });
    in.reject_unread_members();
    return config;
}

} // namespace

tl::expected<fleet_config, config_error> decode_config(std::string_view text)
{
    const json document = json::parse(text, nullptr, false);
    if (document.is_discarded())
        return tl::unexpected{config_error{config_rule::syntax, "", "the document is not valid JSON"}};
    try {
        object_reader reader{document, ""};
        return read_config(reader);
    } catch (const decode_failure& failure) {
        return tl::unexpected{failure.error};
    }
}

std::string encode_config(const fleet_config& config)
{
    json out = {{"version", config.version},
                {"ticket_secret", config.ticket_secret},
                {"authority_month", config.authority_month},
                {"calendar", json::object()},
                {"weights",
                 {{"buffer_cost", config.weights.buffer_cost},
                  {"rollout_time", config.weights.rollout_time},
                  {"moves", config.weights.moves},
                  {"share_adherence", config.weights.share_adherence}}},
                {"owners", json::object()},
                {"operators", json::object()},
                {"teams", json::object()},
                {"services", json::object()},
                {"pools", json::object()},
                {"targets", json::object()}};
    for (const auto& [month, owner] : config.calendar)
        out["calendar"][month] = owner.str();
    for (const auto& [id, record] : config.owners)
        out["owners"][id.str()] = {{"keys", write_keys(record.keys)}};
    for (const auto& [id, record] : config.operators)
        out["operators"][id.str()] = {{"keys", write_keys(record.keys)}};
    for (const auto& [id, team] : config.teams)
        out["teams"][id.str()] = {{"owner", team.owner.str()},
                                  {"share", team.share},
                                  {"limit", team.limit},
                                  {"keys", write_keys(team.keys)}};
    for (const auto& [id, service] : config.services)
        out["services"][id.str()] = {{"pool", service.pool.str()}, {"open_to_all", service.open_to_all}};
    for (const auto& [id, pool] : config.pools)
        out["pools"][id.str()] = {{"min_available", pool.min_available}, {"spare", pool.spare}};
    for (const auto& [id, target] : config.targets)
        out["targets"][id.str()] = write_target(target);
    return out.dump();
}

} // namespace mjm
