#include "fake_target.h"

#include <utility>

namespace mjm {

target_model& fake_target::add(const target_id& id, const target_model_settings& settings)
{
    return models_.try_emplace(id, id, settings, time_.now()).first->second;
}

bool fake_target::take_loss(const target_id& target, target_errc& ec)
{
    const auto it = losses_.find(target);
    if (it == losses_.end() || it->second.count == 0)
        return false;
    --it->second.count;
    ec = it->second.ec;
    return true;
}

template <typename Result>
void fake_target::answer(const std::string& label, const target_id& target,
                         const std::function<void(Result)>& done, Result result)
{
    pump_.add(
        call_pump::direction::answer, label,
        [this, target, done, result] {
            // A call that never reached the target keeps its own error.
            const bool refused_to_connect = !result && result.error() == target_errc::not_connected;
            if (unreachable_.contains(target) && !refused_to_connect)
                done(Result{tl::unexpected{target_errc::connection_lost}});
            else
                done(result);
        },
        [done] { done(Result{tl::unexpected{target_errc::timed_out}}); });
}

template <typename Result, typename Effect>
void fake_target::call(const std::string& label, const target_id& target, std::function<void(Result)> done,
                       Effect effect)
{
    const auto arrive = [this, label, target, done, effect] {
        const auto it = models_.find(target);
        if (it == models_.end() || unreachable_.contains(target)) {
            answer<Result>(label, target, done, tl::unexpected{target_errc::not_connected});
            return;
        }
        Result result = effect(it->second);
        answer_waiters();
        target_errc ec{};
        if (take_loss(target, ec))
            result = tl::unexpected{ec};
        answer<Result>(label, target, done, std::move(result));
    };
    const auto lose = [done] { done(Result{tl::unexpected{target_errc::timed_out}}); };
    pump_.add(call_pump::direction::request, label, arrive, lose);
}

void fake_target::call_for_result(
    const std::string& label, const target_id& target, const task_id& task, const result_callback& done,
    const std::function<tl::expected<target_model::start_action, target_errc>()>& effect)
{
    using result = tl::expected<task_result, target_errc>;
    const auto arrive = [this, label, target, task, done, effect] {
        if (!models_.contains(target) || unreachable_.contains(target)) {
            answer<result>(label, target, done, tl::unexpected{target_errc::not_connected});
            return;
        }
        const tl::expected<target_model::start_action, target_errc> action = effect();
        target_errc ec{};
        if (take_loss(target, ec)) {
            answer<result>(label, target, done, tl::unexpected{ec});
        } else if (!action) {
            answer<result>(label, target, done, tl::unexpected{action.error()});
        } else {
            waiters_.push_back({label, target, task, done});
        }
        answer_waiters();
    };
    const auto lose = [done] { done(result{tl::unexpected{target_errc::timed_out}}); };
    pump_.add(call_pump::direction::request, label, arrive, lose);
}

void fake_target::answer_waiters()
{
    std::vector<waiter> waiting;
    std::swap(waiting, waiters_);
    for (waiter& it : waiting) {
        const target_model& m = models_.at(it.target);
        if (m.running(it.task))
            waiters_.push_back(std::move(it));
        else
            answer<tl::expected<task_result, target_errc>>(it.label, it.target, it.done, m.result(it.task));
    }
}

void fake_target::challenge(const target_endpoint& target, challenge_callback done)
{
    using result = tl::expected<target_challenge, target_errc>;
    call<result>("challenge " + target.id.str(), target.id, std::move(done),
                 [this](target_model& m) { return result{m.challenge(time_.now())}; });
}

void fake_target::open_lease(const target_endpoint& target, const lease_token& token,
                             const std::string& challenge, duration ttl, lease_callback done)
{
    call<tl::expected<lease_grant, target_errc>>("open_lease " + target.id.str(), target.id, std::move(done),
                                                 [this, token, challenge, ttl](target_model& m) {
                                                     return m.open_lease(token, challenge, ttl, time_.now());
                                                 });
}

void fake_target::renew(const target_endpoint& target, const lease_token& token, renew_callback done)
{
    call<tl::expected<usage_report, target_errc>>(
        "renew " + target.id.str(), target.id, std::move(done),
        [this, token](target_model& m) { return m.renew(token, time_.now()); });
}

void fake_target::start(const target_endpoint& target, const lease_token& token, const start_order& order,
                        result_callback done)
{
    const target_id id = target.id;
    call_for_result("start " + id.str() + " " + order.task.str(), id, order.task, done,
                    [this, id, token, order] {
                        const tl::expected<target_model::start_action, target_errc> action =
                            models_.at(id).start(token, order, time_.now());
                        if (action && *action == target_model::start_action::execute)
                            orders_[id][order.task] = order;
                        return action;
                    });
}

void fake_target::fetch(const target_endpoint& target, const task_id& task, result_callback done)
{
    const target_id id = target.id;
    call_for_result("fetch " + id.str() + " " + task.str(), id, task, done,
                    [this, id, task] { return models_.at(id).fetch(task, time_.now()); });
}

void fake_target::stop(const target_endpoint& target, const lease_token& token, const task_id& task,
                       stop_callback done)
{
    call<tl::expected<task_state, target_errc>>(
        "stop " + target.id.str() + " " + task.str(), target.id, std::move(done),
        [this, token, task](target_model& m) { return m.stop(token, task, time_.now()); });
}

bool fake_target::finish(const target_id& target, const task_id& task, bool succeeded,
                         const std::string& body)
{
    const bool ended = models_.at(target).finish(task, succeeded, body, time_.now());
    answer_waiters();
    return ended;
}

std::size_t fake_target::finish_all()
{
    std::size_t n = 0;
    for (auto& [id, m] : models_) {
        for (const start_order& order : running_orders(id))
            n += m.finish(order.task, true, order.task.str(), time_.now()) ? 1 : 0;
    }
    answer_waiters();
    return n;
}

void fake_target::expire()
{
    for (auto& [id, m] : models_)
        m.expire(time_.now());
    answer_waiters();
}

std::vector<start_order> fake_target::running_orders(const target_id& target) const
{
    std::vector<start_order> running;
    const auto it = orders_.find(target);
    if (it == orders_.end())
        return running;
    for (const auto& [task, order] : it->second) {
        if (models_.at(target).running(task))
            running.push_back(order);
    }
    return running;
}

void fake_target::set_unreachable(const target_id& target, bool on)
{
    if (on)
        unreachable_.insert(target);
    else
        unreachable_.erase(target);
}

void fake_target::lose_next_answers(const target_id& target, std::size_t n, target_errc ec)
{
    losses_[target] = {n, ec};
}

void fake_target::reboot(const target_id& target)
{
    models_.at(target).reboot(time_.now());
    std::vector<waiter> waiting;
    std::swap(waiting, waiters_);
    for (waiter& it : waiting) {
        if (it.target != target)
            waiters_.push_back(std::move(it));
        else
            answer<tl::expected<task_result, target_errc>>(it.label, it.target, it.done,
                                                           tl::unexpected{target_errc::connection_lost});
    }
}

} // namespace mjm
