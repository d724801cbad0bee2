#pragma once

#include "core/clock.h"
#include "platform/target_client.h"

#include <functional>
#include <memory>

namespace mjm {

/// What the owner of an attempt is told. Exactly one of `answered`, `not_started` and `ended_unknown` is
/// called, at most once; after it the task has provably ended at the target.
struct attempt_events {
    std::function<void(const task_result&)> answered;
    std::function<void(target_errc)> not_started; ///< Has not run and never will.
    std::function<void()> ended_unknown;          ///< Has ended; how is not known.
    std::function<void()> lost;                   ///< May be running; its answer is being looked for.
};

/// One attempt to run a request on one target. After a broken call it finds out what became of the task.
class task_attempt : public std::enable_shared_from_this<task_attempt> {
public:
    task_attempt(const target_endpoint& endpoint, const lease_token& token, start_order order,
                 const clock& time, target_client& targets, attempt_events events);

    /// Sends the start.
    void start();
    /// Takes on a task that the target reports as running or finished.
    void adopt();
    /// Asks the target to stop the task. `done` gets the state it was left in, or the error.
    void stop(std::function<void(tl::expected<task_state, target_errc>)> done);
    /// The target has restarted, or is gone for good: the task has ended.
    void target_restarted();
    /// Forgets the task without a further event: another owner has adopted it.
    void abandon() { ended_ = true; }
    void tick();

    [[nodiscard]] const start_order& order() const { return order_; }
    [[nodiscard]] const target_endpoint& endpoint() const { return endpoint_; }
    [[nodiscard]] timestamp started_at() const { return started_at_; }

private:
    void fetch();
    void fetched(const tl::expected<task_result, target_errc>& result);
    void settle_unknown_task();
    void stop_answered(const tl::expected<task_state, target_errc>& state);
    void retry_fetch_later();
    void mark_lost();
    void end_answered(const task_result& result);
    void end_not_started(target_errc ec);
    void end_unknown();

    target_endpoint endpoint_;
    lease_token token_; ///< As of the start; the boot identifier ties every later question to that boot.
    start_order order_;
    const clock& time_;
    target_client& targets_;
    attempt_events events_;

    timestamp started_at_;
    timestamp next_fetch_;
    unsigned bad_answers_ = 0;
    bool waiting_to_fetch_ = false;
    bool ended_ = false;
    bool lost_ = false;
};

} // namespace mjm
