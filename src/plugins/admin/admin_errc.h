#pragma once

#include "core/enum_names.h"

namespace mjm {

/// Failures of the operators' API besides those of `commit_errc`.
enum class admin_errc {
    unknown_path,
    method_not_allowed,
    malformed_body,     ///< Not a JSON object, or a member is missing or of the wrong type.
    malformed_query,    ///< A query parameter is missing or not a number.
    not_authenticated,  ///< No key, or none that is in force.
    key_not_verifiable, ///< This host cannot tell whether its keys are current.
    not_permitted,      ///< The bootstrap token is wrong, or creation is not enabled.
    unknown_record,     ///< No such team, owner, operator, target or pool in the version in force here.
    key_exists,         ///< The holder has a key of that identifier already.
};

template <>
struct enum_names<admin_errc> {
    static constexpr std::array<std::pair<admin_errc, std::string_view>, 9> entries{{
        {admin_errc::unknown_path, "unknown_path"},
        {admin_errc::method_not_allowed, "method_not_allowed"},
        {admin_errc::malformed_body, "malformed_body"},
        {admin_errc::malformed_query, "malformed_query"},
        {admin_errc::not_authenticated, "not_authenticated"},
        {admin_errc::key_not_verifiable, "key_not_verifiable"},
        {admin_errc::not_permitted, "not_permitted"},
        {admin_errc::unknown_record, "unknown_record"},
        {admin_errc::key_exists, "key_exists"},
    }};
};

} // namespace mjm
