#pragma once

#include "core/identifiers.h"
#include "platform/target_client.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mjm {

struct plan_team {
    team_id id;
    std::string key; ///< In clear text: a plan describes a demonstration or a test, never a real fleet.
    double share = 1.0;
    std::int64_t limit = 0;
};

struct plan_target {
    target_endpoint endpoint;
    zone_id zone;
    service_id service;
};

/// What the load generator must know of a fleet; `mjm_load make-config` writes it beside the configuration.
struct fleet_plan {
    std::vector<plan_team> teams;
    std::vector<service_id> services;
    std::vector<plan_target> targets;
};

[[nodiscard]] std::string encode_plan(const fleet_plan& plan);
[[nodiscard]] std::optional<fleet_plan> decode_plan(std::string_view text);

/// Reads `name:share:limit`.
[[nodiscard]] std::optional<plan_team> parse_plan_team(std::string_view text);

} // namespace mjm
