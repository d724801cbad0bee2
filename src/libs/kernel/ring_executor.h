#pragma once

#include "core/bounded_ring.h"
#include "core/executor.h"
#include "core/time_types.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string_view>
#include <utility>

namespace mjm {

/// Executor with one queue for new requests, which is bounded and refuses when full, and one for replies to
/// calls that the component made itself, which never refuses: its size is bounded by the calls outstanding.
/// Replies run first, and urgent ones before all others. Posting is thread-safe; one thread consumes.
class ring_executor final : public executor {
public:
    using work = std::function<void()>;

    explicit ring_executor(std::size_t request_capacity) : requests_{request_capacity} {}

    /// Sets what is called on the consumer's thread, with the message, when work has thrown an exception. The
    /// other work still runs. Without a handler the exception reaches the consumer.
    void set_failure_handler(std::function<void(std::string_view what)> handler)
    {
        on_failure_ = std::move(handler);
    }
    /// Runs `item` on the calling thread, and reports an exception likewise.
    void run(const work& item);

    /// Queues a reply. Never refused; after `close` it stays queued and runs only if the consumer drains.
    void post(work reply) override;
    /// Returns an executor for replies that must not wait behind a long queue of others. They are to be few,
    /// since one that is posted by another urgent one runs after the next ordinary reply at the earliest.
    [[nodiscard]] executor& urgent() { return urgent_; }
    /// Queues a new request. Returns false, and leaves `request` untouched, when the ring is full or closed.
    [[nodiscard]] bool try_post(work& request);

    /// Waits up to `timeout` for work, then runs all replies queued by then and at most one request, so that
    /// neither queue starves the other. Returns the number of items run.
    std::size_t run_for(duration timeout);
    /// Runs until both queues are empty.
    std::size_t run_pending();
    /// Refuses further requests and makes the consumer return from `run_for`.
    void close();

    [[nodiscard]] std::size_t waiting_requests() const { return requests_.size(); }
    [[nodiscard]] std::size_t refused_requests() const { return requests_.rejected(); }
    [[nodiscard]] std::size_t waiting_replies() const;

private:
    class urgent_executor final : public executor {
    public:
        explicit urgent_executor(ring_executor& ring) : ring_{ring} {}
        void post(work reply) override { ring_.post_to(ring_.urgent_replies_, std::move(reply)); }

    private:
        ring_executor& ring_;
    };

    void post_to(std::deque<work>& queue, work reply);
    [[nodiscard]] std::deque<work> take(std::deque<work>& queue);
    std::size_t run_replies();
    /// Runs the urgent replies that are queued when it is called.
    std::size_t run_urgent_replies();

    std::function<void(std::string_view)> on_failure_;
    bounded_ring<work> requests_;
    mutable std::mutex replies_mutex_;
    std::deque<work> replies_;
    std::deque<work> urgent_replies_;
    urgent_executor urgent_{*this};
};

} // namespace mjm
