#pragma once

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace mjm {

/// One request to an entry host's admin port.
struct admin_call {
    std::string method = "GET";
    std::string path; ///< Whole path, such as `/admin/v1/config`.
    std::map<std::string, std::string> query;
    nlohmann::json body; ///< Null for none.
};

} // namespace mjm
