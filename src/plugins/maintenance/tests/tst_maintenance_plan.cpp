#include "maintenance/maintenance_plan.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// `hosts` hosts over `pools` pools and 7 zones, four to a rack.
fleet_config spread_fleet(int hosts, int pools, std::int64_t min_available)
{
    fleet_config config;
    for (int p = 0; p < pools; ++p) {
        const pool_id pool{"p" + std::to_string(p)};
        config.pools[pool] = {pool, min_available, false};
    }
    for (int n = 0; n < hosts; ++n) {
        target_record record;
        record.endpoint.id = target_id{"w" + std::to_string(n)};
        record.zone = zone_id{"z" + std::to_string(n % 7)};
        record.rack = rack_id{"r" + std::to_string(n / 28)};
        record.pool = pool_id{"p" + std::to_string(n % pools)};
        config.targets[record.endpoint.id] = record;
    }
    return config;
}

} // namespace

// Guards against plans that leave a host out, or that exceed the budget, the speed or a pool's one rack.
TEST_CASE("a plan covers every host and keeps the budgets")
{
    const fleet_config config = spread_fleet(530, 385, 0);
    plan_input input;
    for (const auto& [id, record] : config.targets)
        input.since_last[id] = 0s;
    plan_settings settings;
    const maintenance_plan plan = maintenance_plan::make(config, input, settings);
    CHECK(plan.hosts.size() == 530);
    CHECK(plan.warnings.empty());
    for (const auto& [id, host] : plan.hosts) {
        std::int64_t at_once = 0;
        for (const auto& [other, other_host] : plan.hosts) {
            if (other_host.start > host.start || other_host.end <= host.start)
                continue;
            ++at_once;
            const target_record& a = config.targets.at(id);
            const target_record& b = config.targets.at(other);
            if (a.pool == b.pool)
                CHECK((a.zone == b.zone && a.rack == b.rack));
        }
        CHECK(at_once <= settings.hosts_at_once);
    }
}

// Guards against a host that becomes overdue without a warning, and against warnings without cause.
TEST_CASE("a plan warns early about what cannot be done in time")
{
    const fleet_config config = spread_fleet(12, 1, 11);
    plan_input input;
    for (const auto& [id, record] : config.targets)
        input.since_last[id] = 0s;
    plan_settings settings;
    settings.period = 24h;
    settings.margin = 4h;
    const auto first_kind = [&] {
        const std::vector<plan_warning> warnings = maintenance_plan::make(config, input, settings).warnings;
        return warnings.empty() ? std::string{"none"} : std::string{name_of(warnings.front().kind)};
    };
    input.measured[pool_id{"p0"}] = 1h;
    CHECK(first_kind() == "none");
    input.measured[pool_id{"p0"}] = 110min;
    CHECK(first_kind() == "tight");
    input.measured[pool_id{"p0"}] = 121min;
    CHECK(first_kind() == "late");
    input.down.insert(target_id{"w0"});
    CHECK(first_kind() == "no_slack");
}
