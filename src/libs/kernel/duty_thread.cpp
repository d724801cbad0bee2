#include "kernel/duty_thread.h"

#include "kernel/failure_report.h"

#include <pthread.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace mjm {

namespace {

constexpr std::chrono::milliseconds longest_stop{300};

} // namespace

duty_thread::duty_thread(duty_thread_settings settings, std::function<void()> tick)
    : settings_{std::move(settings)}, tick_{std::move(tick)}, executor_{settings_.request_capacity}
{
    executor_.set_failure_handler([this](std::string_view what) { on_failure(what); });
}

duty_thread::~duty_thread()
{
    stop();
}

void duty_thread::start()
{
    thread_ = std::thread{[this] { run(); }};
    // Linux limits thread names to 15 bytes and rejects longer ones.
    pthread_setname_np(thread_.native_handle(), settings_.name.substr(0, 15).c_str());
}

void duty_thread::stop()
{
    stopping_ = true;
    executor_.close();
    if (thread_.joinable())
        thread_.join();
}

bool duty_thread::is_current() const
{
    return id_.load() == std::this_thread::get_id();
}

void duty_thread::on_failure(std::string_view what) const noexcept
{
    report_failure("work_failed", what);
    if (!settings_.on_failure)
        return;
    try {
        settings_.on_failure(what);
    } catch (const std::exception& e) {
        report_failure("work_failed", e.what());
    }
}

void duty_thread::run()
{
    id_ = std::this_thread::get_id();
    using steady = std::chrono::steady_clock;
    steady::time_point next_tick = steady::now() + settings_.tick_interval;
    while (!stopping_) {
        const steady::time_point now = steady::now();
        if (now >= next_tick) {
            executor_.run(tick_);
            next_tick = std::max(next_tick + settings_.tick_interval, now);
            continue;
        }
        // Rounded up, since a remainder below 1 us would otherwise become a loop without any wait.
        executor_.run_for(std::chrono::ceil<duration>(next_tick - now));
    }
    // Work that keeps coming, such as answers to calls of other work, must not keep the process from ending.
    const steady::time_point until = steady::now() + longest_stop;
    while (executor_.run_for(duration::zero()) > 0 && steady::now() < until)
        continue;
}

} // namespace mjm
