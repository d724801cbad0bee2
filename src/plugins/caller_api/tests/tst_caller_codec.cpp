#include "caller_api/caller_codec.h"

#include <catch2/catch.hpp>

using namespace mjm;

namespace {

std::string pointer_of(const char* body)
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

TEST_CASE("guards against malformed submissions that are accepted or blamed on the wrong member")
{
    CHECK(pointer_of("{}") == "accepted");
    CHECK(pointer_of("not json").empty());
    CHECK(pointer_of("[]").empty());
    CHECK(pointer_of(R"({"idempotnt":true})") == "/idempotnt");
    CHECK(pointer_of(R"({"idempotent":"yes"})") == "/idempotent");
    CHECK(pointer_of(R"({"timeout_ms":0})") == "/timeout_ms");
    CHECK(pointer_of(R"({"timeout_ms":18446744073709551615})") == "/timeout_ms");
    CHECK(pointer_of(R"({"timeout_ms":1.5})") == "/timeout_ms");
    CHECK(pointer_of(R"({"priority":"now"})") == "/priority");
    CHECK(pointer_of(R"({"idempotent":true,"ticket":"t1~x"})") == "/ticket");
    CHECK(pointer_of(R"({"resources":{"milli_cpu":-1}})") == "/resources/milli_cpu");
    CHECK(pointer_of(R"({"resources":{"slots":1}})") == "/resources/slots");
}

TEST_CASE("guards against an answer that is not UTF-8 reaching its caller changed")
{
    CHECK(encode_answer(completed("plain")).body.find(R"("result":"plain")") != std::string::npos);
    const http_response binary = encode_answer(completed("\xff\xfe"));
    CHECK(binary.status == 200);
    CHECK(binary.body.find(R"("result_base64":"//4=")") != std::string::npos);
}

TEST_CASE("guards against a refused call that reads like an outcome of the request")
{
    caller_answer refused;
    refused.result = outcome{outcome_kind::refused_not_run, reason::key_invalid, duration{0}, {}};
    refused.call_refused = true;
    const http_response response = encode_answer(refused);
    CHECK(response.status == 401);
    CHECK(response.body.find("outcome") == std::string::npos);
    CHECK(response.body.find("key_invalid") != std::string::npos);
}
