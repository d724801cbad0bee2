#pragma once

#include "core/identifiers.h"

#include <cstdint>

namespace mjm {

/// Permits out of the teams' upper limits that one shard may use.
class permit_source {
public:
    permit_source() = default;
    permit_source(const permit_source&) = delete;
    permit_source& operator=(const permit_source&) = delete;
    virtual ~permit_source() = default;

    [[nodiscard]] virtual std::int64_t held(const team_id& team) const = 0;
    virtual void set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use) = 0;
};

} // namespace mjm
