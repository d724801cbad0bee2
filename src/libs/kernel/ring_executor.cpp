#include "kernel/ring_executor.h"

#include <optional>
#include <utility>

namespace mjm {

void ring_executor::post(work reply)
{
    {
        const std::lock_guard lock{replies_mutex_};
        replies_.push_back(std::move(reply));
    }
    requests_.wake();
}

bool ring_executor::try_post(work& request)
{
    return requests_.try_push(request);
}

std::size_t ring_executor::run_for(duration timeout)
{
    // Replies already here make waiting needless; one that arrives later wakes the wait.
    std::size_t n = run_replies();
    std::optional<work> request = n > 0 ? requests_.try_pop() : requests_.pop_for(timeout);
    if (n == 0)
        n = run_replies();
    if (request) {
        (*request)();
        ++n;
    }
    return n;
}

std::size_t ring_executor::run_pending()
{
    std::size_t total = 0;
    while (const std::size_t n = run_for(duration::zero()))
        total += n;
    return total;
}

void ring_executor::close()
{
    requests_.close();
}

std::size_t ring_executor::waiting_replies() const
{
    const std::lock_guard lock{replies_mutex_};
    return replies_.size();
}

std::size_t ring_executor::run_replies()
{
    std::deque<work> batch;
    {
        const std::lock_guard lock{replies_mutex_};
        batch.swap(replies_);
    }
    for (const work& reply : batch)
        reply();
    return batch.size();
}

} // namespace mjm
