#include "platform/http_host_list.h"

#include "platform/store_codec.h"

#include <utility>

namespace mjm {

http_host_list::http_host_list(http_client& client, executor& callbacks, platform_endpoint service)
    : client_{client}, callbacks_{callbacks}, service_{std::move(service)}
{
}

void http_host_list::read(read_callback done)
{
    http_request request;
    request.method = "GET";
    request.path = std::string{host_list_path};
    request.headers[std::string{client_header}] = service_.client_name;
    executor& callbacks = callbacks_;
    client_.send(service_.endpoint, std::move(request), service_.timeout,
                 [&callbacks, done = std::move(done)](const tl::expected<http_response, http_errc>& reply) {
                     tl::expected<std::vector<listed_host>, store_errc> result =
                         reply ? decode_hosts(*reply) : tl::unexpected{to_store_errc(reply.error())};
                     callbacks.post([done, result = std::move(result)] { done(result); });
                 });
}

} // namespace mjm
