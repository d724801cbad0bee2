#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/task_types.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace mjm {

/// Failure of a call to another entry host.
enum class peer_errc {
    not_connected,   ///< Nothing was sent.
    connection_lost, ///< The call may have taken effect.
    timed_out,       ///< The call may have taken effect.
    bad_response,
    refused, ///< The peer's input ring is full; the call had no effect.
};

template <>
struct enum_names<peer_errc> {
    static constexpr std::array<std::pair<peer_errc, std::string_view>, 5> entries{{
        {peer_errc::not_connected, "not_connected"},
        {peer_errc::connection_lost, "connection_lost"},
        {peer_errc::timed_out, "timed_out"},
        {peer_errc::bad_response, "bad_response"},
        {peer_errc::refused, "refused"},
    }};
};

struct peer_endpoint {
    host_id id;
    std::string address; ///< IP address.
    std::uint16_t port = 0;

    friend bool operator==(const peer_endpoint&, const peer_endpoint&) = default;
};

enum class forward_mode {
    submit, ///< Run the request, or join it when it is known, and wait for its outcome.
    wait,   ///< Wait for the outcome of a known request.
    peek,   ///< Answer at once; `pending` when a known request has not ended.
};

template <>
struct enum_names<forward_mode> {
    static constexpr std::array<std::pair<forward_mode, std::string_view>, 3> entries{{
        {forward_mode::submit, "submit"},
        {forward_mode::wait, "wait"},
        {forward_mode::peek, "peek"},
    }};
};

/// A request on its way to the owner of a shard. The owner answers `moved` unless `epoch` is its own, so
/// that a copy that arrives late, after a change of owner, is never run.
struct forwarded_request {
    shard_id shard;
    shard_epoch epoch = 0;
    forward_mode mode = forward_mode::submit;
    request work; ///< Only `id` is used with `wait` and `peek`.
};

/// Calls to other entry hosts. Callbacks follow the same rules as those of `kv_store`.
class peer_client {
public:
    using outcome_callback = std::function<void(tl::expected<outcome, peer_errc>)>;
    using message_callback = std::function<void(tl::expected<std::string, peer_errc>)>;

    peer_client() = default;
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;
    virtual ~peer_client() = default;

    /// Hands a request to the shard's owner and waits for its outcome. Safe to repeat: the owner
    /// recognises the request identifier.
    virtual void forward(const peer_endpoint& peer, const forwarded_request& message,
                         outcome_callback done) = 0;
    /// Cancels a request at the shard's owner; answers the outcome.
    virtual void cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request_to_cancel,
                        outcome_callback done) = 0;
    /// Exchanges a small status message (CBOR); the answer is the peer's own.
    virtual void exchange_status(const peer_endpoint& peer, const std::string& message,
                                 message_callback done) = 0;
};

} // namespace mjm
