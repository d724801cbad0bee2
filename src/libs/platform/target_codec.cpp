#include "platform/target_codec.h"

#include "platform/body_digest.h"
#include "platform/codec_fields.h"
#include "platform/error_body.h"

#include <algorithm>
#include <utility>

namespace mjm {

namespace {

constexpr std::string_view task_header = "x-task";
constexpr std::string_view length_header = "x-length";
constexpr std::string_view digest_header = "x-digest";
constexpr std::string_view succeeded_header = "x-succeeded";
constexpr std::string_view no_result = "no_result";
constexpr std::string_view wrong_target = "wrong_target";

nlohmann::json token_fields(const lease_token& token)
{
    return {{"shard", shard_fields(token.shard)},
            {"assignment", token.assignment},
            {"epoch", token.epoch},
            {"boot_id", token.boot_id}};
}

lease_token read_token(cbor_reader& in)
{
    cbor_reader fields = cbor_reader::of(in.nested("token"));
    lease_token token;
    token.shard = read_shard(fields, "shard");
    token.assignment = fields.unsigned_integer("assignment");
    token.epoch = fields.unsigned_integer("epoch");
    token.boot_id = fields.text("boot_id");
    if (!fields.ok())
        in.fail();
    return token;
}

template <typename Value>
tl::expected<Value, codec_errc> checked(const cbor_reader& in, Value value)
{
    if (!in.ok())
        return tl::unexpected{codec_errc::malformed};
    return value;
}

template <typename Value>
tl::expected<Value, codec_errc> checked_answer(cbor_reader& in, const target_id& target, Value value)
{
    const std::string answered = in.text("target");
    if (!in.ok())
        return tl::unexpected{codec_errc::malformed};
    if (answered != target.str())
        return tl::unexpected{codec_errc::wrong_address};
    return value;
}

std::string find_header(const http_response& response, std::string_view name)
{
    const auto it = std::find_if(response.headers.begin(), response.headers.end(),
                                 [name](const auto& header) { return header.first == name; });
    return it == response.headers.end() ? std::string{} : it->second;
}

} // namespace

std::string encode_open_lease(const open_lease_message& value)
{
    return to_cbor_text({{"token", token_fields(value.token)},
                         {"challenge", value.challenge},
                         {"ttl_us", value.ttl.count()}});
}

tl::expected<open_lease_message, codec_errc> decode_open_lease(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    open_lease_message out;
    out.token = read_token(in);
    out.challenge = in.text("challenge");
    out.ttl = duration{in.integer("ttl_us")};
    return checked(in, std::move(out));
}

std::string encode_renew(const lease_token& value)
{
    return to_cbor_text({{"token", token_fields(value)}});
}

tl::expected<lease_token, codec_errc> decode_renew(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    lease_token out = read_token(in);
    return checked(in, std::move(out));
}

std::string encode_start(const start_message& value)
{
    const start_order& order = value.order;
    return to_cbor_text({{"token", token_fields(value.token)},
                         {"task", order.task.str()},
                         {"request", order.request.str()},
                         {"team", order.team.str()},
                         {"service", order.service.str()},
                         {"reserved", resource_fields(order.reserved)},
                         {"length", order.body.size()},
                         {"digest", body_digest(order.body)},
                         {"body", cbor_bytes(order.body)}});
}

tl::expected<start_message, codec_errc> decode_start(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    start_message out;
    out.token = read_token(in);
    out.order.task = task_id{in.text("task")};
    out.order.request = request_id{in.text("request")};
    out.order.team = team_id{in.text("team")};
    out.order.service = service_id{in.text("service")};
    out.order.reserved = read_resources(in, "reserved");
    out.order.body = in.bytes("body");
    const std::uint64_t length = in.unsigned_integer("length");
    const std::string digest = in.text("digest");
    if (in.ok() && (length != out.order.body.size() || digest != body_digest(out.order.body)))
        return tl::unexpected{codec_errc::wrong_digest};
    return checked(in, std::move(out));
}

std::string encode_stop(const stop_message& value)
{
    return to_cbor_text({{"token", token_fields(value.token)}, {"task", value.task.str()}});
}

tl::expected<stop_message, codec_errc> decode_stop(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    stop_message out;
    out.token = read_token(in);
    out.task = task_id{in.text("task")};
    return checked(in, std::move(out));
}

std::string encode_challenge(const target_id& target, const target_challenge& value)
{
    return to_cbor_text(
        {{"target", target.str()}, {"boot_id", value.boot_id}, {"challenge", value.challenge}});
}

tl::expected<target_challenge, codec_errc> decode_challenge(std::string_view text, const target_id& target)
{
    cbor_reader in = cbor_reader::parse(text);
    target_challenge out{in.text("boot_id"), in.text("challenge")};
    return checked_answer(in, target, std::move(out));
}

std::string encode_grant(const target_id& target, const lease_grant& value)
{
    nlohmann::json tasks = nlohmann::json::array();
    for (const task_report& it : value.tasks)
        tasks.push_back({{"task", it.task.str()},
                         {"request", it.request.str()},
                         {"team", it.team.str()},
                         {"state", name_of(it.state)},
                         {"used", resource_fields(it.used)}});
    return to_cbor_text({{"target", target.str()},
                         {"boot_id", value.boot_id},
                         {"slots", value.slots},
                         {"leaving", value.leaving},
                         {"uptime_us", value.uptime.count()},
                         {"tasks", std::move(tasks)}});
}

tl::expected<lease_grant, codec_errc> decode_grant(std::string_view text, const target_id& target)
{
    cbor_reader in = cbor_reader::parse(text);
    lease_grant out;
    out.boot_id = in.text("boot_id");
    out.slots = in.integer("slots");
    out.leaving = in.boolean("leaving");
    out.uptime = duration{in.integer("uptime_us")};
    const nlohmann::json tasks = in.nested("tasks");
    if (!tasks.is_array())
        in.fail();
    for (const nlohmann::json& it : tasks) {
        cbor_reader fields = cbor_reader::of(it);
        task_report report;
        report.task = task_id{fields.text("task")};
        report.request = request_id{fields.text("request")};
        report.team = team_id{fields.text("team")};
        report.state = read_enum<task_state>(fields, "state");
        report.used = read_resources(fields, "used");
        if (!fields.ok())
            in.fail();
        out.tasks.push_back(std::move(report));
    }
    return checked_answer(in, target, std::move(out));
}

std::string encode_usage(const target_id& target, const usage_report& value)
{
    return to_cbor_text({{"target", target.str()},
                         {"used", resource_fields(value.used)},
                         {"running", value.running},
                         {"leaving", value.leaving}});
}

tl::expected<usage_report, codec_errc> decode_usage(std::string_view text, const target_id& target)
{
    cbor_reader in = cbor_reader::parse(text);
    usage_report out;
    out.used = read_resources(in, "used");
    out.running = in.integer("running");
    out.leaving = in.boolean("leaving");
    return checked_answer(in, target, out);
}

std::string encode_stopped(const target_id& target, const task_id& task, task_state value)
{
    return to_cbor_text({{"target", target.str()}, {"task", task.str()}, {"state", name_of(value)}});
}

tl::expected<task_state, codec_errc> decode_stopped(std::string_view text, const target_id& target,
                                                    const task_id& task)
{
    cbor_reader in = cbor_reader::parse(text);
    const std::string answered = in.text("task");
    const task_state state = read_enum<task_state>(in, "state");
    if (in.ok() && answered != task.str())
        return tl::unexpected{codec_errc::wrong_address};
    return checked_answer(in, target, state);
}

http_response encode_result(const task_result& value)
{
    http_response response;
    response.content_type = "application/octet-stream";
    response.headers = {{std::string{task_header}, value.task.str()},
                        {std::string{length_header}, std::to_string(value.body.size())},
                        {std::string{digest_header}, body_digest(value.body)},
                        {std::string{succeeded_header}, value.succeeded ? "true" : "false"}};
    response.body = value.body;
    return response;
}

tl::expected<task_result, codec_errc> decode_result(http_response response, const task_id& task)
{
    const std::string succeeded = find_header(response, succeeded_header);
    if (response.status != 200 || (succeeded != "true" && succeeded != "false"))
        return tl::unexpected{codec_errc::malformed};
    if (find_header(response, task_header) != task.str())
        return tl::unexpected{codec_errc::wrong_address};
    if (find_header(response, length_header) != std::to_string(response.body.size()) ||
        find_header(response, digest_header) != body_digest(response.body))
        return tl::unexpected{codec_errc::wrong_digest};
    return task_result{task, succeeded == "true", std::move(response.body)};
}

http_response encode_refusal(target_errc ec)
{
    switch (ec) {
    case target_errc::bad_response:
        return error_response(409, no_result);
    case target_errc::not_connected:
        return error_response(421, wrong_target);
    case target_errc::unknown_task:
        return error_response(404, name_of(ec));
    default:
        return error_response(409, name_of(ec));
    }
}

std::optional<target_errc> decode_refusal(const http_response& response)
{
    if (response.status == 200)
        return std::nullopt;
    const std::string code = error_code_of(response);
    if (code == wrong_target)
        return target_errc::not_connected;
    // The server's own refusal before anything was read.
    if (code == "too_many_connections")
        return target_errc::not_connected;
    const std::optional<target_errc> ec = parse_enum<target_errc>(code);
    switch (ec.value_or(target_errc::bad_response)) {
    case target_errc::fenced:
    case target_errc::lease_expired:
    case target_errc::busy:
    case target_errc::leaving:
    case target_errc::unknown_task:
    case target_errc::task_stopped:
    case target_errc::challenge_rejected:
        return ec;
    default:
        return std::nullopt;
    }
}

} // namespace mjm
