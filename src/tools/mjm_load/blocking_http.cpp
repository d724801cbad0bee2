#include "blocking_http.h"

#include <charconv>
#include <future>
#include <limits>
#include <memory>

namespace mjm {

namespace {

constexpr duration call_timeout{std::chrono::seconds{10}};

} // namespace

std::optional<http_endpoint> parse_endpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    unsigned port = 0;
    const std::string_view digits = text.substr(colon + 1);
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size() || port == 0 ||
        port > std::numeric_limits<std::uint16_t>::max())
        return std::nullopt;
    return http_endpoint{std::string{text.substr(0, colon)}, static_cast<std::uint16_t>(port)};
}

blocking_http::blocking_http() : client_{runtime_, http_client_settings{}}
{
    runtime_.start();
}

tl::expected<http_response, http_errc> blocking_http::call(const http_endpoint& to, std::string method,
                                                           std::string path, std::string body)
{
    http_request request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    return call(to, std::move(request));
}

tl::expected<http_response, http_errc> blocking_http::call(const http_endpoint& to, http_request request)
{
    using result = tl::expected<http_response, http_errc>;
    const std::shared_ptr<std::promise<result>> answer = std::make_shared<std::promise<result>>();
    std::future<result> waiting = answer->get_future();
    client_.send(to, std::move(request), call_timeout,
                 [answer](result r) { answer->set_value(std::move(r)); });
    return waiting.get();
}

} // namespace mjm
