#include "platform/store_codec.h"

#include "core/number_text.h"
#include "platform/cbor_message.h"
#include "platform/error_body.h"

#include <algorithm>
#include <utility>

namespace mjm {

http_response encode_read(const kv_read& value)
{
    http_response response;
    response.status = value.unchanged ? 304 : 200;
    response.content_type = "application/octet-stream";
    response.headers = {{std::string{revision_header}, std::to_string(value.entry.revision)}};
    response.body = value.entry.value;
    return response;
}

tl::expected<kv_read, store_errc> decode_read(const std::string& key, http_response response)
{
    if (response.status != 200 && response.status != 304)
        return tl::unexpected{decode_store_error(response)};
    const auto it = std::find_if(response.headers.begin(), response.headers.end(),
                                 [](const auto& header) { return header.first == revision_header; });
    const std::optional<std::uint64_t> revision =
        it == response.headers.end() ? std::nullopt : parse_integer<std::uint64_t>(it->second);
    if (!revision)
        return tl::unexpected{store_errc::bad_response};
    return kv_read{response.status == 304, {key, std::move(response.body), *revision}};
}

http_response encode_entries(const std::vector<kv_entry>& value)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const kv_entry& it : value)
        entries.push_back({{"key", it.key}, {"value", cbor_bytes(it.value)}, {"revision", it.revision}});
    http_response response;
    response.content_type = "application/cbor";
    response.body = to_cbor_text({{"entries", std::move(entries)}});
    return response;
}

tl::expected<std::vector<kv_entry>, store_errc> decode_entries(const http_response& response)
{
    if (response.status != 200)
        return tl::unexpected{decode_store_error(response)};
    cbor_reader in = cbor_reader::parse(response.body);
    const nlohmann::json entries = in.nested("entries");
    if (!entries.is_array())
        in.fail();
    std::vector<kv_entry> out;
    for (const nlohmann::json& it : entries) {
        cbor_reader fields = cbor_reader::of(it);
        out.push_back({fields.text("key"), fields.bytes("value"), fields.unsigned_integer("revision")});
        if (!fields.ok())
            in.fail();
    }
    if (!in.ok())
        return tl::unexpected{store_errc::bad_response};
    return out;
}

http_response encode_number(std::uint64_t value)
{
    http_response response;
    response.content_type = "text/plain";
    response.body = std::to_string(value);
    return response;
}

tl::expected<std::uint64_t, store_errc> decode_number(const http_response& response)
{
    if (response.status != 200)
        return tl::unexpected{decode_store_error(response)};
    const std::optional<std::uint64_t> value = parse_integer<std::uint64_t>(response.body);
    if (!value)
        return tl::unexpected{store_errc::bad_response};
    return *value;
}

http_response encode_hosts(const std::vector<listed_host>& value)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const listed_host& it : value)
        hosts.push_back({{"id", it.id.str()}, {"state", name_of(it.state)}});
    http_response response;
    response.body = nlohmann::json{{"hosts", std::move(hosts)}}.dump();
    return response;
}

tl::expected<std::vector<listed_host>, store_errc> decode_hosts(const http_response& response)
{
    if (response.status != 200)
        return tl::unexpected{decode_store_error(response)};
    cbor_reader in = cbor_reader::of(nlohmann::json::parse(response.body, nullptr, false));
    const nlohmann::json hosts = in.nested("hosts");
    if (!hosts.is_array())
        in.fail();
    std::vector<listed_host> out;
    for (const nlohmann::json& it : hosts) {
        cbor_reader fields = cbor_reader::of(it);
        const std::string id = fields.text("id");
        const std::optional<host_state> state = parse_enum<host_state>(fields.text("state"));
        if (!fields.ok() || !state)
            return tl::unexpected{store_errc::bad_response};
        out.push_back({target_id{id}, *state});
    }
    if (!in.ok())
        return tl::unexpected{store_errc::bad_response};
    return out;
}

http_response encode_store_error(store_errc ec)
{
    switch (ec) {
    case store_errc::conflict:
        return error_response(409, name_of(ec));
    case store_errc::not_found:
        return error_response(404, name_of(ec));
    case store_errc::too_large:
        return error_response(413, name_of(ec));
    case store_errc::overloaded:
        return error_response(429, name_of(ec));
    default:
        return error_response(500, name_of(ec));
    }
}

store_errc decode_store_error(const http_response& response)
{
    const std::string code = error_code_of(response);
    if (code == "body_too_large")
        return store_errc::too_large;
    if (code == "too_many_connections")
        return store_errc::overloaded;
    const std::optional<store_errc> ec = parse_enum<store_errc>(code);
    switch (ec.value_or(store_errc::bad_response)) {
    case store_errc::conflict:
    case store_errc::not_found:
    case store_errc::too_large:
    case store_errc::overloaded:
        return *ec;
    default:
        return store_errc::bad_response;
    }
}

store_errc to_store_errc(http_errc ec)
{
    switch (ec) {
    case http_errc::not_connected:
    case http_errc::too_many:
    case http_errc::expired:
        return store_errc::unreachable;
    case http_errc::connection_lost:
    case http_errc::timed_out:
        return store_errc::timed_out;
    case http_errc::bad_response:
        break;
    }
    return store_errc::bad_response;
}

} // namespace mjm
