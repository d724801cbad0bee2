#pragma once

#include "core/identifiers.h"

#include <cstdint>

namespace mjm {

/// Source of one shard's permits. A permit lets the shard run one more task of a team within the team's
/// fleet-wide limit.
class permit_source {
public:
    permit_source() = default;
    permit_source(const permit_source&) = delete;
    permit_source& operator=(const permit_source&) = delete;
    virtual ~permit_source() = default;

    /// Returns the number of the team's permits that the shard holds.
    [[nodiscard]] virtual std::int64_t held(const team_id& team) const = 0;
    /// Reports how many permits the shard wants for the team, and how many are in use.
    virtual void set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use) = 0;
};

} // namespace mjm
