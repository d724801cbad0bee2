#include "logging/log_settings.h"

namespace mjm {

settings_schema<log_settings> make_log_schema()
{
    settings_schema<log_settings> schema;
    schema.enumeration("level", &log_settings::level, "Lowest level that is written.")
        .enumeration("destination", &log_settings::destination, "Where lines are written.")
        .string("file", &log_settings::file, "File to append to, for destination `file`.")
        .integer("queue_capacity", &log_settings::queue_capacity, 16, 65'536,
                 "Lines waiting to be written; more are dropped and counted.")
        .check({"destination", "file"}, [](const log_settings& s) -> std::optional<std::string> {
            if ((s.destination == log_destination::file) == s.file.empty())
                return "a file name with destination \"file\" and only then";
            return std::nullopt;
        });
    return schema;
}

} // namespace mjm
