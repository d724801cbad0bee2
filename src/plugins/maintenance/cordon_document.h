#pragma once

#include "core/identifiers.h"

#include <cstdint>
#include <map>
#include <string>

namespace mjm {

struct cordon_record {
    std::string wave;
    std::uint64_t version = 0; ///< Version of the document in which the cordon was set.

    friend bool operator==(const cordon_record&, const cordon_record&) = default;
};

/// Content of the store key `cordons/<scope>`. Entry hosts read it with the head of the configuration, and
/// a new shard owner reads it after it gained the shard and before it starts a task.
struct cordon_document {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0; ///< Grows by one with each change of `hosts`.
    std::map<target_id, cordon_record> hosts;

    friend bool operator==(const cordon_document&, const cordon_document&) = default;
};

[[nodiscard]] inline std::string cordon_key(const std::string& scope)
{
    return "cordons/" + scope;
}

} // namespace mjm
