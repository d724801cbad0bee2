#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace mjm {

/// Bounded queue between threads. Producers never block; a full ring rejects the item and counts it.
template <typename T>
class bounded_ring {
public:
    explicit bounded_ring(std::size_t capacity) : capacity_{capacity} {}

    /// Returns false, and leaves `item` untouched, when the ring is full or closed.
    [[nodiscard]] bool try_push(T& item)
    {
        {
            const std::lock_guard lock{mutex_};
            if (closed_ || items_.size() >= capacity_) {
                ++rejected_;
                return false;
            }
            items_.push_back(std::move(item));
        }
        ready_.notify_one();
        return true;
    }

    /// Waits up to `timeout` for an item, or until `wake` is called.
    template <typename Duration>
    [[nodiscard]] std::optional<T> pop_for(Duration timeout)
    {
        std::unique_lock lock{mutex_};
        ready_.wait_for(lock, timeout, [this] { return closed_ || woken_ || !items_.empty(); });
        woken_ = false;
        if (items_.empty())
            return std::nullopt;
        std::optional<T> item{std::move(items_.front())};
        items_.pop_front();
        return item;
    }

    [[nodiscard]] std::optional<T> try_pop()
    {
        const std::lock_guard lock{mutex_};
        if (items_.empty())
            return std::nullopt;
        std::optional<T> item{std::move(items_.front())};
        items_.pop_front();
        return item;
    }

    /// Makes the current or the next `pop_for` return without waiting, so that a consumer can look at
    /// something else too.
    void wake()
    {
        {
            const std::lock_guard lock{mutex_};
            woken_ = true;
        }
        ready_.notify_one();
    }

    /// Rejects further items and wakes the consumer; items already queued can still be popped.
    void close()
    {
        {
            const std::lock_guard lock{mutex_};
            closed_ = true;
        }
        ready_.notify_all();
    }

    [[nodiscard]] bool closed() const
    {
        const std::lock_guard lock{mutex_};
        return closed_;
    }
    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock{mutex_};
        return items_.size();
    }
    [[nodiscard]] std::size_t rejected() const
    {
        const std::lock_guard lock{mutex_};
        return rejected_;
    }

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable ready_;
    std::deque<T> items_;
    std::size_t rejected_ = 0;
    bool closed_ = false;
    bool woken_ = false;
};

} // namespace mjm
