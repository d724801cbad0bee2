#include "logging/log_sink.h"

#include "core/bounded_ring.h"

#include <log4cplus/appender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <ctime>
#include <exception>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace mjm {

namespace {

// Most lines that are written in one call to the output, which bounds the memory that a batch takes.
constexpr std::size_t max_batch_lines = 64;

void append_text(std::string& out, std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(),
                                   [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
    if (plain) {
        out += '"';
        out += text;
        out += '"';
        return;
    }
    // Text from callers may not be UTF-8; a strict writer would throw.
    out += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <typename Integer>
void append_integer(std::string& out, Integer value)
{
    std::array<char, 24> buf{};
    const std::to_chars_result end = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    out.append(buf.data(), end.ptr);
}

void append_value(std::string& out, const log_field& field)
{
    if (is_confidential_field(field.key())) {
        out += "\"[redacted]\"";
        return;
    }
    const log_field::value_type& value = field.value();
    if (const std::string* text = std::get_if<std::string>(&value))
        append_text(out, *text);
    else if (const std::int64_t* number = std::get_if<std::int64_t>(&value))
        append_integer(out, *number);
    else if (const std::uint64_t* large = std::get_if<std::uint64_t>(&value))
        append_integer(out, *large);
    else if (const bool* flag = std::get_if<bool>(&value))
        out += *flag ? "true" : "false";
    else
        out += nlohmann::json(std::get<double>(value)).dump();
}

/// Appends the time in the form 2026-01-31T12:00:00.000Z.
void append_time(std::string& out, wall_time when)
{
    const std::chrono::seconds whole = std::chrono::floor<std::chrono::seconds>(when.time_since_epoch());
    const std::time_t seconds = whole.count();
    // Lines of the same second, which are most, share the costly part.
    thread_local std::time_t formatted = -1;
    thread_local std::array<char, 32> prefix{};
    thread_local std::size_t length = 0;
    if (seconds != formatted) {
        std::tm parts{};
        gmtime_r(&seconds, &parts);
        length = std::strftime(prefix.data(), prefix.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
        formatted = seconds;
    }
    const auto ms = static_cast<int>((when.time_since_epoch() - whole).count());
    out.append(prefix.data(), length);
    out += static_cast<char>('0' + ms / 100);
    out += static_cast<char>('0' + ms / 10 % 10);
    out += static_cast<char>('0' + ms % 10);
    out += 'Z';
}

std::string format_line(wall_time when, log_level level, std::string_view component, std::string_view event,
                        std::span<const log_field> fields)
{
    std::string out;
    out.reserve(256);
    out += R"({"time":")";
    append_time(out, when);
    out += R"(","level":")";
    out += name_of(level);
    out += R"(","component":)";
    append_text(out, component);
    out += R"(,"event":)";
    append_text(out, event);
    out += R"(,"fields":{)";
    bool first = true;
    for (const log_field& field : fields) {
        if (!first)
            out += ',';
        first = false;
        append_text(out, field.key());
        out += ':';
        append_value(out, field);
    }
    out += "}}";
    return out;
}

/// Writes the message of an event, which holds whole lines.
class message_layout final : public log4cplus::Layout {
public:
    void formatAndAppend(log4cplus::tostream& output,
                         const log4cplus::spi::InternalLoggingEvent& event) override
    {
        output << event.getMessage() << '\n';
    }
};

/// Where lines go. Used by the sink's thread only.
class line_output {
public:
    line_output() = default;
    line_output(const line_output&) = delete;
    line_output& operator=(const line_output&) = delete;
    virtual ~line_output() = default;

    /// Largest number of lines that `write` takes at a time, joined by line ends.
    [[nodiscard]] virtual std::size_t batch_lines() const = 0;
    virtual void write(const std::string& lines) = 0;
};

class function_output final : public line_output {
public:
    explicit function_output(std::function<void(const std::string&)> write) : write_{std::move(write)} {}
    [[nodiscard]] std::size_t batch_lines() const override { return 1; }
    void write(const std::string& lines) override { write_(lines); }

private:
    std::function<void(const std::string&)> write_;
};

class appender_output final : public line_output {
public:
    explicit appender_output(log4cplus::SharedAppenderPtr appender) : appender_{std::move(appender)}
    {
        appender_->setLayout(std::make_unique<message_layout>());
    }
    ~appender_output() override { appender_->close(); }
    appender_output(const appender_output&) = delete;
    appender_output& operator=(const appender_output&) = delete;

    [[nodiscard]] std::size_t batch_lines() const override { return max_batch_lines; }
    void write(const std::string& lines) override
    {
        appender_->doAppend(log4cplus::spi::InternalLoggingEvent{
            "", log4cplus::INFO_LOG_LEVEL, "", log4cplus::MappedDiagnosticContextMap{}, lines, "", "",
            log4cplus::helpers::now(), "", 0});
    }

private:
    log4cplus::SharedAppenderPtr appender_;
};

/// Writes lines on its own thread. The library's AsyncAppender blocks when its queue is full, which would
/// make a slow disk or pipe stall the threads that serve requests.
class line_writer {
public:
    line_writer(std::unique_ptr<line_output> output, std::size_t capacity, const clock& time)
        : output_{std::move(output)}, time_{time}, ring_{capacity}, thread_{[this] { run(); }}
    {
    }
    ~line_writer()
    {
        ring_.close();
        thread_.join();
    }
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;

    /// Drops and counts the line if the queue is full.
    void push(std::string line) { static_cast<void>(ring_.try_push(line)); }
    [[nodiscard]] std::size_t dropped() const { return ring_.rejected() + failed_; }

private:
    void run()
    {
        // The ring returns nothing at once when it is closed and empty, and otherwise only after the wait.
        for (;;) {
            std::optional<std::string> lines = ring_.pop_for(std::chrono::hours{1});
            if (!lines && !ring_.closed())
                continue;
            if (!lines)
                break;
            for (std::size_t n = 1; n < output_->batch_lines(); ++n) {
                const std::optional<std::string> next = ring_.try_pop();
                if (!next)
                    break;
                *lines += '\n';
                *lines += *next;
            }
            write(*lines);
            report_drops();
        }
        report_drops();
    }

    /// An output that fails, as for want of memory, must not end the process.
    void write(const std::string& lines)
    {
        try {
            output_->write(lines);
        } catch (const std::exception&) {
            failed_ += 1 + static_cast<std::size_t>(std::count(lines.begin(), lines.end(), '\n'));
        }
    }

    void report_drops()
    {
        const std::size_t total = ring_.rejected() + failed_;
        if (total == reported_)
            return;
        const std::array<log_field, 1> fields{log_field{"dropped", total - reported_}};
        reported_ = total;
        write(format_line(time_.wall_now(), log_level::warn, "logging", "log_dropped", fields));
    }

    std::unique_ptr<line_output> output_;
    const clock& time_;
    bounded_ring<std::string> ring_;
    std::atomic<std::size_t> failed_ = 0; ///< Lines that the output didn't take.
    std::size_t reported_ = 0;
    std::thread thread_;
};

std::unique_ptr<line_output> make_output(const log_settings& settings)
{
    // The library starts a pool of 4 threads when it is loaded, for its own asynchronous appenders, which are
    // not used here. It cannot be made smaller than 1.
    log4cplus::setThreadPoolSize(1);
    log4cplus::SharedAppenderPtr appender;
    switch (settings.destination) {
    case log_destination::standard_output:
        appender = new log4cplus::ConsoleAppender{false, true};
        break;
    case log_destination::standard_error:
        appender = new log4cplus::ConsoleAppender{true, true};
        break;
    case log_destination::file:
        // The library's appender only prints a message when it cannot open its file.
        if (!std::ofstream{settings.file, std::ios::app})
            throw std::runtime_error("cannot open log file " + settings.file);
        appender = new log4cplus::FileAppender{settings.file, std::ios::app};
        break;
    }
    return std::make_unique<appender_output>(std::move(appender));
}

} // namespace

class log_sink::impl {
public:
    impl(const log_settings& settings, const clock& source, std::unique_ptr<line_output> output)
        : time{source}, writer{std::move(output), settings.queue_capacity, source}
    {
    }

    const clock& time;
    line_writer writer;
};

log_sink::log_sink(const log_settings& settings, const clock& time)
    : level_{settings.level}, impl_{std::make_unique<impl>(settings, time, make_output(settings))}
{
}

log_sink::log_sink(const log_settings& settings, const clock& time,
                   std::function<void(const std::string&)> write)
    : level_{settings.level}, impl_{std::make_unique<impl>(
                                  settings, time, std::make_unique<function_output>(std::move(write)))}
{
}

log_sink::~log_sink() = default;

void log_sink::write(log_level level, const std::string& component, std::string_view event,
                     std::span<const log_field> fields)
{
    if (!enabled(level))
        return;
    impl_->writer.push(format_line(impl_->time.wall_now(), level, component, event, fields));
}

std::uint64_t log_sink::dropped() const
{
    return impl_->writer.dropped();
}

} // namespace mjm
