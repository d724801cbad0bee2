#pragma once

#include "core/enum_names.h"
#include "logging/log_sink.h"

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

namespace mjm {

/// Logs for one component. Cheap to copy, thread-safe, and must not outlive its sink.
///
///     log.info(net_event::listening, {{"port", port}});
class logger {
public:
    logger(log_sink& sink, std::string component) : sink_{&sink}, component_{std::move(component)} {}

    using fields = std::initializer_list<log_field>;

    /// Whether lines of this level are written, so that a caller need not prepare the fields of others.
    [[nodiscard]] bool enabled(log_level level) const { return sink_->enabled(level); }

    /// `event` is a value of an enum with a name table, or a short fixed name.
    template <typename Event>
    void write(log_level level, const Event& event, fields values = {}) const
    {
        if (!sink_->enabled(level))
            return;
        if constexpr (std::is_enum_v<Event>)
            write_named(level, name_of(event), values);
        else
            write_named(level, std::string_view{event}, values);
    }
    template <typename Event>
    void debug(const Event& event, fields values = {}) const
    {
        write(log_level::debug, event, values);
    }
    template <typename Event>
    void info(const Event& event, fields values = {}) const
    {
        write(log_level::info, event, values);
    }
    template <typename Event>
    void warn(const Event& event, fields values = {}) const
    {
        write(log_level::warn, event, values);
    }
    template <typename Event>
    void error(const Event& event, fields values = {}) const
    {
        write(log_level::error, event, values);
    }

private:
    void write_named(log_level level, std::string_view event, fields values) const;

    log_sink* sink_;
    std::string component_;
};

} // namespace mjm
