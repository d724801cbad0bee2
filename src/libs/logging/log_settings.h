#pragma once

#include "core/enum_names.h"
#include "settings/settings_schema.h"

#include <cstddef>
#include <string>

namespace mjm {

enum class log_level { trace, debug, info, warn, error };

template <>
struct enum_names<log_level> {
    static constexpr std::array<std::pair<log_level, std::string_view>, 5> entries{{
        {log_level::trace, "trace"},
        {log_level::debug, "debug"},
        {log_level::info, "info"},
        {log_level::warn, "warn"},
        {log_level::error, "error"},
    }};
};

enum class log_destination { standard_output, standard_error, file };

template <>
struct enum_names<log_destination> {
    static constexpr std::array<std::pair<log_destination, std::string_view>, 3> entries{{
        {log_destination::standard_output, "stdout"},
        {log_destination::standard_error, "stderr"},
        {log_destination::file, "file"},
    }};
};

struct log_settings {
    log_level level = log_level::info;
    log_destination destination = log_destination::standard_error;
    std::string file;                  ///< Appended to; only for `log_destination::file`.
    std::size_t queue_capacity = 4096; ///< Lines waiting to be written; more are dropped and counted.
};

[[nodiscard]] settings_schema<log_settings> make_log_schema();

} // namespace mjm
