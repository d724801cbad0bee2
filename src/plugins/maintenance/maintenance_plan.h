#pragma once

#include "configuration/fleet_config.h"
#include "core/enum_names.h"
#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace mjm {

enum class plan_warning_kind {
    no_slack, ///< The budget lets no host of the pool out.
    late,     ///< A host of the pool is done after it is due.
    tight,    ///< A host of the pool is done within the margin before it is due.
};

template <>
struct enum_names<plan_warning_kind> {
    static constexpr std::array<std::pair<plan_warning_kind, std::string_view>, 3> entries{{
        {plan_warning_kind::no_slack, "no_slack"},
        {plan_warning_kind::late, "late"},
        {plan_warning_kind::tight, "tight"},
    }};
};

struct plan_settings {
    duration period{std::chrono::hours{24 * 28}}; ///< Every host is maintained once in each.
    duration margin{std::chrono::hours{24 * 7}};  ///< Early warning before a host is late.
    duration default_duration{std::chrono::minutes{20}};
    std::int64_t hosts_at_once = 8;
    std::int64_t per_pool = 4;
};

/// State of the fleet from which the plan starts.
struct plan_input {
    std::map<target_id, duration> since_last; ///< Since the host's last maintenance; `period` when unknown.
    std::map<pool_id, duration> measured;     ///< Cordon to return of one host of the pool, as measured.
    std::set<target_id> down;
};

struct planned_host {
    duration start{0}; ///< From now.
    duration end{0};
    duration due{0}; ///< Negative when overdue.
};

struct plan_warning {
    pool_id pool;
    plan_warning_kind kind = plan_warning_kind::late;
    duration end{0}; ///< End of the worst host; 0 for `no_slack`.
};

/// When each host will be done, if waves take out as many hosts as the budgets and the speed allow.
struct maintenance_plan {
    std::map<target_id, planned_host> hosts;
    std::vector<plan_warning> warnings;
    duration end{0};

    [[nodiscard]] static maintenance_plan make(const fleet_config& config, const plan_input& input,
                                               const plan_settings& settings);
};

} // namespace mjm
