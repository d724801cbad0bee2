#include "target_service.h"

#include "net/io_runtime.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>
#include <limits>
#include <vector>

namespace {

constexpr int exit_runtime_failure = 1;
constexpr int exit_settings_error = 2;

struct program_settings {
    std::string address = "127.0.0.1";
    unsigned first_port = 9000;
    unsigned count = 1;
    unsigned first_index = 0;
    std::string id_prefix = "t";
    std::int64_t slots = 8;
    std::uint64_t seed = 1;
};

int serve(const program_settings& settings)
{
    // Blocked before threads start, so that only sigwait receives these signals.
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    mjm::io_runtime runtime;
    std::vector<std::unique_ptr<mjm::target_service>> targets;
    for (unsigned i = 0; i < settings.count; ++i) {
        mjm::target_service_settings one;
        one.id = mjm::target_id{settings.id_prefix + std::to_string(settings.first_index + i)};
        one.address = settings.address;
        one.port = static_cast<std::uint16_t>(settings.first_port + i);
        one.model.slots = settings.slots;
        one.seed = settings.seed + i;
        targets.push_back(std::make_unique<mjm::target_service>(runtime, one));
        if (!targets.back()->listen()) {
            std::cerr << R"({"event":"listen_failed","address":")" << settings.address << R"(","port":)"
                      << one.port << "}\n";
            return exit_runtime_failure;
        }
    }
    runtime.start();
    std::cout << R"({"event":"listening","address":")" << settings.address << R"(","first_port":)"
              << settings.first_port << R"(,"count":)" << settings.count << "}" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    program_settings settings;
    bool check_only = false;
    CLI::App app{"Stands in for targets in tests and demonstrations. See docs/protocols.md."};
    app.set_version_flag("--version", std::string{"mjm_target_standin "} + MJM_VERSION);
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    app.add_option("--address", settings.address, "IP address to listen on")
        ->check(CLI::ValidIPV4)
        ->capture_default_str();
    app.add_option("--first-port", settings.first_port, "Port of the first target")
        ->check(CLI::Range(1, 65535))
        ->capture_default_str();
    app.add_option("--count", settings.count, "Number of targets, on consecutive ports")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    app.add_option("--id-prefix", settings.id_prefix, "Target identifiers are this prefix and an index")
        ->capture_default_str();
    app.add_option("--first-index", settings.first_index, "Index of the first target")->capture_default_str();
    app.add_option("--slots", settings.slots, "Slots of each target")
        ->check(CLI::Range(1, 1024))
        ->capture_default_str();
    app.add_option("--seed", settings.seed, "Seed of the fault injection")->capture_default_str();
    try {
        app.parse(argc, argv);
        if (settings.first_port + settings.count - 1 > std::numeric_limits<std::uint16_t>::max())
            throw CLI::ValidationError{"--count", "the last port would exceed 65535"};
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_settings_error;
    }
    return check_only ? 0 : serve(settings);
}
