#pragma once

#include "core/enum_names.h"
#include "core/time_types.h"

#include <atomic>
#include <functional>
#include <thread>

namespace mjm {

enum class drain_state { running, draining, ended };
enum class drain_end { second_signal, deadline };

template <>
struct enum_names<drain_end> {
    static constexpr std::array<std::pair<drain_end, std::string_view>, 2> entries{{
        {drain_end::second_signal, "second_signal"},
        {drain_end::deadline, "deadline"},
    }};
};

/// Handles SIGTERM and SIGINT: the first one asks for a drain, a second one or the deadline ends it. Both
/// callbacks run at most once, on a thread of this object, and must not destroy it. One instance may exist
/// at a time; a second one throws std::logic_error.
class signal_drain {
public:
    signal_drain(duration deadline, std::function<void()> on_drain, std::function<void(drain_end)> on_end);
    /// Restores the previous signal handlers; no callback runs afterwards.
    ~signal_drain();
    signal_drain(const signal_drain&) = delete;
    signal_drain& operator=(const signal_drain&) = delete;

    /// Same as a signal, from any thread.
    void request();
    [[nodiscard]] drain_state state() const { return state_; }

private:
    void run();

    const duration deadline_;
    const std::function<void()> on_drain_;
    const std::function<void(drain_end)> on_end_;
    std::atomic<drain_state> state_ = drain_state::running;
    std::thread thread_;
};

} // namespace mjm
