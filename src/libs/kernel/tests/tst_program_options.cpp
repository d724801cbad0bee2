#include "kernel/program_options.h"

#include <catch2/catch.hpp>

#include <stdexcept>
#include <utility>
#include <vector>

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

TEST_CASE("a program that accepts errors runs with the settings that can be used")
{
    settings_schema<test_settings> schema;
    schema.integer("port", &test_settings::port, 2, 3, "Port.", presence::expected);
    const auto run_with = [&schema](std::vector<const char*> args) {
        args.insert(args.begin(), "test");
        program_options options{{"test", "1.2", "Test program."}};
        std::size_t found = 0;
        const int code = run_program(options, schema, static_cast<int>(args.size()), args.data(),
                                     [&found](const test_settings& s, const settings_errors& errors) {
                                         found = errors.size();
                                         return s.port == 1 ? exit_success : exit_runtime_failure;
                                     });
        return std::pair{code, found};
    };
    CHECK(run_with({}) == std::pair{exit_success, std::size_t{1}});
    CHECK(run_with({"--check-settings"}) == std::pair{exit_settings_error, std::size_t{0}});
    CHECK(run_with({"--settings", "/nonexistent"}) == std::pair{exit_settings_error, std::size_t{0}});
}
