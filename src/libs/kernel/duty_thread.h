#pragma once

#include "kernel/ring_executor.h"

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace mjm {

struct duty_thread_settings {
    std::string name; ///< Shown by the operating system; cut to 15 bytes.
    std::size_t request_capacity = 1024;
    duration tick_interval{std::chrono::milliseconds{100}};
    /// Called on the thread after a tick or a piece of work has thrown an exception; may be null. The failure
    /// has been reported to standard error by then, and the thread goes on.
    std::function<void(std::string_view what)> on_failure = {};
};

/// A thread that drives one component: it runs the work posted to its executor, and calls `tick` at an
/// interval, also under constant load. A tick that comes late is not made up for by several.
class duty_thread {
public:
    duty_thread(duty_thread_settings settings, std::function<void()> tick);
    /// Stops the thread.
    ~duty_thread();
    duty_thread(const duty_thread&) = delete;
    duty_thread& operator=(const duty_thread&) = delete;

    /// Starts the thread; work posted before is kept and runs then. May be called once.
    void start();
    /// Refuses new requests, runs what is queued for 300 ms at most, then joins. Must not be called from the
    /// thread itself.
    void stop();

    [[nodiscard]] ring_executor& executor() { return executor_; }
    /// Whether the caller runs on this thread, for assertions.
    [[nodiscard]] bool is_current() const;

private:
    void run();
    void on_failure(std::string_view what) const noexcept;

    const duty_thread_settings settings_;
    const std::function<void()> tick_;
    ring_executor executor_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::thread::id> id_;
    std::thread thread_;
};

} // namespace mjm
