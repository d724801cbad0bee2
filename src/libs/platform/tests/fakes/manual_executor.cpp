#include "manual_executor.h"

#include <utility>

namespace mjm {

void manual_executor::post(std::function<void()> work)
{
    {
        const std::lock_guard lock{mutex_};
        work_.push_back(std::move(work));
    }
    posted_.notify_one();
}

std::size_t manual_executor::run_all()
{
    std::size_t ran = 0;
    while (true) {
        std::function<void()> work;
        {
            const std::lock_guard lock{mutex_};
            if (work_.empty())
                return ran;
            work = std::move(work_.front());
            work_.pop_front();
        }
        work();
        ++ran;
    }
}

void manual_executor::run_until(const std::function<bool()>& done)
{
    while (!done()) {
        {
            std::unique_lock lock{mutex_};
            posted_.wait(lock, [this] { return !work_.empty(); });
        }
        run_all();
    }
}

} // namespace mjm
