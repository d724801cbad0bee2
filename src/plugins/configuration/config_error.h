#pragma once

#include "core/enum_names.h"

#include <string>

namespace mjm {

/// Rule that a configuration document or a patch breaks.
enum class config_rule {
    syntax,         ///< The text is not JSON.
    type,           ///< A value of the wrong JSON type.
    missing,        ///< A required member is absent.
    unknown_member, ///< A member that the document does not define.
    name,           ///< A name is not a valid identifier.
    range,          ///< A number or text outside its allowed range.
    reference,      ///< Refers to a record that does not exist.
    duplicate_host, ///< The same host is listed more than once.
    one_service,    ///< A pool serves more than one service.
    budget,         ///< An availability budget that the pool's hosts cannot satisfy.
    key,            ///< A key's salt or hash is malformed, or a key identifier or hash is used twice.
    month,          ///< Month malformed, not in the calendar, or earlier than the one in force.
    read_only,      ///< A patch changes a member that only the system sets.
    size,           ///< The document is larger than the store's limit.
    patch_syntax,   ///< The patch is not an RFC 6902 JSON Patch.
    patch_path,     ///< An operation's path does not exist.
    patch_test,     ///< A `test` operation failed.
};

template <>
struct enum_names<config_rule> {
    static constexpr std::array<std::pair<config_rule, std::string_view>, 17> entries{{
        {config_rule::syntax, "syntax"},
        {config_rule::type, "type"},
        {config_rule::missing, "missing"},
        {config_rule::unknown_member, "unknown_member"},
        {config_rule::name, "name"},
        {config_rule::range, "range"},
        {config_rule::reference, "reference"},
        {config_rule::duplicate_host, "one_pool"},
        {config_rule::one_service, "one_service"},
        {config_rule::budget, "budget"},
        {config_rule::key, "key"},
        {config_rule::month, "month"},
        {config_rule::read_only, "read_only"},
        {config_rule::size, "size"},
        {config_rule::patch_syntax, "patch_syntax"},
        {config_rule::patch_path, "patch_path"},
        {config_rule::patch_test, "patch_test"},
    }};
};

/// One broken rule and the place where it is broken.
struct config_error {
    config_rule rule = config_rule::syntax;
    std::string pointer; ///< RFC 6901 JSON pointer into the document, or into the patch for patch errors.
    std::string detail;  ///< What was found and what is allowed.
};

} // namespace mjm
