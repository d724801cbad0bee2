#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace mjm {

/// Permit of a wave to keep one host out of service.
struct budget_permit {
    std::string wave;
    std::uint64_t epoch = 0; ///< Of the controller that took it.

    friend bool operator==(const budget_permit&, const budget_permit&) = default;
};

/// Content of the store key `budgets/<pool>`: the hosts of the pool that are out of service.
struct budget_document {
    std::uint64_t epoch = 0;          ///< Highest controller epoch that has written the document.
    std::uint64_t config_version = 0; ///< Highest version by which a permit was taken.
    std::map<target_id, budget_permit> taken;
    std::set<target_id> down; ///< By unplanned failure.

    friend bool operator==(const budget_document&, const budget_document&) = default;
};

[[nodiscard]] inline std::string budget_key(const pool_id& pool)
{
    return "budgets/" + pool.str();
}

} // namespace mjm
