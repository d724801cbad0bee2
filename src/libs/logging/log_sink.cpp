#include "logging/log_sink.h"

#include "core/bounded_ring.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/hierarchy.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <ctime>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mjm {

namespace {

using log_event = log4cplus::spi::InternalLoggingEvent;

std::string json_text(std::string_view text)
{
    // Text from callers may not be UTF-8; a strict writer would throw.
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string json_text(const log_field& field)
{
    if (is_confidential_field(field.key()))
        return "\"[redacted]\"";
    if (const std::string* text = std::get_if<std::string>(&field.value()))
        return json_text(std::string_view{*text});
    return std::visit([](const auto& value) { return nlohmann::json(value).dump(); }, field.value());
}

log4cplus::LogLevel library_level(log_level level)
{
    switch (level) {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log_level level_from_library(log4cplus::LogLevel level)
{
    if (level >= log4cplus::ERROR_LOG_LEVEL)
        return log_level::error;
    if (level >= log4cplus::WARN_LOG_LEVEL)
        return log_level::warn;
    if (level >= log4cplus::INFO_LOG_LEVEL)
        return log_level::info;
    return level >= log4cplus::DEBUG_LOG_LEVEL ? log_level::debug : log_level::trace;
}

std::string iso_time(std::chrono::system_clock::time_point when)
{
    const std::chrono::milliseconds since_epoch =
        std::chrono::floor<std::chrono::milliseconds>(when.time_since_epoch());
    const std::chrono::seconds whole = std::chrono::floor<std::chrono::seconds>(since_epoch);
    const std::time_t seconds = whole.count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    const std::size_t n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + (since_epoch - whole).count());
    return std::string{buf.data(), n} + "." + fraction.substr(1) + "Z";
}

/// The event's message already holds the members `event` and `fields`.
class json_lines_layout final : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output, const log_event& event) override
    {
        output << R"({"time":")" << iso_time(event.getTimestamp()) << R"(","level":")"
               << name_of(level_from_library(event.getLogLevel())) << R"(","component":)"
               << json_text(std::string_view{event.getLoggerName()}) << "," << event.getMessage() << "}\n";
    }
};

/// Hands formatted lines to a function.
class function_appender final : public log4cplus::Appender {
public:
    explicit function_appender(std::function<void(const std::string&)> write) : write_{std::move(write)} {}
    ~function_appender() override { destructorImpl(); }
    function_appender(const function_appender&) = delete;
    function_appender& operator=(const function_appender&) = delete;
    void close() override { closed = true; }

protected:
    void append(const log_event& event) override
    {
        std::string line = formatEvent(event);
        line.pop_back();
        write_(line);
    }

private:
    std::function<void(const std::string&)> write_;
};

log_event make_event(const std::string& component, log_level level, const std::string& message,
                     wall_time when)
{
    return log_event{component, library_level(level),
                     "",        log4cplus::MappedDiagnosticContextMap{},
                     message,   "",
                     "",        std::chrono::time_point_cast<log4cplus::helpers::Time::duration>(when),
                     "",        0};
}

/// Writes through another appender on its own thread. The library's AsyncAppender blocks when its queue is
/// full, which would make a slow disk or pipe stall the threads that serve requests.
class dropping_appender final : public log4cplus::Appender {
public:
    dropping_appender(log4cplus::SharedAppenderPtr output, std::size_t capacity, const clock& time)
        : output_{std::move(output)}, time_{time}, ring_{capacity}, thread_{[this] { run(); }}
    {
    }
    ~dropping_appender() override { destructorImpl(); }
    dropping_appender(const dropping_appender&) = delete;
    dropping_appender& operator=(const dropping_appender&) = delete;

    void close() override
    {
        if (closed)
            return;
        closed = true;
        ring_.close();
        thread_.join();
        output_->close();
    }

    [[nodiscard]] std::size_t dropped() const { return ring_.rejected(); }

protected:
    void append(const log_event& event) override
    {
        std::unique_ptr<log_event> copy = std::make_unique<log_event>(event);
        if (!ring_.try_push(copy))
            return; // Counted by the ring.
    }

private:
    void run()
    {
        // The ring returns nothing at once when it is closed and empty, and otherwise only after the wait.
        for (;;) {
            std::optional<std::unique_ptr<log_event>> event = ring_.pop_for(std::chrono::hours{1});
            if (!event && !ring_.closed())
                continue;
            if (!event)
                break;
            output_->doAppend(**event);
            report_drops();
        }
        report_drops();
    }

    void report_drops()
    {
        const std::size_t total = ring_.rejected();
        if (total == reported_)
            return;
        const std::string message =
            R"("event":"log_dropped","fields":{"dropped":)" + std::to_string(total - reported_) + "}";
        reported_ = total;
        output_->doAppend(make_event("logging", log_level::warn, message, time_.wall_now()));
    }

    log4cplus::SharedAppenderPtr output_;
    const clock& time_;
    bounded_ring<std::unique_ptr<log_event>> ring_;
    std::size_t reported_ = 0;
    std::thread thread_;
};

log4cplus::SharedAppenderPtr make_output(const log_settings& settings)
{
    switch (settings.destination) {
    case log_destination::standard_output:
        return log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{false, true}};
    case log_destination::standard_error:
        return log4cplus::SharedAppenderPtr{new log4cplus::ConsoleAppender{true, true}};
    case log_destination::file:
        break;
    }
    // The library's appender only prints a message when it cannot open its file.
    if (!std::ofstream{settings.file, std::ios::app})
        throw std::runtime_error("cannot open log file " + settings.file);
    return log4cplus::SharedAppenderPtr{new log4cplus::FileAppender{settings.file, std::ios::app}};
}

} // namespace

class log_sink::impl {
public:
    impl(const log_settings& settings, const clock& source, const log4cplus::SharedAppenderPtr& output)
        : time{source}
    {
        // The library starts a pool of 4 threads when it is loaded, for its own asynchronous appenders, which
        // are not used here. It cannot be made smaller than 1.
        log4cplus::setThreadPoolSize(1);
        output->setLayout(std::make_unique<json_lines_layout>());
        appender = new dropping_appender{output, settings.queue_capacity, time};
        owner = log4cplus::SharedAppenderPtr{appender};
        hierarchy.getRoot().setLogLevel(library_level(settings.level));
        hierarchy.getRoot().addAppender(owner);
    }
    ~impl()
    {
        appender->close();
        hierarchy.getRoot().removeAllAppenders();
    }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    const clock& time;
    log4cplus::Hierarchy hierarchy;
    dropping_appender* appender = nullptr; ///< Owned by `owner`.
    log4cplus::SharedAppenderPtr owner;
};

log_sink::log_sink(const log_settings& settings, const clock& time)
    : level_{settings.level}, impl_{std::make_unique<impl>(settings, time, make_output(settings))}
{
}

log_sink::log_sink(const log_settings& settings, const clock& time,
                   std::function<void(const std::string&)> write)
    : level_{settings.level}, impl_{std::make_unique<impl>(
                                  settings, time,
                                  log4cplus::SharedAppenderPtr{new function_appender{std::move(write)}})}
{
}

log_sink::~log_sink() = default;

void log_sink::write(log_level level, const std::string& component, std::string_view event,
                     std::span<const log_field> fields)
{
    if (!enabled(level))
        return;
    std::string message = "\"event\":" + json_text(event) + ",\"fields\":{";
    bool first = true;
    for (const log_field& field : fields) {
        message += first ? "" : ",";
        message += json_text(field.key()) + ":" + json_text(field);
        first = false;
    }
    message += "}";
    impl_->hierarchy.getInstance(component).log(
        make_event(component, level, message, impl_->time.wall_now()));
}

std::uint64_t log_sink::dropped() const
{
    return impl_->appender->dropped();
}

} // namespace mjm
