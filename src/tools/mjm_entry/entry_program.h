#pragma once

#include "core/identifiers.h"
#include "entry/entry_node.h"
#include "logging/log_settings.h"
#include "settings/settings_schema.h"

#include <cstdint>
#include <string>

namespace mjm {

/// Settings file of `mjm_entry`.
struct entry_program_settings {
    host_id host;
    zone_id zone;
    std::string address = "127.0.0.1";
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t admin_port = 0;
    std::string store_address = "127.0.0.1";
    std::uint16_t store_port = 0;
    duration drain_deadline{std::chrono::seconds{60}};
    duration longest_wait{std::chrono::seconds{60}};
    std::size_t request_queue = 4096;
    std::size_t max_caller_connections = 2000;
    std::size_t timeline_capacity = 20'000;
    std::string bootstrap_token; ///< Permits creating the first configuration; empty forbids it.
    std::string timeline_file;   ///< Appended to; empty for none.
    log_settings log;
};

[[nodiscard]] settings_schema<entry_program_settings> make_entry_schema();

/// Runs until a signal has ended it; returns the exit code.
[[nodiscard]] int run_entry(const entry_program_settings& settings);

} // namespace mjm
