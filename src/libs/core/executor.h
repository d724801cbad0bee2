#pragma once

#include <functional>

namespace mjm {

/// Runs work on the thread that drives a component.
class executor {
public:
    executor() = default;
    executor(const executor&) = delete;
    executor& operator=(const executor&) = delete;
    virtual ~executor() = default;

    /// Queues `work` to run later on the executor's thread; never runs it from within the call.
    virtual void post(std::function<void()> work) = 0;
};

} // namespace mjm
