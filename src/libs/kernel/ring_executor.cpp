#include "kernel/ring_executor.h"

#include <exception>
#include <optional>
#include <utility>

namespace mjm {

void ring_executor::run(const work& item)
{
    if (!on_failure_) {
        item();
        return;
    }
    try {
        item();
    } catch (const std::exception& e) {
        on_failure_(e.what());
    } catch (...) {
        on_failure_("an exception of an unknown type");
    }
}

void ring_executor::post(work reply)
{
    post_to(replies_, std::move(reply));
}

void ring_executor::post_to(std::deque<work>& queue, work reply)
{
    {
        const std::lock_guard lock{replies_mutex_};
        queue.push_back(std::move(reply));
    }
    requests_.wake();
}

std::deque<ring_executor::work> ring_executor::take(std::deque<work>& queue)
{
    const std::lock_guard lock{replies_mutex_};
    return std::exchange(queue, {});
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
        run(*request);
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
    return replies_.size() + urgent_replies_.size();
}

std::size_t ring_executor::run_replies()
{
    std::size_t n = run_urgent_replies();
    for (const work& reply : take(replies_)) {
        run(reply);
        n += 1 + run_urgent_replies();
    }
    return n;
}

std::size_t ring_executor::run_urgent_replies()
{
    const std::deque<work> batch = take(urgent_replies_);
    for (const work& reply : batch)
        run(reply);
    return batch.size();
}

} // namespace mjm
