#include "maintenance/maintenance_codec.h"

#include <nlohmann/json.hpp>

namespace mjm {

namespace {

using json = nlohmann::json;

json parse(std::string_view text)
{
    return json::parse(text, nullptr, false);
}

bool read(const json& in, const char* name, std::uint64_t& out)
{
    const auto it = in.find(name);
    if (it == in.end() || !it->is_number_unsigned())
        return false;
    out = it->get<std::uint64_t>();
    return true;
}

bool read(const json& in, const char* name, std::int64_t least, std::int64_t& out)
{
    const auto it = in.find(name);
    if (it == in.end() || !it->is_number_integer())
        return false;
    out = it->get<std::int64_t>();
    return out >= least;
}

bool read(const json& in, const char* name, std::string& out)
{
    const auto it = in.find(name);
    if (it == in.end() || !it->is_string())
        return false;
    out = it->get<std::string>();
    return true;
}

template <typename Enum>
bool read_enum(const json& in, const char* name, Enum& out)
{
    std::string text;
    if (!read(in, name, text))
        return false;
    const std::optional<Enum> value = parse_enum<Enum>(text);
    if (value)
        out = *value;
    return value.has_value();
}

const json* member(const json& in, const char* name, json::value_t type)
{
    const auto it = in.find(name);
    return it != in.end() && it->type() == type ? &*it : nullptr;
}

template <typename Enum>
std::string text(Enum value)
{
    return std::string{name_of(value)};
}

bool read_host(const json& in, wave_host& out)
{
    const json* cleared = in.is_object() ? member(in, "cleared", json::value_t::boolean) : nullptr;
    if (cleared == nullptr || !read_enum(in, "stage", out.stage) || !read_enum(in, "reason", out.reason) ||
        !read(in, "boot", out.boot))
        return false;
    out.cleared = cleared->get<bool>();
    return true;
}

} // namespace

std::string maintenance_codec::encode(const wave_document& value)
{
    json hosts = json::object();
    for (const auto& [id, host] : value.hosts)
        hosts[id.str()] = {{"stage", text(host.stage)},
                           {"reason", text(host.reason)},
                           {"boot", host.boot},
                           {"cleared", host.cleared}};
    return json{{"id", value.id},
                {"epoch", value.epoch},
                {"state", text(value.state)},
                {"stopped_by", text(value.stopped_by)},
                {"speed",
                 {{"hosts", value.speed.hosts},
                  {"per_pool", value.speed.per_pool},
                  {"per_rack", value.speed.per_rack},
                  {"per_zone", value.speed.per_zone}}},
                {"drain", text(value.drain)},
                {"drain_deadline_s", value.drain_deadline.count()},
                {"accepted_failures", value.accepted_failures},
                {"failure_baseline", value.failure_baseline},
                {"hosts", hosts}}
        .dump();
}

std::optional<wave_document> maintenance_codec::wave(std::string_view text)
{
    const json in = parse(text);
    if (!in.is_object())
        return std::nullopt;
    const json* speed = member(in, "speed", json::value_t::object);
    const json* hosts = member(in, "hosts", json::value_t::object);
    wave_document out;
    std::int64_t deadline = 0;
    if (speed == nullptr || hosts == nullptr || !read(in, "id", out.id) || !read(in, "epoch", out.epoch) ||
        !read_enum(in, "state", out.state) || !read_enum(in, "stopped_by", out.stopped_by) ||
        !read(*speed, "hosts", 1, out.speed.hosts) || !read(*speed, "per_pool", 1, out.speed.per_pool) ||
        !read(*speed, "per_rack", 1, out.speed.per_rack) ||
        !read(*speed, "per_zone", 1, out.speed.per_zone) || !read_enum(in, "drain", out.drain) ||
        !read(in, "drain_deadline_s", 0, deadline) ||
        !read(in, "accepted_failures", 0, out.accepted_failures) ||
        !read(in, "failure_baseline", -1, out.failure_baseline))
        return std::nullopt;
    out.drain_deadline = std::chrono::seconds{deadline};
    for (const auto& [id, host] : hosts->items()) {
        if (!is_valid_name(id) || !read_host(host, out.hosts[target_id{id}]))
            return std::nullopt;
    }
    return out;
}

std::string maintenance_codec::encode(const budget_document& value)
{
    json taken = json::object();
    for (const auto& [id, permit] : value.taken)
        taken[id.str()] = {{"wave", permit.wave}, {"epoch", permit.epoch}};
    json down = json::array();
    for (const target_id& id : value.down)
        down.push_back(id.str());
    return json{
        {"epoch", value.epoch}, {"config_version", value.config_version}, {"taken", taken}, {"down", down}}
        .dump();
}

std::optional<budget_document> maintenance_codec::budget(std::string_view text)
{
    const json in = parse(text);
    if (!in.is_object())
        return std::nullopt;
    const json* taken = member(in, "taken", json::value_t::object);
    const json* down = member(in, "down", json::value_t::array);
    budget_document out;
    if (taken == nullptr || down == nullptr || !read(in, "epoch", out.epoch) ||
        !read(in, "config_version", out.config_version))
        return std::nullopt;
    for (const auto& [id, permit] : taken->items()) {
        budget_permit& entry = out.taken[target_id{id}];
        if (!permit.is_object() || !read(permit, "wave", entry.wave) || !read(permit, "epoch", entry.epoch))
            return std::nullopt;
    }
    for (const json& id : *down) {
        if (!id.is_string())
            return std::nullopt;
        out.down.insert(target_id{id.get<std::string>()});
    }
    return out;
}

std::string maintenance_codec::encode(const cordon_document& value)
{
    json hosts = json::object();
    for (const auto& [id, cordon] : value.hosts)
        hosts[id.str()] = {{"wave", cordon.wave}, {"version", cordon.version}};
    return json{{"epoch", value.epoch}, {"version", value.version}, {"hosts", hosts}}.dump();
}

std::optional<cordon_document> maintenance_codec::cordons(std::string_view text)
{
    const json in = parse(text);
    const json* hosts = in.is_object() ? member(in, "hosts", json::value_t::object) : nullptr;
    cordon_document out;
    if (hosts == nullptr || !read(in, "epoch", out.epoch) || !read(in, "version", out.version))
        return std::nullopt;
    for (const auto& [id, cordon] : hosts->items()) {
        cordon_record& entry = out.hosts[target_id{id}];
        if (!cordon.is_object() || !read(cordon, "wave", entry.wave) ||
            !read(cordon, "version", entry.version))
            return std::nullopt;
    }
    return out;
}

std::string maintenance_codec::encode(const controller_record& value)
{
    return json{{"epoch", value.epoch}, {"holder", value.holder}, {"lease", value.lease}}.dump();
}

std::optional<controller_record> maintenance_codec::controller(std::string_view text)
{
    const json in = parse(text);
    controller_record out;
    if (!in.is_object() || !read(in, "epoch", out.epoch) || !read(in, "holder", out.holder) ||
        !read(in, "lease", out.lease))
        return std::nullopt;
    return out;
}

} // namespace mjm
