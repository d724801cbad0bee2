#include "entry_program.h"

namespace mjm {

namespace {

constexpr std::int64_t max_port = 65'535;

} // namespace

settings_schema<entry_program_settings> make_entry_schema()
{
    using s = entry_program_settings;
    settings_schema<s> schema;
    schema
        .string("host", &s::host, "Name of this entry host, unique in the fleet.", 1, 64, presence::required)
        .string("zone", &s::zone, "Availability zone of this host.", 1, 64, presence::required)
        .ip_address("address", &s::address,
                    "Address that callers, operators and other entry hosts reach it at.")
        .integer("caller_port", &s::caller_port, 1, max_port, "Port of the callers' API.", presence::required)
        .integer("peer_port", &s::peer_port, 1, max_port, "Port for other entry hosts.", presence::required)
        .integer("admin_port", &s::admin_port, 1, max_port,
                 "Port for operators: administration, health, metrics, time line.", presence::required)
        .ip_address("store_address", &s::store_address, "Address of the platform's services.")
        .integer("store_port", &s::store_port, 1, max_port, "Port of the platform's services.",
                 presence::required)
        .milliseconds("drain_deadline_ms", &s::drain_deadline, std::chrono::milliseconds{0},
                      std::chrono::minutes{60},
                      "After the first SIGTERM, time until the process ends anyway.")
        .milliseconds("longest_wait_ms", &s::longest_wait, std::chrono::milliseconds{100},
                      std::chrono::minutes{10},
                      "A caller that waits longer is told that its request is pending.")
        .integer("request_queue", &s::request_queue, 16, 1'000'000,
                 "Callers' requests waiting for the decision thread; more are refused.")
        .integer("max_caller_connections", &s::max_caller_connections, 1, 100'000,
                 "Connections from callers open at once.")
        .integer("timeline_capacity", &s::timeline_capacity, 100, 1'000'000, "Events held for the time line.")
        .string("bootstrap_token", &s::bootstrap_token,
                "Secret that permits creating the first configuration; empty forbids it.")
        .string("timeline_file", &s::timeline_file, "File that events are appended to; empty for none.")
        .group("log", &s::log, make_log_schema(), "Log output.");
    schema.check({"caller_port", "peer_port", "admin_port"}, [](const s& it) -> std::optional<std::string> {
        if (it.caller_port == it.peer_port || it.peer_port == it.admin_port ||
            it.caller_port == it.admin_port)
            return "three different ports";
        return std::nullopt;
    });
    schema.check({"host", "zone"}, [](const s& it) -> std::optional<std::string> {
        if (!is_valid_name(it.host.str()) || !is_valid_name(it.zone.str()))
            return "letters, digits, '-', '_' and '.', starting with a letter or digit";
        return std::nullopt;
    });
    return schema;
}

} // namespace mjm
