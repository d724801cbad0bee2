#pragma once

#include "net/http_client.h"
#include "platform/host_list.h"
#include "platform/kv_store.h"

#include <string_view>
#include <vector>

namespace mjm {

/// Paths of the platform API.
inline constexpr std::string_view store_key_path = "/v1/kv";
inline constexpr std::string_view store_list_path = "/v1/kv/list";
inline constexpr std::string_view store_lease_path = "/v1/leases";
inline constexpr std::string_view store_keep_alive_path = "/v1/leases/keep-alive";
inline constexpr std::string_view host_list_path = "/v1/hosts";
inline constexpr std::string_view revision_header = "x-revision";
inline constexpr std::string_view client_header = "x-client";

[[nodiscard]] http_response encode_read(const kv_read& value);
[[nodiscard]] tl::expected<kv_read, store_errc> decode_read(const std::string& key, http_response response);
[[nodiscard]] http_response encode_entries(const std::vector<kv_entry>& value);
[[nodiscard]] tl::expected<std::vector<kv_entry>, store_errc> decode_entries(const http_response& response);
/// Answer that consists of one number, such as a revision or a lease.
[[nodiscard]] http_response encode_number(std::uint64_t value);
[[nodiscard]] tl::expected<std::uint64_t, store_errc> decode_number(const http_response& response);
[[nodiscard]] http_response encode_hosts(const std::vector<listed_host>& value);
[[nodiscard]] tl::expected<std::vector<listed_host>, store_errc> decode_hosts(const http_response& response);

[[nodiscard]] http_response encode_store_error(store_errc ec);
/// Error of an answer whose status is not a success.
[[nodiscard]] store_errc decode_store_error(const http_response& response);
/// Error of a call that got no answer.
[[nodiscard]] store_errc to_store_errc(http_errc ec);

} // namespace mjm
