#include "caller_api/caller_codec.h"

#include <catch2/catch.hpp>

using namespace mjm;

namespace {

std::string error_pointer(const char* body)
{
    const tl::expected<caller_request, bad_input> result = decode_submission(body);
    return result ? "accepted" : result.error().pointer;
}

caller_answer completed(std::string body)
{
    caller_answer answer;
    answer.id = request_id{"s@z~t~1"};
    answer.result = outcome{outcome_kind::completed, reason::none, duration{0}, std::move(body)};
    return answer;
}

} // namespace

// Guards against malformed submissions that are accepted, or whose error names another member.
TEST_CASE("a malformed submission is rejected with a pointer to the member at fault")
{
    CHECK(error_pointer("{}") == "accepted");
    CHECK(error_pointer("not json").empty());
    CHECK(error_pointer("[]").empty());
    CHECK(error_pointer(R"({"idempotnt":true})") == "/idempotnt");
    CHECK(error_pointer(R"({"idempotent":"yes"})") == "/idempotent");
    CHECK(error_pointer(R"({"timeout_ms":0})") == "/timeout_ms");
    CHECK(error_pointer(R"({"timeout_ms":18446744073709551615})") == "/timeout_ms");
    CHECK(error_pointer(R"({"timeout_ms":1.5})") == "/timeout_ms");
    CHECK(error_pointer(R"({"priority":"now"})") == "/priority");
    CHECK(error_pointer(R"({"idempotent":true,"ticket":"t1~x"})") == "/ticket");
    CHECK(error_pointer(R"({"resources":{"milli_cpu":-1}})") == "/resources/milli_cpu");
    CHECK(error_pointer(R"({"resources":{"slots":1}})") == "/resources/slots");
}

// Guards against a result that is changed on its way to the caller because it is not UTF-8.
TEST_CASE("a result that is not UTF-8 reaches the caller unchanged as base64")
{
    CHECK(encode_answer(completed("plain")).body.find(R"("result":"plain")") != std::string::npos);
    const http_response binary = encode_answer(completed("\xff\xfe"));
    CHECK(binary.status == 200);
    CHECK(binary.body.find(R"("result_base64":"//4=")") != std::string::npos);
}

// Guards against callers that take the refusal of a call, such as a look-up, for the outcome of a request.
TEST_CASE("the answer to a refused call does not read like an outcome of the request")
{
    caller_answer refused;
    refused.result = outcome{outcome_kind::refused_not_run, reason::key_invalid, duration{0}, {}};
    refused.call_refused = true;
    const http_response response = encode_answer(refused);
    CHECK(response.status == 401);
    CHECK(response.body.find("outcome") == std::string::npos);
    CHECK(response.body.find("key_invalid") != std::string::npos);
}
