#include "net/http_message.h"
#include "net/url.h"

#include <catch2/catch.hpp>

using namespace mjm;

TEST_CASE("guards against paths and queries that change on the way")
{
    const std::string path = "/v1/a b/ü%/x";
    const std::map<std::string, std::string> query{{"key", "members/h&1=+"}, {"empty", ""}};
    const std::optional<url_target> parsed = parse_url_target(format_url_target(path, query));
    REQUIRE(parsed);
    CHECK(parsed->path == path);
    CHECK(parsed->query == query);
}

TEST_CASE("guards against malformed request targets reaching a handler")
{
    for (const char* text : {"", "x", "*", "/%", "/%4", "/%zz", "/%00", "/a?b=%f"})
        CHECK_FALSE(parse_url_target(text));
}

TEST_CASE("guards against a wrong split of the path")
{
    http_request request;
    request.path = "/v1/services/lens";
    CHECK(request.path_segments() == std::vector<std::string>{"v1", "services", "lens"});
    request.path = "/";
    CHECK(request.path_segments().empty());
}
