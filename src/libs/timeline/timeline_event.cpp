#include "timeline/timeline_event.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace mjm {

namespace {

using nlohmann::json;

void add_text(nlohmann::ordered_json& out, const char* key, const std::string& value)
{
    if (!value.empty())
        out[key] = value;
}

/// Reads the members of one line and remembers the first fault.
class member_reader {
public:
    explicit member_reader(const json& line) : line_{line} {}

    std::string text(const char* key, bool required)
    {
        const json* value = find(key, required);
        if (value == nullptr)
            return {};
        if (!value->is_string()) {
            fail(timeline_errc::wrong_field);
            return {};
        }
        return value->get<std::string>();
    }

    template <typename Int>
    Int number(const char* key, bool required)
    {
        const json* value = find(key, required);
        if (value == nullptr)
            return 0;
        // Every number of an event is at least 0; the library parses such ones as unsigned.
        if (!value->is_number_unsigned() || !std::in_range<Int>(value->get<std::uint64_t>())) {
            fail(timeline_errc::wrong_field);
            return 0;
        }
        return value->get<Int>();
    }

    void fail(timeline_errc ec)
    {
        if (!error_)
            error_ = ec;
    }
    [[nodiscard]] std::optional<timeline_errc> error() const { return error_; }

private:
    const json* find(const char* key, bool required)
    {
        const json::const_iterator it = line_.find(key);
        if (it != line_.end())
            return &*it;
        if (required)
            fail(timeline_errc::missing_field);
        return nullptr;
    }

    const json& line_;
    std::optional<timeline_errc> error_;
};

} // namespace

std::string to_json(const timeline_event& event)
{
    nlohmann::ordered_json out;
    out["ms"] = event.time.wall_ms;
    out["n"] = event.time.counter;
    out["host"] = event.host.str();
    out["zone"] = event.zone.str();
    out["kind"] = name_of(event.kind);
    const timeline_fields& fields = event.fields;
    add_text(out, "team", fields.team.str());
    add_text(out, "subject", fields.subject);
    add_text(out, "request", fields.request.str());
    if (fields.shard)
        out["shard"] = to_string(*fields.shard);
    add_text(out, "wave", fields.wave);
    if (fields.version != 0)
        out["version"] = fields.version;
    add_text(out, "detail", fields.detail);
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<timeline_event, timeline_errc> parse_timeline_event(std::string_view line)
{
    const json parsed = json::parse(line, nullptr, false);
    if (!parsed.is_object())
        return tl::make_unexpected(timeline_errc::not_json);
    member_reader reader{parsed};
    timeline_event event;
    event.time.wall_ms = reader.number<std::int64_t>("ms", true);
    event.time.counter = reader.number<std::uint32_t>("n", true);
    event.host = host_id{reader.text("host", true)};
    event.zone = zone_id{reader.text("zone", true)};
    const std::string kind = reader.text("kind", true);
    event.fields.team = team_id{reader.text("team", false)};
    event.fields.subject = reader.text("subject", false);
    event.fields.request = request_id{reader.text("request", false)};
    const std::string shard = reader.text("shard", false);
    event.fields.wave = reader.text("wave", false);
    event.fields.version = reader.number<std::uint64_t>("version", false);
    event.fields.detail = reader.text("detail", false);
    if (!shard.empty()) {
        event.fields.shard = parse_shard_id(shard);
        if (!event.fields.shard)
            reader.fail(timeline_errc::wrong_field);
    }
    if (reader.error())
        return tl::make_unexpected(*reader.error());
    const std::optional<timeline_kind> known = parse_enum<timeline_kind>(kind);
    if (!known)
        return tl::make_unexpected(timeline_errc::unknown_kind);
    event.kind = *known;
    return event;
}

} // namespace mjm
