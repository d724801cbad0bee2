#include "kernel/failure_report.h"

#include <sys/prctl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <utility>

namespace mjm {

namespace {

constexpr std::array<std::pair<int, std::string_view>, 5> fatal_signals{{
    {SIGABRT, "SIGABRT"},
    {SIGBUS, "SIGBUS"},
    {SIGFPE, "SIGFPE"},
    {SIGILL, "SIGILL"},
    {SIGSEGV, "SIGSEGV"},
}};

/// One line of fixed size: a handler of signals must not allocate memory.
class report_line {
public:
    void append(std::string_view text)
    {
        for (const char c : text.substr(0, std::min(text.size(), buf_.size() - size_)))
            buf_[size_++] = c;
    }
    void append_escaped(std::string_view text)
    {
        for (const char c : text) {
            if (size_ + reserved >= buf_.size())
                return;
            buf_[size_++] = c < ' ' || c > '~' || c == '"' || c == '\\' ? '?' : c;
        }
    }
    void write() const
    {
        if (::write(STDERR_FILENO, buf_.data(), size_) < 0)
            return;
    }

private:
    static constexpr std::size_t reserved = 64; ///< For what follows a text.
    std::array<char, 512> buf_{};
    std::size_t size_ = 0;
};

void write_report(std::string_view event, std::string_view detail)
{
    std::array<char, 17> thread{};
    prctl(PR_GET_NAME, thread.data());
    report_line line;
    line.append(R"({"level":"error","component":"process","event":")");
    line.append_escaped(event);
    line.append(R"(","fields":{"detail":")");
    line.append_escaped(detail);
    line.append(R"(","thread":")");
    line.append_escaped(thread.data());
    line.append("\"}}\n");
    line.write();
}

extern "C" void mjm_failure_signal_handler(int signal)
{
    for (const auto& [number, name] : fatal_signals) {
        if (number == signal)
            write_report("process_failed", name);
    }
    // The handler has been reset, so that the signal ends the process now.
    raise(signal);
}

[[noreturn]] void on_terminate()
{
    try {
        if (std::current_exception())
            std::rethrow_exception(std::current_exception());
        write_report("process_failed", "terminated without an exception");
    } catch (const std::exception& e) {
        write_report("process_failed", e.what());
    } catch (...) {
        write_report("process_failed", "an exception of an unknown type");
    }
    std::signal(SIGABRT, SIG_DFL);
    std::abort();
}

} // namespace

void install_failure_reports()
{
    std::set_terminate(on_terminate);
    struct sigaction action = {};
    action.sa_handler = mjm_failure_signal_handler;
    action.sa_flags = static_cast<int>(SA_RESETHAND | SA_NODEFER);
    sigemptyset(&action.sa_mask);
    for (const auto& [number, name] : fatal_signals)
        sigaction(number, &action, nullptr);
}

void report_failure(std::string_view event, std::string_view what) noexcept
{
    write_report(event, what);
}

} // namespace mjm
