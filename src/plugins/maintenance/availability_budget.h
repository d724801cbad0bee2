#pragma once

#include "configuration/fleet_config.h"
#include "maintenance/budget_document.h"
#include "maintenance/wave_document.h"

#include <string>

namespace mjm {

/// Rules of one pool's availability budget, by one version of the configuration. A host is not available when
/// a wave took it, when it is down without plan, or when the configuration cordons it.
class availability_budget {
public:
    availability_budget(const fleet_config& config, const pool_id& pool) : config_{config}, pool_{pool} {}

    /// `none` when a wave may take the host out; otherwise what stands against it. With the host out, at
    /// least `min_available` hosts remain, and all hosts that are taken or down are in one rack and so in one
    /// zone. Cordons of the configuration may last for long and do not count for the rack.
    [[nodiscard]] wait_reason refusal(const budget_document& document, const target_id& host,
                                      const std::string& wave) const;
    /// Checks `invariant::availability_budget` for the hosts that waves took: unplanned failures may exceed
    /// the budget, waves may not.
    bool check(const budget_document& document) const;

private:
    [[nodiscard]] const target_record* find(const target_id& host) const;

    const fleet_config& config_;
    pool_id pool_;
};

} // namespace mjm
