#pragma once

#include "config_effect.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace mjm {

/// Tables of answers for people to read. Absent members give empty cells, because a server of another
/// version may leave them out.
[[nodiscard]] std::string format_teams(const nlohmann::json& answer);
[[nodiscard]] std::string format_pools(const nlohmann::json& answer);
[[nodiscard]] std::string format_targets(const nlohmann::json& answer);
[[nodiscard]] std::string format_history(const nlohmann::json& answer);
[[nodiscard]] std::string format_keys(const nlohmann::json& team);
[[nodiscard]] std::string format_effect(const std::vector<config_change>& changes);
/// `answers` are the bodies of `/status`, each with the member `server`, and `error` where it failed.
[[nodiscard]] std::string format_status(const nlohmann::json& answers);
/// One line about a version's progress.
[[nodiscard]] std::string describe_progress(const nlohmann::json& answer);

} // namespace mjm
