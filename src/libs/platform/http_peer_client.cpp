#include "platform/http_peer_client.h"

#include "platform/error_body.h"
#include "platform/peer_codec.h"

#include <utility>

namespace mjm {

namespace {

peer_errc to_peer_errc(http_errc ec)
{
    switch (ec) {
    case http_errc::not_connected:
    case http_errc::too_many:
    case http_errc::expired:
        return peer_errc::not_connected;
    case http_errc::connection_lost:
        return peer_errc::connection_lost;
    case http_errc::timed_out:
        return peer_errc::timed_out;
    case http_errc::bad_response:
        break;
    }
    return peer_errc::bad_response;
}

/// Error of an answer whose status is not 200.
peer_errc refusal_of(const http_response& response)
{
    const std::string code = error_code_of(response);
    if (code == name_of(peer_errc::refused) || code == "too_many_connections")
        return peer_errc::refused;
    if (response.status == 421)
        return peer_errc::not_connected; // another host has this address now
    return peer_errc::bad_response;
}

} // namespace

http_peer_client::http_peer_client(http_client& client, executor& callbacks,
                                   const http_peer_client_settings& settings)
    : client_{client}, callbacks_{callbacks}, settings_{settings}
{
}

template <typename Value, typename Decode>
void http_peer_client::call(const peer_endpoint& peer, std::string_view path, std::string body,
                            duration timeout, std::function<void(tl::expected<Value, peer_errc>)> done,
                            Decode decode)
{
    http_request request;
    request.method = "POST";
    request.path = std::string{path};
    request.headers["content-type"] = "application/cbor";
    request.headers[std::string{peer_to_header}] = peer.id.str();
    request.body = std::move(body);
    executor& callbacks = callbacks_;
    client_.send({peer.address, peer.port}, std::move(request), timeout,
                 [&callbacks, done = std::move(done),
                  decode = std::move(decode)](tl::expected<http_response, http_errc> reply) mutable {
                     tl::expected<Value, peer_errc> result{tl::unexpected{peer_errc::bad_response}};
                     if (!reply) {
                         result = tl::unexpected{to_peer_errc(reply.error())};
                     } else if (reply->status != 200) {
                         result = tl::unexpected{refusal_of(*reply)};
                     } else {
                         tl::expected<Value, codec_errc> value = decode(std::move(reply->body));
                         if (value)
                             result = std::move(*value);
                     }
                     callbacks.post([done = std::move(done), result = std::move(result)] { done(result); });
                 });
}

void http_peer_client::forward(const peer_endpoint& peer, const forwarded_request& message,
                               outcome_callback done)
{
    call<outcome>(peer, peer_forward_path, encode_forwarded_request(message), settings_.forward_timeout,
                  std::move(done),
                  [id = message.work.id](const std::string& body) { return decode_outcome(body, id); });
}

void http_peer_client::cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request,
                              outcome_callback done)
{
    call<outcome>(peer, peer_cancel_path, encode_cancel({shard, request}), settings_.control_timeout,
                  std::move(done),
                  [request](const std::string& body) { return decode_outcome(body, request); });
}

void http_peer_client::exchange_status(const peer_endpoint& peer, const std::string& message,
                                       message_callback done)
{
    call<std::string>(
        peer, peer_status_path, message, settings_.control_timeout, std::move(done),
        [](std::string body) { return tl::expected<std::string, codec_errc>{std::move(body)}; });
}

} // namespace mjm
