#pragma once

#include "core/executor.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace mjm {

/// Executor whose work runs only when a test asks for it. `post` may be called from any thread.
class manual_executor final : public executor {
public:
    void post(std::function<void()> work) override;
    /// Runs queued work, including work queued meanwhile, until none is left; returns how much ran.
    std::size_t run_all();
    /// Waits for work to be posted and runs it until `done` returns true.
    void run_until(const std::function<bool()>& done);

private:
    std::mutex mutex_;
    std::condition_variable posted_;
    std::deque<std::function<void()>> work_;
};

} // namespace mjm
