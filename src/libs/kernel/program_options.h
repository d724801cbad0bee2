#pragma once

#include "settings/settings_schema.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>
#include <vector>

namespace mjm {

/// Exit codes of all programs.
inline constexpr int exit_success = 0;
inline constexpr int exit_runtime_failure = 1;
inline constexpr int exit_settings_error = 2; ///< Also a wrong command line.

struct program_info {
    std::string name;
    std::string version;
    std::string description;
};

/// Command line of a program: `--help`, `--version`, `--settings FILE`, `--check-settings`,
/// `--settings-table` and the program's own options, which are declared before `parse`.
class program_options {
public:
    explicit program_options(const program_info& info);
    ~program_options();
    program_options(const program_options&) = delete;
    program_options& operator=(const program_options&) = delete;

    /// `name` as in `--team`; the referenced objects must outlive `parse`.
    program_options& text(const std::string& name, std::string& target, const std::string& description);
    /// One of `names`.
    program_options& choice(const std::string& name, std::string& target,
                            const std::vector<std::string>& names, const std::string& description);
    program_options& flag(const std::string& name, bool& target, const std::string& description);
    /// Positional arguments.
    program_options& arguments(const std::string& name, std::vector<std::string>& target,
                               const std::string& description);

    /// Returns the exit code when the program is to end at once (help, version, wrong command line).
    [[nodiscard]] std::optional<int> parse(int argc, const char* const* argv);

    [[nodiscard]] const std::string& settings_file() const;
    [[nodiscard]] bool check_settings() const;
    [[nodiscard]] bool settings_table() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

namespace program_detail {
inline constexpr std::chrono::milliseconds reread_interval{50};
inline constexpr int max_rereads = 40;
void print(const std::string& text);
void print_errors(const std::string& program, const settings_errors& errors);
/// Runs `body`; an exception becomes a message and `exit_runtime_failure`.
[[nodiscard]] int guarded(const std::function<int()>& body);
} // namespace program_detail

/// Parses the command line, reads the settings (defaults without `--settings`) and runs `body`, which
/// returns the exit code. With `--check-settings` only the settings are read. A `body` that also takes the
/// errors runs with the settings that can be used, unless one without a default is missing. A file that is
/// missing or incomplete may be just being written, and is read again for 2 s.
template <typename S, typename Body>
[[nodiscard]] int run_program(program_options& options, const settings_schema<S>& schema, int argc,
                              const char* const* argv, Body body)
{
    if (const std::optional<int> code = options.parse(argc, argv))
        return *code;
    if (options.settings_table()) {
        program_detail::print(schema.markdown());
        return exit_success;
    }
    const std::string& file = options.settings_file();
    constexpr bool accepts_errors = std::is_invocable_v<Body, const S&, const settings_errors&>;
    settings_reading<S> reading = file.empty() ? schema.read("{}", "(defaults)") : schema.read_file(file);
    if constexpr (accepts_errors) {
        for (int i = 0; i < program_detail::max_rereads && reading.is_incomplete(); ++i) {
            if (options.check_settings())
                break;
            std::this_thread::sleep_for(program_detail::reread_interval);
            reading = schema.read_file(file);
        }
    }
    const bool usable = accepts_errors && !options.check_settings() && !reading.is_fatal();
    if (!reading.errors.empty() && !usable) {
        program_detail::print_errors(argv[0], reading.errors);
        return exit_settings_error;
    }
    if (options.check_settings()) {
        program_detail::print("settings are valid\n");
        return exit_success;
    }
    return program_detail::guarded([&body, &reading] {
        if constexpr (accepts_errors)
            return body(reading.settings, reading.errors);
        else
            return body(reading.settings);
    });
}

} // namespace mjm
