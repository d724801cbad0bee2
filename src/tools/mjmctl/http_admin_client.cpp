#include "http_admin_client.h"

#include <future>
#include <utility>

namespace mjm {

http_admin_client::http_admin_client(std::vector<http_endpoint> servers, std::string key, duration timeout)
    : servers_{std::move(servers)}, key_{std::move(key)}, timeout_{timeout},
      client_{std::make_unique<http_client>(runtime_, http_client_settings{})}
{
    runtime_.start();
}

http_admin_client::~http_admin_client() = default;

std::string http_admin_client::server_name(std::size_t server) const
{
    const http_endpoint& endpoint = servers_.at(server);
    const bool v6 = endpoint.address.find(':') != std::string::npos;
    return (v6 ? "[" + endpoint.address + "]" : endpoint.address) + ":" + std::to_string(endpoint.port);
}

tl::expected<admin_answer, send_failure> http_admin_client::send(std::size_t server, const admin_call& call)
{
    http_request request;
    request.method = call.method;
    request.path = call.path;
    request.query = call.query;
    if (!call.body.is_null()) {
        request.headers["content-type"] = "application/json";
        request.body = call.body.dump();
    }
    if (!key_.empty() && call.path.starts_with("/admin/"))
        request.headers["authorization"] = "Bearer " + key_;

    using result = tl::expected<http_response, http_errc>;
    const auto promise = std::make_shared<std::promise<result>>();
    std::future<result> arrived = promise->get_future();
    client_->send(servers_.at(server), std::move(request), timeout_,
                  [promise](result r) { promise->set_value(std::move(r)); });
    const result response = arrived.get();
    if (!response) {
        const bool not_sent =
            response.error() == http_errc::not_connected || response.error() == http_errc::too_many;
        return tl::unexpected{not_sent ? send_failure::not_sent : send_failure::lost};
    }
    std::optional<admin_answer> answer = decode_answer(response->status, response->body);
    if (!answer)
        return tl::unexpected{send_failure::lost};
    return std::move(*answer);
}

} // namespace mjm
