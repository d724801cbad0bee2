#pragma once

#include "core/clock.h"
#include "platform/target_client.h"

#include <functional>
#include <memory>

namespace mjm {

/// Callbacks of an attempt. At most one of `answered`, `not_started` and `ended_unknown` is called, and only
/// once; from then on the task is known to have ended at the target.
struct attempt_events {
    std::function<void(const task_result&)> answered; ///< The target sent the task's result.
    std::function<void(target_errc)> not_started;     ///< The task has not run and never will.
    std::function<void()> ended_unknown;              ///< The task has ended, but its result is not known.
    /// The target's answer is missing and is being fetched. The task may be running.
    std::function<void()> answer_lost;
};

/// One attempt to run a request on one target. If the call to the target fails, the attempt determines
/// whether the task has run and fetches its result.
class task_attempt : public std::enable_shared_from_this<task_attempt> {
public:
    task_attempt(const target_endpoint& endpoint, const lease_token& token, start_order order,
                 const clock& time, target_client& targets, attempt_events events);

    /// Sends the start to the target.
    void start();
    /// Takes over a task that the target reports as running or finished, without sending a start.
    void take_over();
    /// Asks the target to stop the task. `done` is called with the task's state after the stop, or the error.
    void stop(std::function<void(tl::expected<task_state, target_errc>)> done);
    /// Ends the attempt with an unknown result, because its target has restarted or is gone.
    void target_restarted();
    /// Ends the attempt without calling any more callbacks. Another owner takes over its task.
    void abandon() { ended_ = true; }
    void tick();

    [[nodiscard]] const start_order& order() const { return order_; }
    [[nodiscard]] const target_endpoint& endpoint() const { return endpoint_; }
    [[nodiscard]] timestamp started_at() const { return started_at_; }

private:
    void fetch();
    void fetched(const tl::expected<task_result, target_errc>& result);
    /// Stops a task whose result the target doesn't have, and finds out from the answer whether it has run.
    void resolve_unknown_task();
    void stop_answered(const tl::expected<task_state, target_errc>& state);
    void retry_fetch_later();
    void report_answer_lost();
    void end_answered(const task_result& result);
    void end_not_started(target_errc ec);
    void end_unknown();

    target_endpoint endpoint_;
    /// Token at the time of the start. Its boot identifier makes every later call refer to the same boot.
    lease_token token_;
    start_order order_;
    const clock& time_;
    target_client& targets_;
    attempt_events events_;

    timestamp started_at_;
    timestamp next_fetch_;
    unsigned bad_answers_ = 0;
    bool waiting_to_fetch_ = false;
    bool ended_ = false;
    bool answer_lost_ = false;
};

} // namespace mjm
