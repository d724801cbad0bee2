#include "kernel/signal_drain.h"

#include "kernel/failure_report.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <exception>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace mjm {

namespace {

constexpr std::array<int, 2> handled_signals{SIGTERM, SIGINT};
constexpr char request_byte = 'r';
constexpr char quit_byte = 'q';

std::atomic<bool> in_use = false;
// The handler cannot take an argument, so the pipe's ends are global; -1 when there is no instance.
std::atomic<int> read_end = -1;
std::atomic<int> write_end = -1;
std::array<struct sigaction, handled_signals.size()> previous_actions;

void write_byte(char byte)
{
    const int fd = write_end;
    // A full pipe already holds more requests than matter.
    if (fd >= 0 && write(fd, &byte, 1) < 0)
        return;
}

extern "C" void mjm_signal_drain_handler(int /*signal*/)
{
    const int saved = errno;
    write_byte(request_byte);
    errno = saved;
}

/// Waits for a byte; nothing when `deadline` passes first.
std::optional<char> next_byte(std::optional<std::chrono::steady_clock::time_point> deadline)
{
    for (;;) {
        int timeout_ms = -1;
        if (deadline) {
            const std::chrono::milliseconds left =
                std::chrono::ceil<std::chrono::milliseconds>(*deadline - std::chrono::steady_clock::now());
            if (left.count() <= 0)
                return std::nullopt;
            // Longer waits are split, since poll takes an int.
            timeout_ms = static_cast<int>(std::min<std::chrono::milliseconds::rep>(left.count(), 60'000));
        }
        pollfd item{read_end, POLLIN, 0};
        char byte = 0;
        if (poll(&item, 1, timeout_ms) > 0 && read(read_end, &byte, 1) == 1)
            return byte;
    }
}

/// A callback that fails must not keep the drain from ending.
template <typename Callback>
void call(const Callback& callback)
{
    try {
        callback();
    } catch (const std::exception& e) {
        report_failure("drain_failed", e.what());
    }
}

} // namespace

signal_drain::signal_drain(duration deadline, std::function<void()> on_drain,
                           std::function<void(drain_end)> on_end)
    : deadline_{deadline}, on_drain_{std::move(on_drain)}, on_end_{std::move(on_end)}
{
    if (in_use.exchange(true))
        throw std::logic_error("signal_drain exists already");
    std::array<int, 2> ends{};
    if (pipe2(ends.data(), O_NONBLOCK | O_CLOEXEC) != 0) {
        in_use = false;
        throw std::system_error(errno, std::generic_category(), "pipe2");
    }
    read_end = ends[0];
    write_end = ends[1];
    struct sigaction action = {};
    action.sa_handler = mjm_signal_drain_handler;
    action.sa_flags = SA_RESTART;
    sigemptyset(&action.sa_mask);
    for (std::size_t n = 0; n < handled_signals.size(); ++n)
        sigaction(handled_signals[n], &action, &previous_actions[n]);
    thread_ = std::thread{[this] { run(); }};
}

signal_drain::~signal_drain()
{
    for (std::size_t n = 0; n < handled_signals.size(); ++n)
        sigaction(handled_signals[n], &previous_actions[n], nullptr);
    // A pipe full of requests is read until both callbacks have run, so the retry ends.
    const char byte = quit_byte;
    while (write(write_end, &byte, 1) != 1)
        std::this_thread::yield();
    thread_.join();
    close(write_end.exchange(-1));
    close(read_end.exchange(-1));
    in_use = false;
}

void signal_drain::request()
{
    write_byte(request_byte);
}

void signal_drain::run()
{
    if (next_byte(std::nullopt) == quit_byte)
        return;
    state_ = drain_state::draining;
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + deadline_;
    call(on_drain_);
    const std::optional<char> byte = next_byte(deadline);
    if (byte == quit_byte)
        return;
    state_ = drain_state::ended;
    call([&] { on_end_(byte ? drain_end::second_signal : drain_end::deadline); });
    // Reads on, so that the pipe always has room for the destructor's byte.
    while (next_byte(std::nullopt) != quit_byte)
        continue;
}

} // namespace mjm
