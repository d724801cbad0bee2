#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// A command as given on the command line.
struct command {
    std::string noun;
    std::string verb; ///< Empty for `status` and `timeline`.
    std::string file; ///< "-" for standard input.
    std::string team;
    std::string key_id;
    std::string target;
    std::string pool;
    std::string id; ///< Of a proposal; generated for a new one when empty.
    std::string comment;
    std::optional<std::uint64_t> base;       ///< Default: the version in force.
    std::optional<std::uint64_t> on_version; ///< Default: the proposal's base.
    double share = 0;
    std::int64_t limit = 0;
    std::uint64_t entries = 50; ///< Of the history.
    bool json = false;
    bool dry_run = false;
    bool wait = false;
    bool yes = false;
    std::uint64_t timeout_s = 60;
};

/// Options that tell where and as whom to connect.
struct connection_options {
    std::vector<std::string> servers;
    std::string settings_file;
    std::string key;
    std::string key_file;
};

} // namespace mjm
