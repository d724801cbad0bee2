#include "benchmark.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    try {
        CLI::App app{"Benchmarks and measures of marjorammill", "mjm_bench"};
        app.set_version_flag("--version", MJM_VERSION);
        app.require_subcommand(1);
        bool as_json = false;
        std::map<const CLI::App*, mjm::bench::benchmark*> commands;
        for (const std::unique_ptr<mjm::bench::benchmark>& it : mjm::bench::registered_benchmarks()) {
            CLI::App* const command = app.add_subcommand(it->name(), it->description());
            command->add_flag("--json", as_json, "Print the result as JSON");
            it->add_options(*command);
            commands[command] = it.get();
        }
        CLI11_PARSE(app, argc, argv);
        for (const CLI::App* it : app.get_subcommands()) {
            const nlohmann::json result = commands.at(it)->run();
            if (as_json)
                std::cout << result.dump(2) << '\n';
            else
                commands.at(it)->print(result, std::cout);
        }
    } catch (const std::exception& e) {
        std::cerr << "mjm_bench: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
