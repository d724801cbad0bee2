#pragma once

#include "command.h"

#include <optional>

namespace mjm {

struct command_line {
    command what;
    connection_options connection;
    bool check_settings = false;
    bool settings_table = false;
};

/// Fills `out`, or prints a message and returns the exit code when the program is to end at once.
[[nodiscard]] std::optional<int> parse_command_line(int argc, const char* const* argv, command_line& out);

} // namespace mjm
