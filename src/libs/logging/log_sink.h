#pragma once

#include "core/clock.h"
#include "logging/log_field.h"
#include "logging/log_settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace mjm {

/// Writes log lines on a thread of its own, one JSON object a line:
/// `{"time":"2026-01-31T12:00:00.000Z","level":"info","component":"net","event":"listening","fields":{}}`.
/// Logging never blocks on the output: when the queue is full, the line is dropped and counted, and a line
/// `log_dropped` tells how many once there is room.
class log_sink {
public:
    /// Throws std::runtime_error when the file cannot be opened.
    log_sink(const log_settings& settings, const clock& time);
    /// Passes each line, without the line end, to `write` on the sink's thread.
    log_sink(const log_settings& settings, const clock& time, std::function<void(const std::string&)> write);
    /// Writes what is queued. Loggers must not be used afterwards.
    ~log_sink();
    log_sink(const log_sink&) = delete;
    log_sink& operator=(const log_sink&) = delete;

    [[nodiscard]] bool enabled(log_level level) const { return level >= level_; }
    void write(log_level level, const std::string& component, std::string_view event,
               std::span<const log_field> fields);
    /// Lines dropped since the start.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    class impl;
    log_level level_;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
