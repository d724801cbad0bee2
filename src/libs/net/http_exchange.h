#pragma once

#include "net/connection_admission.h"
#include "net/http_message.h"
#include "net/url.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

// Parts of the HTTP server that concern one request and its answer.

namespace mjm {

using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

/// Error that the server itself answers.
struct request_error {
    int status = 400;
    std::string_view code;
    std::string_view detail;
    refusal_reason reason = refusal_reason::malformed;
};

inline constexpr request_error memory_full_error{
    503, "memory_full", "the server's memory for requests is in use", refusal_reason::memory_full};

[[nodiscard]] http_response error_response(const request_error& e);
/// Describes an error of the parser.
[[nodiscard]] request_error describe(boost::system::error_code ec);

/// Place of one answer in the order of a connection.
struct answer_slot {
    bool interim = false; ///< `100 Continue`.
    bool ready = false;
    bool close = false; ///< The connection ends after this answer.
    bool head_only = false;
    bool http_1_0 = false;
    http_response response;
    std::string head;
};

/// Returns an answer that ends its connection.
[[nodiscard]] std::shared_ptr<answer_slot> make_error_slot(const request_error& e);
[[nodiscard]] std::shared_ptr<answer_slot> make_continue_slot();

/// Writes the head of the answer, and removes a body that must not be sent.
void format_head(answer_slot& slot);

/// Memory that the request needs until it is answered, as far as it has been read or announced.
[[nodiscard]] std::size_t bytes_of_request(const request_parser& parser, std::size_t max_header);
/// Whether the request has more header fields or parameters than `limit`; each costs a multiple of its text.
[[nodiscard]] bool has_too_many_fields(const request_parser& parser, std::size_t limit);
[[nodiscard]] http_request to_request(request_parser::value_type message, const url_target& target);

} // namespace mjm
