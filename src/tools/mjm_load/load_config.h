#pragma once

#include "fleet_plan.h"
#include "net/http_client.h"

#include <string>
#include <vector>

namespace mjm {

struct load_config_settings {
    http_endpoint store{"127.0.0.1", 8500};
    http_endpoint platform_admin{"127.0.0.1", 8501};
    std::string target_address = "127.0.0.1";
    std::uint16_t first_port = 9000;
    std::string id_prefix = "t";
    std::size_t zones = 3;
    std::size_t targets_per_shard = 2;
    std::int64_t slots = 8;
    std::vector<std::string> services{"lens", "crew"};
    std::vector<plan_team> teams;
    std::string plan_file;
};

/// The fleet that the settings describe: the targets of zone z1 come first, then those of z2, and so on, with
/// ports and indices counting up.
[[nodiscard]] fleet_plan make_plan(const load_config_settings& settings);

/// Writes the first configuration to the platform's store, the list of live hosts to the stand-in, and the
/// plan to its file. Returns the exit code.
[[nodiscard]] int write_first_config(const load_config_settings& settings);

} // namespace mjm
