#pragma once

#include "net/http_message.h"
#include "platform/codec_errc.h"
#include "platform/target_client.h"

#include <optional>
#include <string>
#include <string_view>

namespace mjm {

/// Paths of the target API. All calls are POST with CBOR bodies, except for the result, which is a GET.
inline constexpr std::string_view target_challenge_path = "/v1/challenge";
inline constexpr std::string_view target_lease_path = "/v1/lease";
inline constexpr std::string_view target_renew_path = "/v1/lease/renew";
inline constexpr std::string_view target_start_path = "/v1/tasks/start";
inline constexpr std::string_view target_result_path = "/v1/tasks/result";
inline constexpr std::string_view target_stop_path = "/v1/tasks/stop";
/// Request header with the identifier of the target that the call is meant for.
inline constexpr std::string_view target_to_header = "x-target";

struct open_lease_message {
    lease_token token;
    std::string challenge;
    duration ttl{0};
};
struct start_message {
    lease_token token;
    start_order order;
};
struct stop_message {
    lease_token token;
    task_id task;
};

[[nodiscard]] std::string encode_open_lease(const open_lease_message& value);
[[nodiscard]] tl::expected<open_lease_message, codec_errc> decode_open_lease(std::string_view text);
[[nodiscard]] std::string encode_renew(const lease_token& value);
[[nodiscard]] tl::expected<lease_token, codec_errc> decode_renew(std::string_view text);
[[nodiscard]] std::string encode_start(const start_message& value);
[[nodiscard]] tl::expected<start_message, codec_errc> decode_start(std::string_view text);
[[nodiscard]] std::string encode_stop(const stop_message& value);
[[nodiscard]] tl::expected<stop_message, codec_errc> decode_stop(std::string_view text);

// Answers name their target, so that an answer of another target is not taken for this one's.
[[nodiscard]] std::string encode_challenge(const target_id& target, const target_challenge& value);
[[nodiscard]] tl::expected<target_challenge, codec_errc> decode_challenge(std::string_view text,
                                                                          const target_id& target);
[[nodiscard]] std::string encode_grant(const target_id& target, const lease_grant& value);
[[nodiscard]] tl::expected<lease_grant, codec_errc> decode_grant(std::string_view text,
                                                                 const target_id& target);
[[nodiscard]] std::string encode_usage(const target_id& target, const usage_report& value);
[[nodiscard]] tl::expected<usage_report, codec_errc> decode_usage(std::string_view text,
                                                                  const target_id& target);
[[nodiscard]] std::string encode_stopped(const target_id& target, const task_id& task, task_state value);
[[nodiscard]] tl::expected<task_state, codec_errc>
decode_stopped(std::string_view text, const target_id& target, const task_id& task);

/// A result travels as the plain body; headers state the task, the length and the digest.
[[nodiscard]] http_response encode_result(const task_result& value);
[[nodiscard]] tl::expected<task_result, codec_errc> decode_result(http_response response,
                                                                  const task_id& task);

/// Refusal of a call: status 409, or 404 for `unknown_task`. `bad_response` travels as `no_result`.
[[nodiscard]] http_response encode_refusal(target_errc ec);
/// Nothing when the answer is not a refusal that this program knows.
[[nodiscard]] std::optional<target_errc> decode_refusal(const http_response& response);

} // namespace mjm
