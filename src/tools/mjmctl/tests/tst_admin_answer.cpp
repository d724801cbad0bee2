#include "admin_answer.h"

#include <catch2/catch.hpp>

using namespace mjm;

TEST_CASE("guards against an answer that is not the API's being taken for one")
{
    CHECK_FALSE(decode_answer(200, "<html>"));
    CHECK_FALSE(decode_answer(200, "[]"));
    CHECK_FALSE(decode_answer(200, R"({"outcome": "accepted"})"));
    CHECK_FALSE(decode_answer(200, R"({"outcome": 1})"));
    CHECK_FALSE(decode_answer(409, R"({"outcome": "not_applied"})"));
    CHECK_FALSE(decode_answer(409, R"({"error": "busy"})"));
    CHECK_FALSE(decode_answer(422, R"({"error": {"code": "invalid", "errors": [{"rule": "name"}]}})"));
}

TEST_CASE("guards against losing the version or a broken rule of an answer")
{
    const auto accepted = decode_answer(200, R"({"outcome": "accepted", "version": 12})");
    REQUIRE(accepted);
    CHECK(accepted->version == 12);
    CHECK(accepted->outcome == "accepted");
    const auto refused = decode_answer(422, R"({"outcome": "not_applied", "error": {"code": "invalid",
        "detail": "", "current_version": 7, "errors": [
        {"rule": "budget", "pointer": "/pools/main/min_available", "detail": "2 of 3"},
        {"rule": "range", "pointer": "/teams/red/share", "detail": "must be above 0"}]}})");
    REQUIRE(refused);
    CHECK(describe_error(*refused) == "invalid (version in force: 7)\n"
                                      "  budget at /pools/main/min_available: 2 of 3\n"
                                      "  range at /teams/red/share: must be above 0");
}

TEST_CASE("guards against an exit code that tells scripts the wrong outcome")
{
    const auto code = [](int status) {
        const std::string body =
            status < 400 ? R"({"outcome": "open"})" : R"({"error": {"code": "c", "detail": "d"}})";
        return exit_code_of(decode_answer(status, body).value());
    };
    CHECK(code(200) == ctl_exit::done);
    CHECK(code(201) == ctl_exit::done);
    CHECK(code(202) == ctl_exit::outcome_unknown);
    for (const int status : {400, 401, 403, 404, 405, 409, 413, 422})
        CHECK(code(status) == ctl_exit::refused);
    CHECK(code(500) == ctl_exit::failed);
    CHECK(code(503) == ctl_exit::failed);
    // The numbers are documented for scripts.
    CHECK(static_cast<int>(ctl_exit::done) == 0);
    CHECK(static_cast<int>(ctl_exit::failed) == 1);
    CHECK(static_cast<int>(ctl_exit::usage) == 2);
    CHECK(static_cast<int>(ctl_exit::refused) == 3);
    CHECK(static_cast<int>(ctl_exit::timed_out) == 4);
    CHECK(static_cast<int>(ctl_exit::outcome_unknown) == 5);
}
