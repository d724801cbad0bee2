#include "platform/peer_codec.h"

#include "platform/body_digest.h"
#include "platform/codec_fields.h"

#include <utility>

namespace mjm {

namespace {

nlohmann::json request_fields(const request& r)
{
    return {{"id", r.id.str()},
            {"team", r.team.str()},
            {"service", r.service.str()},
            {"urgency", name_of(r.urgency)},
            {"idempotent", r.idempotent},
            {"ticket", r.ticket},
            {"declared", resource_fields(r.declared)},
            {"declared_run_us", r.declared_run.count()},
            {"timeout_us", r.timeout.count()},
            {"length", r.body.size()},
            {"digest", body_digest(r.body)},
            {"body", cbor_bytes(r.body)}};
}

bool body_matches(cbor_reader& in, const std::string& body)
{
    const std::uint64_t length = in.unsigned_integer("length");
    const std::string digest = in.text("digest");
    return body.size() == length && digest == body_digest(body);
}

tl::expected<request, codec_errc> read_request(cbor_reader& in)
{
    request r;
    r.id = request_id{in.text("id")};
    r.team = team_id{in.text("team")};
    r.service = service_id{in.text("service")};
    r.urgency = read_enum<priority>(in, "urgency");
    r.idempotent = in.boolean("idempotent");
    r.ticket = in.text("ticket");
    r.declared = read_resources(in, "declared");
    r.declared_run = duration{in.integer("declared_run_us")};
    r.timeout = duration{in.integer("timeout_us")};
    r.body = in.bytes("body");
    const bool whole = body_matches(in, r.body);
    if (!in.ok())
        return tl::unexpected{codec_errc::malformed};
    if (!whole)
        return tl::unexpected{codec_errc::wrong_digest};
    return r;
}

} // namespace

std::string encode_request(const request& value)
{
    return to_cbor_text(request_fields(value));
}

tl::expected<request, codec_errc> decode_request(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    return read_request(in);
}

std::string encode_forwarded_request(const forwarded_request& value)
{
    return to_cbor_text({{"shard", shard_fields(value.shard)},
                         {"epoch", value.epoch},
                         {"mode", name_of(value.mode)},
                         {"work", request_fields(value.work)}});
}

tl::expected<forwarded_request, codec_errc> decode_forwarded_request(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    forwarded_request out;
    out.shard = read_shard(in, "shard");
    out.epoch = in.unsigned_integer("epoch");
    out.mode = read_enum<forward_mode>(in, "mode");
    cbor_reader work = cbor_reader::of(in.nested("work"));
    tl::expected<request, codec_errc> r = read_request(work);
    if (!in.ok())
        return tl::unexpected{codec_errc::malformed};
    if (!r)
        return tl::unexpected{r.error()};
    out.work = std::move(*r);
    return out;
}

std::string encode_cancel(const cancel_message& value)
{
    return to_cbor_text({{"shard", shard_fields(value.shard)}, {"request", value.request.str()}});
}

tl::expected<cancel_message, codec_errc> decode_cancel(std::string_view text)
{
    cbor_reader in = cbor_reader::parse(text);
    cancel_message out{read_shard(in, "shard"), request_id{in.text("request")}};
    if (!in.ok())
        return tl::unexpected{codec_errc::malformed};
    return out;
}

std::string encode_outcome(const request_id& id, const outcome& value)
{
    return to_cbor_text({{"request", id.str()},
                         {"kind", name_of(value.kind)},
                         {"why", name_of(value.why)},
                         {"retry_after_us", value.retry_after.count()},
                         {"length", value.body.size()},
                         {"digest", body_digest(value.body)},
                         {"body", cbor_bytes(value.body)}});
}

tl::expected<outcome, codec_errc> decode_outcome(std::string_view text, const request_id& id)
{
    cbor_reader in = cbor_reader::parse(text);
    const std::string answered = in.text("request");
    outcome out;
    out.kind = read_enum<outcome_kind>(in, "kind");
    out.why = read_enum<reason>(in, "why");
    out.retry_after = duration{in.integer("retry_after_us")};
    out.body = in.bytes("body");
    const bool whole = body_matches(in, out.body);
    if (!in.ok())
        return tl::unexpected{codec_errc::malformed};
    if (answered != id.str())
        return tl::unexpected{codec_errc::wrong_address};
    if (!whole)
        return tl::unexpected{codec_errc::wrong_digest};
    return out;
}

} // namespace mjm
