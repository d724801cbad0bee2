#include "platform/http_target_client.h"

#include "platform/store_codec.h"
#include "platform/target_codec.h"

#include <utility>

namespace mjm {

namespace {

target_errc to_target_errc(http_errc ec)
{
    switch (ec) {
    case http_errc::not_connected:
    case http_errc::too_many:
    case http_errc::expired:
        return target_errc::not_connected;
    case http_errc::connection_lost:
        return target_errc::connection_lost;
    case http_errc::timed_out:
        return target_errc::timed_out;
    case http_errc::bad_response:
        break;
    }
    return target_errc::bad_response;
}

http_request post_request(std::string_view path, std::string body)
{
    http_request request;
    request.method = "POST";
    request.path = std::string{path};
    request.headers["content-type"] = "application/cbor";
    request.body = std::move(body);
    return request;
}

} // namespace

http_target_client::http_target_client(http_client& client, executor& callbacks,
                                       http_target_client_settings settings)
    : client_{client}, callbacks_{callbacks}, settings_{std::move(settings)}
{
}

template <typename Value, typename Decode>
void http_target_client::call(const target_endpoint& target, http_request request, duration timeout,
                              std::function<void(tl::expected<Value, target_errc>)> done, Decode decode)
{
    request.headers[std::string{target_to_header}] = target.id.str();
    request.headers[std::string{client_header}] = settings_.client_name;
    executor& callbacks = callbacks_;
    client_.send({target.address, target.port}, std::move(request), timeout,
                 [&callbacks, done = std::move(done),
                  decode = std::move(decode)](tl::expected<http_response, http_errc> reply) mutable {
                     tl::expected<Value, target_errc> result{tl::unexpected{target_errc::bad_response}};
                     if (!reply) {
                         result = tl::unexpected{to_target_errc(reply.error())};
                     } else if (const std::optional<target_errc> refused = decode_refusal(*reply)) {
                         result = tl::unexpected{*refused};
                     } else if (reply->status == 200) {
                         tl::expected<Value, codec_errc> value = decode(std::move(*reply));
                         if (value)
                             result = std::move(*value);
                     }
                     callbacks.post([done = std::move(done), result = std::move(result)] { done(result); });
                 });
}

void http_target_client::challenge(const target_endpoint& target, challenge_callback done)
{
    call<target_challenge>(target, post_request(target_challenge_path, {}), settings_.control_timeout,
                           std::move(done),
                           [id = target.id](const http_response& r) { return decode_challenge(r.body, id); });
}

void http_target_client::open_lease(const target_endpoint& target, const lease_token& token,
                                    const std::string& challenge, duration ttl, lease_callback done)
{
    call<lease_grant>(target, post_request(target_lease_path, encode_open_lease({token, challenge, ttl})),
                      settings_.control_timeout, std::move(done),
                      [id = target.id](const http_response& r) { return decode_grant(r.body, id); });
}

void http_target_client::renew(const target_endpoint& target, const lease_token& token, renew_callback done)
{
    call<usage_report>(target, post_request(target_renew_path, encode_renew(token)),
                       settings_.control_timeout, std::move(done),
                       [id = target.id](const http_response& r) { return decode_usage(r.body, id); });
}

void http_target_client::start(const target_endpoint& target, const lease_token& token,
                               const start_order& order, result_callback done)
{
    call<task_result>(target, post_request(target_start_path, encode_start({token, order})),
                      settings_.task_timeout, std::move(done),
                      [task = order.task](http_response r) { return decode_result(std::move(r), task); });
}

void http_target_client::fetch(const target_endpoint& target, const task_id& task, result_callback done)
{
    http_request request;
    request.method = "GET";
    request.path = std::string{target_result_path};
    request.query["task"] = task.str();
    call<task_result>(target, std::move(request), settings_.task_timeout, std::move(done),
                      [task](http_response r) { return decode_result(std::move(r), task); });
}

void http_target_client::stop(const target_endpoint& target, const lease_token& token, const task_id& task,
                              stop_callback done)
{
    call<task_state>(
        target, post_request(target_stop_path, encode_stop({token, task})), settings_.control_timeout,
        std::move(done),
        [id = target.id, task](const http_response& r) { return decode_stopped(r.body, id, task); });
}

} // namespace mjm
