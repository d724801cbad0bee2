#include "kernel/program_options.h"

#include <CLI/CLI.hpp>

#include <exception>
#include <iostream>

namespace mjm {

class program_options::impl {
public:
    explicit impl(const program_info& info) : app{info.description, info.name}
    {
        app.set_version_flag("--version", info.name + " " + info.version);
        app.add_option("--settings", settings_file, "JSON settings file");
        app.add_flag("--check-settings", check_settings, "Check the settings and exit");
        app.add_flag("--settings-table", settings_table, "Print all settings as a Markdown table and exit");
    }

    CLI::App app;
    std::string settings_file;
    bool check_settings = false;
    bool settings_table = false;
};

program_options::program_options(const program_info& info) : impl_{std::make_unique<impl>(info)} {}
program_options::~program_options() = default;

program_options& program_options::text(const std::string& name, std::string& target,
                                       const std::string& description)
{
    impl_->app.add_option(name, target, description);
    return *this;
}

program_options& program_options::choice(const std::string& name, std::string& target,
                                         const std::vector<std::string>& names,
                                         const std::string& description)
{
    impl_->app.add_option(name, target, description)->check(CLI::IsMember(names));
    return *this;
}

program_options& program_options::flag(const std::string& name, bool& target, const std::string& description)
{
    impl_->app.add_flag(name, target, description);
    return *this;
}

program_options& program_options::arguments(const std::string& name, std::vector<std::string>& target,
                                            const std::string& description)
{
    impl_->app.add_option(name, target, description);
    return *this;
}

std::optional<int> program_options::parse(int argc, const char* const* argv)
{
    try {
        impl_->app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return impl_->app.exit(e) == 0 ? exit_success : exit_settings_error;
    }
    return std::nullopt;
}

const std::string& program_options::settings_file() const
{
    return impl_->settings_file;
}

bool program_options::check_settings() const
{
    return impl_->check_settings;
}

bool program_options::settings_table() const
{
    return impl_->settings_table;
}

namespace program_detail {

void print(const std::string& text)
{
    std::cout << text << std::flush;
}

void print_errors(const std::string& program, const settings_errors& errors)
{
    for (const settings_error& error : errors)
        std::cerr << program << ": " << to_string(error) << '\n';
}

int guarded(const std::function<int()>& body)
{
    try {
        return body();
    } catch (const std::exception& e) {
        std::cerr << "failed: " << e.what() << '\n';
    }
    return exit_runtime_failure;
}

} // namespace program_detail

} // namespace mjm
