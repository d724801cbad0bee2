#include "kernel/program_options.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace mjm;

namespace {

struct test_settings {
    std::int64_t port = 1;
};

struct run_result {
    int code = -1;
    bool ran = false;
    std::string team;
};

run_result run(
    std::vector<const char*> args, const std::function<int()>& body = [] { return 0; },
    presence port_presence = presence::optional)
{
    settings_schema<test_settings> schema;
    schema.integer("port", &test_settings::port, 1, 2, "Port.", port_presence);
    run_result result;
    program_options options{{"test", "1.2", "Test program."}};
    options.text("--team", result.team, "Team.");
    args.insert(args.begin(), "test");
    result.code =
        run_program(options, schema, static_cast<int>(args.size()), args.data(), [&](const test_settings&) {
            result.ran = true;
            return body();
        });
    return result;
}

} // namespace

TEST_CASE("the exit code tells settings errors from runtime failures")
{
    CHECK(run({}).code == exit_success);
    CHECK(run({}, [] { return exit_runtime_failure; }).code == exit_runtime_failure);
    CHECK(run({}, []() -> int { throw std::runtime_error("no port"); }).code == exit_runtime_failure);
    CHECK(run({"--settings", "/nonexistent"}).code == exit_settings_error);
    CHECK(run({"--no-such-option"}).code == exit_settings_error);
    CHECK(run(
              {}, [] { return 0; }, presence::required)
              .code == exit_settings_error);
}

TEST_CASE("informational options succeed without running the program")
{
    for (const char* option : {"--help", "--version", "--check-settings", "--settings-table"}) {
        const run_result result = run({option});
        CHECK(result.code == exit_success);
        CHECK_FALSE(result.ran);
    }
}

TEST_CASE("a program's own option reaches its variable")
{
    const run_result result = run({"--team", "red"});
    CHECK(result.ran);
    CHECK(result.team == "red");
}
