#include "shard/task_attempt.h"

namespace mjm {

namespace {

constexpr duration fetch_retry_delay{std::chrono::milliseconds{500}};
/// A single malformed answer may have been damaged in transit. A second one means that the target has no
/// result, which is the case if it stopped the task.
constexpr unsigned max_bad_answers = 2;

} // namespace

task_attempt::task_attempt(const target_endpoint& endpoint, const lease_token& token, start_order order,
                           const clock& time, target_client& targets, attempt_events events)
    : endpoint_{endpoint}, token_{token}, order_{std::move(order)}, time_{time}, targets_{targets},
      events_{std::move(events)}, started_at_{time.now()}
{
}

void task_attempt::start()
{
    targets_.start(endpoint_, token_, order_,
                   [weak = weak_from_this()](const tl::expected<task_result, target_errc>& result) {
                       const std::shared_ptr<task_attempt> self = weak.lock();
                       if (!self || self->ended_)
                           return;
                       if (result)
                           self->end_answered(*result);
                       else if (provably_not_started(result.error()))
                           self->end_not_started(result.error());
                       else
                           self->fetch();
                   });
}

void task_attempt::take_over()
{
    fetch();
}

void task_attempt::fetch()
{
    waiting_to_fetch_ = false;
    const std::shared_ptr<task_attempt> keep_alive = shared_from_this();
    targets_.fetch(endpoint_, order_.task,
                   [weak = weak_from_this()](const tl::expected<task_result, target_errc>& result) {
                       const std::shared_ptr<task_attempt> self = weak.lock();
                       if (self && !self->ended_)
                           self->fetched(result);
                   });
}

void task_attempt::fetched(const tl::expected<task_result, target_errc>& result)
{
    if (result) {
        end_answered(*result);
        return;
    }
    // An earlier stop, the answer of which did not arrive, made the target refuse the start.
    if (result.error() == target_errc::task_stopped) {
        end_not_started(result.error());
        return;
    }
    report_answer_lost();
    if (ended_)
        return;
    if (result.error() == target_errc::bad_response)
        ++bad_answers_;
    if (result.error() == target_errc::unknown_task || bad_answers_ >= max_bad_answers)
        resolve_unknown_task();
    else
        retry_fetch_later();
}

void task_attempt::resolve_unknown_task()
{
    // The start may still be in flight. After a stop the target refuses it.
    targets_.stop(endpoint_, token_, order_.task,
                  [weak = weak_from_this()](const tl::expected<task_state, target_errc>& state) {
                      const std::shared_ptr<task_attempt> self = weak.lock();
                      if (self && !self->ended_)
                          self->stop_answered(state);
                  });
}

void task_attempt::stop_answered(const tl::expected<task_state, target_errc>& state)
{
    if (!state) {
        retry_fetch_later();
        return;
    }
    switch (*state) {
    case task_state::never_started:
        end_not_started(target_errc::task_stopped);
        break;
    case task_state::stopped:
        end_unknown();
        break;
    case task_state::running:
    case task_state::finished:
        fetch();
        break;
    }
}

void task_attempt::stop(std::function<void(tl::expected<task_state, target_errc>)> done)
{
    targets_.stop(endpoint_, token_, order_.task,
                  [weak = weak_from_this(),
                   done = std::move(done)](const tl::expected<task_state, target_errc>& state) {
                      const std::shared_ptr<task_attempt> self = weak.lock();
                      done(state);
                      if (self && !self->ended_ && state && *state != task_state::running)
                          self->stop_answered(state);
                  });
}

void task_attempt::target_restarted()
{
    if (!ended_)
        end_unknown();
}

void task_attempt::tick()
{
    if (!ended_ && waiting_to_fetch_ && time_.now() >= next_fetch_)
        fetch();
}

void task_attempt::retry_fetch_later()
{
    waiting_to_fetch_ = true;
    next_fetch_ = time_.now() + fetch_retry_delay;
}

void task_attempt::report_answer_lost()
{
    if (answer_lost_)
        return;
    answer_lost_ = true;
    events_.answer_lost();
}

void task_attempt::end_answered(const task_result& result)
{
    ended_ = true;
    const std::shared_ptr<task_attempt> keep_alive = shared_from_this();
    events_.answered(result);
}

void task_attempt::end_not_started(target_errc ec)
{
    ended_ = true;
    const std::shared_ptr<task_attempt> keep_alive = shared_from_this();
    events_.not_started(ec);
}

void task_attempt::end_unknown()
{
    ended_ = true;
    const std::shared_ptr<task_attempt> keep_alive = shared_from_this();
    events_.ended_unknown();
}

} // namespace mjm
