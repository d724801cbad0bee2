#include "platform/http_kv_store.h"

#include "platform/store_codec.h"

#include <utility>

namespace mjm {

namespace {

http_request make_request(std::string method, std::string_view path)
{
    http_request request;
    request.method = std::move(method);
    request.path = std::string{path};
    return request;
}

tl::expected<void, store_errc> decode_done(const http_response& response)
{
    if (response.status != 204)
        return tl::unexpected{decode_store_error(response)};
    return {};
}

} // namespace

http_kv_store::http_kv_store(http_client& client, executor& callbacks, platform_endpoint service)
    : client_{client}, callbacks_{callbacks}, service_{std::move(service)}
{
}

template <typename Value, typename Decode>
void http_kv_store::call(http_request request, std::function<void(tl::expected<Value, store_errc>)> done,
                         Decode decode)
{
    request.headers[std::string{client_header}] = service_.client_name;
    executor& callbacks = callbacks_;
    client_.send(service_.endpoint, std::move(request), service_.timeout,
                 [&callbacks, done = std::move(done),
                  decode = std::move(decode)](tl::expected<http_response, http_errc> reply) mutable {
                     tl::expected<Value, store_errc> result{tl::unexpected{store_errc::bad_response}};
                     if (reply)
                         result = decode(std::move(*reply));
                     else
                         result = tl::unexpected{to_store_errc(reply.error())};
                     callbacks.post([done = std::move(done), result = std::move(result)] { done(result); });
                 });
}

void http_kv_store::get(const std::string& key, store_revision known, get_callback done)
{
    http_request request = make_request("GET", store_key_path);
    request.query["key"] = key;
    if (known != 0)
        request.query["known"] = std::to_string(known);
    call<kv_read>(std::move(request), std::move(done),
                  [key](http_response r) { return decode_read(key, std::move(r)); });
}

void http_kv_store::put(const kv_write& write, put_callback done)
{
    http_request request = make_request("PUT", store_key_path);
    request.query["key"] = write.key;
    if (write.expected)
        request.query["expected"] = std::to_string(*write.expected);
    if (write.lease != 0)
        request.query["lease"] = std::to_string(write.lease);
    request.body = write.value;
    call<store_revision>(std::move(request), std::move(done), decode_number);
}

void http_kv_store::erase(const std::string& key, std::optional<store_revision> expected, erase_callback done)
{
    http_request request = make_request("DELETE", store_key_path);
    request.query["key"] = key;
    if (expected)
        request.query["expected"] = std::to_string(*expected);
    call<void>(std::move(request), std::move(done), decode_done);
}

void http_kv_store::list(const std::string& prefix, list_callback done)
{
    http_request request = make_request("GET", store_list_path);
    request.query["prefix"] = prefix;
    call<std::vector<kv_entry>>(std::move(request), std::move(done), decode_entries);
}

void http_kv_store::grant_lease(duration ttl, lease_callback done)
{
    http_request request = make_request("POST", store_lease_path);
    request.query["ttl_us"] = std::to_string(ttl.count());
    call<store_lease_id>(std::move(request), std::move(done), decode_number);
}

void http_kv_store::keep_alive(store_lease_id lease, erase_callback done)
{
    http_request request = make_request("POST", store_keep_alive_path);
    request.query["lease"] = std::to_string(lease);
    call<void>(std::move(request), std::move(done), decode_done);
}

} // namespace mjm
