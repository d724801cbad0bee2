#pragma once

#include "platform/codec_errc.h"
#include "platform/peer_client.h"

#include <string>
#include <string_view>

namespace mjm {

/// Paths of the peer API; all calls are POST with CBOR bodies.
inline constexpr std::string_view peer_forward_path = "/peer/v1/forward";
inline constexpr std::string_view peer_cancel_path = "/peer/v1/cancel";
inline constexpr std::string_view peer_status_path = "/peer/v1/status";
/// Request header with the host identifier that the call is meant for. A host that has another identifier
/// answers 421 and does nothing, because addresses are reused when hosts are replaced.
inline constexpr std::string_view peer_to_header = "x-to";

struct cancel_message {
    shard_id shard;
    request_id request;
};

[[nodiscard]] std::string encode_request(const request& value);
[[nodiscard]] tl::expected<request, codec_errc> decode_request(std::string_view text);

[[nodiscard]] std::string encode_forwarded_request(const forwarded_request& value);
[[nodiscard]] tl::expected<forwarded_request, codec_errc> decode_forwarded_request(std::string_view text);

[[nodiscard]] std::string encode_cancel(const cancel_message& value);
[[nodiscard]] tl::expected<cancel_message, codec_errc> decode_cancel(std::string_view text);

/// The outcome of `id`, with the length and digest of its body.
[[nodiscard]] std::string encode_outcome(const request_id& id, const outcome& value);
/// Accepts only an outcome of `id` whose body matches its length and digest.
[[nodiscard]] tl::expected<outcome, codec_errc> decode_outcome(std::string_view text, const request_id& id);

} // namespace mjm
