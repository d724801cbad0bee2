#pragma once

#include "load_checks.h"
#include "net/http_client.h"

#include <map>
#include <string>
#include <vector>

namespace mjm {

struct load_settings {
    fleet_plan plan;
    std::vector<http_endpoint> entries;
    std::size_t max_requests = 20'000;
    duration length{std::chrono::seconds{30}};
    double rate = 4.0;        ///< Mean requests per second of each team.
    double peak_factor = 5.0; ///< Demand of a team during its turn, as a multiple of the mean.
    double non_idempotent = 0.5;
    double urgent = 0.1;
    double asynchronous = 0.25;
    double cancelled = 0.1; ///< Part of the asynchronous requests.
    std::int64_t min_run_ms = 20;
    std::int64_t max_run_ms = 600;
    std::size_t max_echo = 2000; ///< Bytes.
    duration timeout{std::chrono::seconds{15}};
    duration settle{std::chrono::seconds{30}}; ///< After its deadline, a request may still get its outcome.
    std::uint64_t seed = 1;
};

/// What happened on the connections to one entry host.
struct entry_record {
    std::size_t answers = 0;
    std::size_t not_connected = 0; ///< Nothing was sent.
    std::size_t cut = 0;           ///< The connection ended, or the answer broke off, after sending.
    std::size_t timed_out = 0;
};

struct load_result {
    load_history history;
    std::map<std::string, entry_record> entries;
    std::map<std::string, std::size_t> answers; ///< All answers, also of submissions that were repeated.
};

/// Runs the load, then reads the targets' run logs.
[[nodiscard]] load_result run_load(const load_settings& settings);

/// Demand of a team at a time within the load, as a multiple of its mean. Each team has a turn of equal
/// length with `peak_factor`, then one with a twentieth of the mean; the rest keeps the mean at 1 where
/// enough teams take turns.
[[nodiscard]] double demand_factor(std::size_t team, std::size_t teams, double part_of_length,
                                   double peak_factor);

} // namespace mjm
