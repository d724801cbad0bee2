#include "blocking_http.h"
#include "kernel/program_options.h"
#include "load_config.h"
#include "load_overhead.h"
#include "load_report.h"
#include "load_run.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>

using namespace mjm;

namespace {

constexpr int exit_violation = 3;

struct command_line {
    load_config_settings config;
    load_settings run;
    overhead_settings overhead;
    std::string plan_file;
    std::string requests_file;
    std::vector<std::string> entries;
    std::vector<std::string> teams{"ann:1:12", "bob:1:12", "cat:2:20", "dan:1:12"};
    std::string store = "127.0.0.1:8500";
    std::string platform_admin = "127.0.0.1:8501";
    std::string target;
    double seconds = 30.0;
    bool json = false;
};

fleet_plan read_plan(const std::string& file)
{
    std::ostringstream text;
    text << std::ifstream{file}.rdbuf();
    const std::optional<fleet_plan> plan = decode_plan(text.str());
    if (!plan || plan->teams.empty() || plan->services.empty())
        throw CLI::ValidationError{"--plan", file + " is not a plan with teams and services"};
    return *plan;
}

http_endpoint endpoint_option(const std::string& name, const std::string& text)
{
    const std::optional<http_endpoint> endpoint = parse_endpoint(text);
    if (!endpoint)
        throw CLI::ValidationError{name, "found \"" + text + "\", allowed address:port"};
    return *endpoint;
}

int run_command(command_line& line)
{
    line.run.plan = read_plan(line.plan_file);
    for (const std::string& it : line.entries)
        line.run.entries.push_back(endpoint_option("--entry", it));
    line.run.length = duration{static_cast<std::int64_t>(line.seconds * 1e6)};
    if (line.run.max_run_ms < line.run.min_run_ms)
        throw CLI::ValidationError{"--max-run-ms", "below --min-run-ms"};
    const load_result result = run_load(line.run);
    const std::vector<violation> found = check_load(result.history);
    if (!line.requests_file.empty() && !(std::ofstream{line.requests_file} << request_lines(result)).flush())
        throw std::runtime_error{line.requests_file + " cannot be written"};
    std::cout << (line.json ? json_report(result, found) : text_report(result, found));
    return found.empty() ? exit_success : exit_violation;
}

int config_command(command_line& line)
{
    line.config.store = endpoint_option("--store", line.store);
    line.config.platform_admin = endpoint_option("--platform-admin", line.platform_admin);
    for (const std::string& text : line.teams) {
        const std::optional<plan_team> team = parse_plan_team(text);
        if (!team)
            throw CLI::ValidationError{"--team", "found \"" + text + "\", allowed name:share:limit"};
        line.config.teams.push_back(*team);
    }
    line.config.plan_file = line.plan_file;
    return write_first_config(line.config);
}

int overhead_command(command_line& line)
{
    line.overhead.plan = read_plan(line.plan_file);
    line.overhead.entry = endpoint_option("--entry", line.entries.front());
    line.overhead.target = endpoint_option("--target", line.target);
    line.overhead.json = line.json;
    return measure_overhead(line.overhead);
}

void add_config_options(CLI::App& command, command_line& line)
{
    command.add_option("--store", line.store, "Platform service")->capture_default_str();
    command.add_option("--platform-admin", line.platform_admin, "Admin port of the platform stand-in")
        ->capture_default_str();
    command.add_option("--plan", line.plan_file, "File that the plan is written to");
    command.add_option("--zones", line.config.zones, "Availability zones z1, z2 and so on")
        ->check(CLI::Range(1, 20))
        ->capture_default_str();
    command.add_option("--targets-per-shard", line.config.targets_per_shard, "Targets per service and zone")
        ->check(CLI::Range(1, 200))
        ->capture_default_str();
    command.add_option("--slots", line.config.slots, "Slots of each target")
        ->check(CLI::Range(1, 1024))
        ->capture_default_str();
    command.add_option("--first-port", line.config.first_port, "Port of the first target")
        ->check(CLI::Range(1, 65535))
        ->capture_default_str();
    command.add_option("--target-address", line.config.target_address, "IP address of the targets")
        ->check(CLI::ValidIPV4)
        ->capture_default_str();
    command
        .add_option("--id-prefix", line.config.id_prefix, "Target identifiers are this prefix and an index")
        ->capture_default_str();
    command.add_option("--service", line.config.services, "Services, each with its own pool")
        ->capture_default_str();
    command.add_option("--team", line.teams, "Teams as name:share:limit; the key is key-name")
        ->capture_default_str();
}

void add_run_options(CLI::App& command, command_line& line)
{
    const CLI::Range part{0.0, 1.0};
    load_settings& run = line.run;
    command.add_option("--plan", line.plan_file, "Plan written by make-config")->required();
    command.add_option("--entry", line.entries, "Callers' ports of the entry hosts, address:port")
        ->required();
    command.add_option("--seconds", line.seconds, "Length of the load")
        ->check(CLI::Range(0.1, 86'400.0))
        ->capture_default_str();
    command.add_option("--count", run.max_requests, "Most requests")
        ->check(CLI::Range(1, 10'000'000))
        ->capture_default_str();
    command.add_option("--rate", run.rate, "Mean requests per second of each team")
        ->check(CLI::Range(0.01, 10'000.0))
        ->capture_default_str();
    command.add_option("--peak", run.peak_factor, "Demand of a team in its turn, as a multiple of the mean")
        ->check(CLI::Range(1.0, 100.0))
        ->capture_default_str();
    command.add_option("--non-idempotent", run.non_idempotent, "Part of the requests")
        ->check(part)
        ->capture_default_str();
    command.add_option("--urgent", run.urgent, "Part of the requests")->check(part)->capture_default_str();
    command.add_option("--asynchronous", run.asynchronous, "Part of the requests")
        ->check(part)
        ->capture_default_str();
    command.add_option("--cancelled", run.cancelled, "Part of the asynchronous requests")
        ->check(part)
        ->capture_default_str();
    command.add_option("--min-run-ms", run.min_run_ms, "Shortest run time")
        ->check(CLI::Range(0, 3'600'000))
        ->capture_default_str();
    command.add_option("--max-run-ms", run.max_run_ms, "Longest run time")
        ->check(CLI::Range(0, 3'600'000))
        ->capture_default_str();
    command.add_option("--max-echo", run.max_echo, "Longest payload text and padding, in bytes")
        ->check(CLI::Range(0, 500'000))
        ->capture_default_str();
    command.add_option("--seed", run.seed, "Seed of the load")->capture_default_str();
    command.add_option("--requests-file", line.requests_file, "File for one JSON line for each request");
    command.add_flag("--json", line.json, "Report as JSON");
}

void add_overhead_options(CLI::App& command, command_line& line)
{
    command.add_option("--plan", line.plan_file, "Plan written by make-config")->required();
    command.add_option("--entry", line.entries, "Callers' port of the entry host, address:port")
        ->required()
        ->expected(1);
    command.add_option("--target", line.target, "A target stand-in outside the configuration, address:port")
        ->required();
    command
        .add_option_function<std::string>(
            "--target-name",
            [&line](const std::string& text) { line.overhead.target_name = target_id{text}; },
            "Identifier of that target")
        ->default_str("direct0");
    command.add_option("--count", line.overhead.requests, "Requests on each way")
        ->check(CLI::Range(1, 1'000'000))
        ->capture_default_str();
    command.add_option("--run-ms", line.overhead.run_ms, "Run time of each request")
        ->check(CLI::Range(0, 60'000))
        ->capture_default_str();
    command.add_option("--echo-bytes", line.overhead.echo_bytes, "Payload text")
        ->check(CLI::Range(0, 500'000))
        ->capture_default_str();
    command.add_flag("--json", line.json, "Report as JSON");
}

} // namespace

int main(int argc, char** argv)
{
    command_line line;
    CLI::App app{
        "Sends a load to entry hosts and checks every outcome against the targets' run logs. Exit code "
        "3 when a check fails."};
    app.set_version_flag("--version", std::string{"mjm_load "} + MJM_VERSION);
    app.require_subcommand(1);
    CLI::App* const run = app.add_subcommand("run", "Send a load and check every outcome");
    CLI::App* const config = app.add_subcommand("make-config", "Write a first configuration and its plan");
    CLI::App* const overhead =
        app.add_subcommand("overhead", "Compare requests sent directly and through the entry host");
    add_run_options(*run, line);
    add_config_options(*config, line);
    add_overhead_options(*overhead, line);
    try {
        app.parse(argc, argv);
        if (run->parsed())
            return run_command(line);
        return config->parsed() ? config_command(line) : overhead_command(line);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? exit_success : exit_settings_error;
    } catch (const std::exception& e) {
        std::cerr << "mjm_load: " << e.what() << '\n';
        return exit_runtime_failure;
    }
}
