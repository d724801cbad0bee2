#include "caller_api/caller_codec.h"

#include "platform/error_body.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <set>

namespace mjm {

namespace {

using nlohmann::json;

constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr std::int64_t max_run_ms = 7LL * 24 * 3'600'000;
constexpr std::int64_t max_resource = 1LL << 40;

/// Reads the members of a JSON object and keeps the first error.
class member_reader {
public:
    member_reader(const json& object, std::string base, const std::set<std::string>& known)
        : object_{object}, base_{std::move(base)}
    {
        if (!object.is_object()) {
            fail("", "expected an object");
            return;
        }
        for (const auto& [name, value] : object.items()) {
            if (!known.contains(name))
                fail(name, "unknown member");
        }
    }

    [[nodiscard]] std::int64_t integer(const char* name, std::int64_t fallback, std::int64_t min,
                                       std::int64_t max)
    {
        const json* value = find(name);
        if (value == nullptr)
            return fallback;
        const std::string allowed =
            "expected an integer from " + std::to_string(min) + " to " + std::to_string(max);
        if (!value->is_number_integer() ||
            (value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(max)))
            return fail(name, allowed), fallback;
        const std::int64_t number = value->get<std::int64_t>();
        if (number < min || number > max)
            return fail(name, allowed + ", found " + std::to_string(number)), fallback;
        return number;
    }

    [[nodiscard]] bool boolean(const char* name, bool fallback)
    {
        const json* value = find(name);
        if (value == nullptr)
            return fallback;
        if (!value->is_boolean())
            return fail(name, "expected true or false"), fallback;
        return value->get<bool>();
    }

    [[nodiscard]] std::string text(const char* name)
    {
        const json* value = find(name);
        if (value == nullptr)
            return {};
        if (!value->is_string())
            return fail(name, "expected a string"), std::string{};
        return value->get<std::string>();
    }

    [[nodiscard]] const json* find(const char* name) const
    {
        if (!object_.is_object())
            return nullptr;
        const auto it = object_.find(name);
        return it == object_.end() ? nullptr : &*it;
    }

    void fail(const std::string& name, std::string detail)
    {
        if (!error_)
            error_ = bad_input{name.empty() ? base_ : base_ + "/" + name, std::move(detail)};
    }

    [[nodiscard]] const std::optional<bad_input>& error() const { return error_; }

private:
    const json& object_;
    std::string base_;
    std::optional<bad_input> error_;
};

duration from_ms(std::int64_t ms)
{
    return std::chrono::duration_cast<duration>(std::chrono::milliseconds{ms});
}

std::string encode_base64(const std::string& bytes)
{
    if (bytes.empty())
        return {};
    constexpr std::size_t bytes_per_group = 3;
    constexpr std::size_t characters_per_group = 4;
    std::string text((bytes.size() + bytes_per_group - 1) / bytes_per_group * characters_per_group + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

bool is_utf8(const std::string& text)
{
    // With its strict error handler, dump() checks every byte; json::accept() would need a whole JSON
    // document.
    try {
        (void)json(text).dump();
        return true;
    } catch (const json::type_error&) {
        return false;
    }
}

tl::expected<resources, bad_input> read_resources(const json& object)
{
    member_reader in{object, "/resources", {"milli_cpu", "memory_mib", "accelerators"}};
    resources value;
    value.milli_cpu = in.integer("milli_cpu", 0, 0, max_resource);
    value.memory_mib = in.integer("memory_mib", 0, 0, max_resource);
    value.accelerators = in.integer("accelerators", 0, 0, max_resource);
    if (in.error())
        return tl::unexpected{*in.error()};
    return value;
}

http_response json_response(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump();
    return response;
}

} // namespace

tl::expected<caller_request, bad_input> decode_submission(std::string_view body)
{
    const json document = json::parse(body, nullptr, false);
    if (document.is_discarded())
        return tl::unexpected{bad_input{"", "the body is not JSON"}};
    member_reader in{
        document, "", {"idempotent", "ticket", "priority", "timeout_ms", "run_ms", "resources", "payload"}};
    caller_request call;
    call.idempotent = in.boolean("idempotent", false);
    call.ticket = in.text("ticket");
    call.timeout = from_ms(in.integer("timeout_ms", to_ms(call.timeout), 1, max_timeout_ms));
    call.declared_run = from_ms(in.integer("run_ms", 0, 0, max_run_ms));
    if (const std::string name = in.text("priority"); !name.empty()) {
        const std::optional<priority> urgency = parse_enum<priority>(name);
        if (!urgency)
            in.fail("priority", "expected \"normal\" or \"urgent\", found \"" + name + "\"");
        call.urgency = urgency.value_or(priority::normal);
    }
    if (call.idempotent && !call.ticket.empty())
        in.fail("ticket", "an idempotent request must not have a ticket");
    if (const json* payload = in.find("payload"))
        call.body = payload->is_string() ? payload->get<std::string>() : payload->dump();
    if (in.error())
        return tl::unexpected{*in.error()};
    if (const json* amounts = in.find("resources")) {
        const tl::expected<resources, bad_input> declared = read_resources(*amounts);
        if (!declared)
            return tl::unexpected{declared.error()};
        call.declared = *declared;
    }
    return call;
}

http_response encode_answer(const caller_answer& answer)
{
    const outcome& result = answer.result;
    if (answer.call_refused)
        return error_response(http_status(result.kind, result.why), name_of(result.why));
    json body;
    if (!answer.id.empty())
        body["id"] = answer.id.str();
    body["outcome"] = name_of(result.kind);
    if (result.why != reason::none)
        body["reason"] = name_of(result.why);
    if (result.retry_after > duration{0})
        body["retry_after_ms"] = to_ms(result.retry_after);
    if (!answer.next_ticket.empty())
        body["next_ticket"] = answer.next_ticket;
    if (result.kind == outcome_kind::completed || result.kind == outcome_kind::failed) {
        // JSON text must be UTF-8; base64 lets any other result reach the caller unchanged.
        if (is_utf8(result.body))
            body["result"] = result.body;
        else
            body["result_base64"] = encode_base64(result.body);
    }
    int status = http_status(result.kind, result.why);
    if (result.why == reason::unknown_request)
        status = http_status(outcome_kind::refused_not_run, result.why);
    http_response response = json_response(status, body);
    if (result.retry_after > duration{0}) {
        const std::int64_t seconds = (to_ms(result.retry_after) + 999) / 1000;
        response.headers.emplace_back("retry-after", std::to_string(seconds));
    }
    return response;
}

http_response encode_pending(const request_id& id)
{
    constexpr int accepted = 202;
    return json_response(accepted, json{{"id", id.str()}, {"state", "pending"}});
}

http_response encode_tickets(const std::vector<std::string>& tickets)
{
    return json_response(200, json{{"tickets", tickets}});
}

} // namespace mjm
