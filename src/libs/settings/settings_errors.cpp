#include "settings/settings_errors.h"

namespace mjm {

std::string to_string(const settings_error& error)
{
    std::string out = error.file + ": ";
    if (!error.path.empty())
        out += error.path + ": ";
    out += name_of(error.code);
    out += ": found " + error.found + ", allowed " + error.allowed;
    return out;
}

} // namespace mjm
