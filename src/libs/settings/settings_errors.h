#pragma once

#include "core/enum_names.h"

#include <string>
#include <vector>

namespace mjm {

enum class settings_errc {
    unreadable,    ///< The file cannot be read.
    not_json,      ///< The text is not JSON.
    unknown_key,   ///< The schema declares no such key.
    duplicate_key, ///< The key occurs twice in one object.
    missing_key,   ///< A required key is absent.
    wrong_type,
    out_of_range,  ///< Also an enum name or an address that is not allowed.
    contradiction, ///< Each value is allowed, but not together.
};

template <>
struct enum_names<settings_errc> {
    static constexpr std::array<std::pair<settings_errc, std::string_view>, 8> entries{{
        {settings_errc::unreadable, "unreadable"},
        {settings_errc::not_json, "not_json"},
        {settings_errc::unknown_key, "unknown_key"},
        {settings_errc::duplicate_key, "duplicate_key"},
        {settings_errc::missing_key, "missing_key"},
        {settings_errc::wrong_type, "wrong_type"},
        {settings_errc::out_of_range, "out_of_range"},
        {settings_errc::contradiction, "contradiction"},
    }};
};

struct settings_error {
    settings_errc code = settings_errc::unreadable;
    std::string file;
    std::string path;    ///< Key path, for example `hosts[2].port`; empty for the whole file.
    std::string found;   ///< JSON text of the value, shortened.
    std::string allowed; ///< What the schema allows there.
    bool fatal = false;  ///< The program can't run without the value; any other has a default.
};

using settings_errors = std::vector<settings_error>;

/// One line: `file: path: code: found ..., allowed ...`.
[[nodiscard]] std::string to_string(const settings_error& error);

} // namespace mjm
