#pragma once

#include "platform/kv_store.h"

#include <cstdint>
#include <string>

namespace mjm {

/// Content of the store key `controller/<scope>`. It is never removed, because its epoch must go on growing.
struct controller_record {
    std::uint64_t epoch = 0;
    std::string holder;
    store_lease_id lease = 0; ///< Store lease of the holder's lock `controller/<scope>/lock`.

    friend bool operator==(const controller_record&, const controller_record&) = default;
};

[[nodiscard]] inline std::string controller_key(const std::string& scope)
{
    return "controller/" + scope;
}

[[nodiscard]] inline std::string controller_lock_key(const std::string& scope)
{
    return controller_key(scope) + "/lock";
}

} // namespace mjm
