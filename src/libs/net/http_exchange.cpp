#include "net/http_exchange.h"

#include "net/header_text.h"

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <iterator>

namespace mjm {

namespace {

namespace http = boost::beast::http;

// The body is copied once while it is decoded.
constexpr std::size_t copies_of_body = 2;
// Memory of a header field or a query parameter beside its text: nodes of the containers and strings.
constexpr std::size_t bytes_per_field = 256;
constexpr std::size_t bytes_per_request = 1024;
constexpr const char* retry_after_s = "1";

} // namespace

http_response error_response(const request_error& e)
{
    http_response response;
    response.status = e.status;
    response.body = R"({"error": {"code": ")" + std::string{e.code} + R"(", "detail": ")" +
                    std::string{e.detail} + "\"}}";
    if (e.status == 503)
        response.headers.emplace_back("retry-after", retry_after_s);
    return response;
}

request_error describe(boost::system::error_code ec)
{
    if (ec == http::error::header_limit)
        return {431, "header_too_large", "the request header exceeds the limit",
                refusal_reason::header_too_large};
    if (ec == http::error::body_limit)
        return {413, "body_too_large", "the request body exceeds the limit", refusal_reason::body_too_large};
    if (ec == http::error::partial_message)
        return {400, "incomplete_request", "the connection ended within the request"};
    return {400, "malformed_request", "the request is not valid HTTP/1.1"};
}

std::shared_ptr<answer_slot> make_error_slot(const request_error& e)
{
    std::shared_ptr<answer_slot> slot = std::make_shared<answer_slot>();
    slot->response = error_response(e);
    slot->close = true;
    slot->ready = true;
    return slot;
}

std::shared_ptr<answer_slot> make_continue_slot()
{
    std::shared_ptr<answer_slot> slot = std::make_shared<answer_slot>();
    slot->interim = true;
    slot->ready = true;
    slot->head = "HTTP/1.1 100 Continue\r\n\r\n";
    return slot;
}

void format_head(answer_slot& slot)
{
    const http_response& r = slot.response;
    const bool no_body = r.status == 204 || r.status == 304;
    std::string& out = slot.head;
    out = slot.http_1_0 ? "HTTP/1.0 " : "HTTP/1.1 ";
    out += std::to_string(r.status) + " ";
    out += std::string_view{http::obsolete_reason(http::int_to_status(static_cast<unsigned>(r.status)))};
    out += "\r\n";
    if (!no_body) {
        out += "content-type: " + r.content_type + "\r\n";
        out += "content-length: " + std::to_string(r.body.size()) + "\r\n";
    }
    for (const auto& [name, value] : r.headers) {
        append_header(out, name, value);
    }
    if (slot.close)
        out += "connection: close\r\n";
    else if (slot.http_1_0)
        out += "connection: keep-alive\r\n";
    out += "\r\n";
    if (no_body || slot.head_only)
        slot.response.body.clear();
}

std::size_t bytes_of_request(const request_parser& parser, std::size_t max_header)
{
    const request_parser::value_type& message = parser.get();
    std::size_t n = bytes_per_request;
    for (const auto& field : message)
        n += bytes_per_field + field.name_string().size() + field.value().size();
    std::size_t body = message.body().capacity();
    if (!parser.is_header_done())
        n += max_header;
    else if (parser.content_length())
        body = std::max(body, static_cast<std::size_t>(*parser.content_length()));
    return n + copies_of_body * body;
}

bool has_too_many_fields(const request_parser& parser, std::size_t limit)
{
    const request_parser::value_type& message = parser.get();
    const auto fields = static_cast<std::size_t>(std::distance(message.begin(), message.end()));
    const auto parameters =
        static_cast<std::size_t>(std::count(message.target().begin(), message.target().end(), '&'));
    return std::max(fields, parameters) > limit;
}

http_request to_request(request_parser::value_type message, const url_target& target)
{
    http_request request;
    request.method = std::string{message.method_string()};
    request.path = target.path;
    request.query = target.query;
    for (const auto& field : message) {
        std::string& value = request.headers[lower_case(field.name_string())];
        if (!value.empty())
            value += ", ";
        value += std::string_view{field.value().data(), field.value().size()};
    }
    request.body = std::move(message.body());
    return request;
}

} // namespace mjm
