#include "platform_service.h"

#include "net/io_runtime.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <iostream>

namespace {

constexpr int exit_runtime_failure = 1;
constexpr int exit_settings_error = 2;

int serve(const mjm::platform_service_settings& settings)
{
    // Blocked before threads start, so that only sigwait receives these signals.
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    mjm::io_runtime runtime;
    mjm::platform_service service{runtime, settings};
    const tl::expected<mjm::platform_ports, mjm::listen_errc> ports = service.listen();
    if (!ports) {
        std::cerr << R"({"event":"listen_failed","address":")" << settings.address << "\"}\n";
        return exit_runtime_failure;
    }
    runtime.start();
    std::cout << R"({"event":"listening","address":")" << settings.address << R"(","port":)" << ports->service
              << R"(,"admin_port":)" << ports->admin << "}" << std::endl;
    int received = 0;
    sigwait(&signals, &received);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    mjm::platform_service_settings settings;
    settings.port = 8500;
    settings.admin_port = 8501;
    bool check_only = false;
    CLI::App app{"Stands in for the platform's key-value service and host list. See docs/protocols.md."};
    app.set_version_flag("--version", std::string{"mjm_platform_standin "} + MJM_VERSION);
    app.add_flag("--check-settings", check_only, "Check the settings and exit");
    app.add_option("--address", settings.address, "IP address to listen on")
        ->check(CLI::ValidIPV4)
        ->capture_default_str();
    app.add_option("--port", settings.port, "Port of the service; 0 picks a free one")->capture_default_str();
    app.add_option("--admin-port", settings.admin_port, "Port of fault injection and counters")
        ->capture_default_str();
    app.add_option("--seed", settings.seed, "Seed of the fault injection")->capture_default_str();
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : exit_settings_error;
    }
    return check_only ? 0 : serve(settings);
}
