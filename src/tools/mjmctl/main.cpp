#include "command_line.h"
#include "command_runner.h"
#include "ctl_settings.h"
#include "http_admin_client.h"
#include "operator_key.h"
#include "system_wait_clock.h"

#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace mjm;

namespace {

constexpr int usage_error = static_cast<int>(ctl_exit::usage);

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file;
    if (name != "-")
        file.open(name, std::ios::binary);
    std::istream& in = name == "-" ? std::cin : file;
    std::string text{std::istreambuf_iterator<char>{in}, {}};
    return in.bad() || (name != "-" && !file.is_open()) ? std::nullopt : std::optional{std::move(text)};
}

bool confirm(const std::string& question)
{
    if (isatty(STDIN_FILENO) == 0)
        return false;
    std::cerr << question << " [y/N] " << std::flush;
    std::string answer;
    return std::getline(std::cin, answer) && (answer == "y" || answer == "yes");
}

/// Puts the command line's servers and key file in place of the file's.
bool apply_options(const connection_options& options, ctl_settings& settings)
{
    if (!options.servers.empty())
        settings.servers.clear();
    for (const std::string& text : options.servers) {
        const std::optional<http_endpoint> server = parse_server(text);
        if (!server) {
            std::cerr << "mjmctl: --server: found " << text << ", allowed ADDRESS:PORT\n";
            return false;
        }
        settings.servers.push_back(*server);
    }
    if (!options.key_file.empty())
        settings.key_file = options.key_file;
    return true;
}

int run(const command_line& line, const ctl_settings& settings)
{
    if (settings.servers.empty()) {
        std::cerr << "mjmctl: --server or a settings file with servers is required\n";
        return usage_error;
    }
    const char* const environment = std::getenv("MJM_KEY");
    const tl::expected<std::string, std::string> key = find_operator_key(
        {line.connection.key, environment == nullptr ? "" : environment, settings.key_file});
    if (!key) {
        std::cerr << "mjmctl: " << key.error() << '\n';
        return usage_error;
    }
    http_admin_client client{settings.servers, *key, settings.request_timeout};
    system_wait_clock time;
    command_runner runner{client, time, {std::cout, std::cerr, read_file, confirm}};
    const ctl_exit code = runner.run(line.what);
    if (!std::cout.flush()) {
        std::cerr << "mjmctl: output failed\n";
        return static_cast<int>(ctl_exit::failed);
    }
    return static_cast<int>(code);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        command_line line;
        if (const std::optional<int> code = parse_command_line(argc, argv, line))
            return *code;
        const settings_schema<ctl_settings> schema = make_ctl_schema();
        if (line.settings_table) {
            std::cout << schema.markdown();
            return 0;
        }
        const std::string& file = line.connection.settings_file;
        tl::expected<ctl_settings, settings_errors> settings =
            file.empty() ? ctl_settings{} : schema.load(file);
        if (!settings) {
            for (const settings_error& error : settings.error())
                std::cerr << "mjmctl: " << to_string(error) << '\n';
            return usage_error;
        }
        if (!apply_options(line.connection, *settings))
            return usage_error;
        if (line.check_settings) {
            std::cout << "settings are valid\n";
            return 0;
        }
        return run(line, *settings);
    } catch (const std::exception& e) {
        std::cerr << "mjmctl: failed: " << e.what() << '\n';
        return static_cast<int>(ctl_exit::failed);
    }
}
