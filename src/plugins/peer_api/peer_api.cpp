#include "peer_api/peer_api.h"

#include "net/http_code.h"
#include "platform/error_body.h"
#include "platform/peer_codec.h"

namespace mjm {

namespace {

http_response cbor_response(std::string body)
{
    http_response response;
    response.content_type = "application/cbor";
    response.body = std::move(body);
    return response;
}

} // namespace

void peer_api::handle(const http_request& request, responder respond)
{
    if (request.header(peer_to_header) != self_.str())
        respond(error_response(http_code::misdirected_request, "wrong_host", self_.str()));
    else if (request.path == peer_forward_path)
        forward(request, std::move(respond));
    else if (request.path == peer_cancel_path)
        cancel(request, std::move(respond));
    else if (request.path == peer_status_path)
        respond(cbor_response(node_.on_status(request.body)));
    else
        respond(error_response(http_code::not_found, "not_found", request.path));
}

void peer_api::forward(const http_request& request, responder respond)
{
    const tl::expected<forwarded_request, codec_errc> message = decode_forwarded_request(request.body);
    if (!message) {
        respond(error_response(http_code::bad_request, "malformed"));
        return;
    }
    const request_id id = message->work.id;
    node_.on_forward(*message, [id, respond = std::move(respond)](const outcome& result) {
        respond(cbor_response(encode_outcome(id, result)));
    });
}

void peer_api::cancel(const http_request& request, responder respond)
{
    const tl::expected<cancel_message, codec_errc> message = decode_cancel(request.body);
    if (!message) {
        respond(error_response(http_code::bad_request, "malformed"));
        return;
    }
    const request_id id = message->request;
    node_.on_cancel(message->shard, id, [id, respond = std::move(respond)](const outcome& result) {
        respond(cbor_response(encode_outcome(id, result)));
    });
}

} // namespace mjm
