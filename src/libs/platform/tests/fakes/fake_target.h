#pragma once

#include "call_pump.h"
#include "core/clock.h"
#include "platform/target_client.h"
#include "target_model.h"

#include <map>
#include <set>
#include <vector>

namespace mjm {

/// Any number of in-memory targets driven by a `call_pump`. Message labels: `challenge T`, `open_lease T`,
/// `renew T`, `start T TASK`, `fetch T TASK`, `stop T TASK`. A task runs until the test ends it. Losing a
/// message reports `timed_out`.
class fake_target final : public target_client {
public:
    fake_target(call_pump& pump, const clock& time) : pump_{pump}, time_{time} {}

    void challenge(const target_endpoint& target, challenge_callback done) override;
    void open_lease(const target_endpoint& target, const lease_token& token, const std::string& challenge,
                    duration ttl, lease_callback done) override;
    void renew(const target_endpoint& target, const lease_token& token, renew_callback done) override;
    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override;
    void fetch(const target_endpoint& target, const task_id& task, result_callback done) override;
    void stop(const target_endpoint& target, const lease_token& token, const task_id& task,
              stop_callback done) override;

    /// Adds a target; calls to targets that were not added report `not_connected`.
    target_model& add(const target_id& id, const target_model_settings& settings = {});
    [[nodiscard]] target_model& model(const target_id& id) { return models_.at(id); }

    /// Ends a task; false when it does not run there.
    bool finish(const target_id& target, const task_id& task, bool succeeded, const std::string& body);
    /// Ends every running task with success and its task identifier as the body; returns how many.
    std::size_t finish_all();
    /// Stops the tasks of lapsed leases and answers the calls that wait for them; call after advancing the
    /// clock.
    void expire();
    /// Start orders of the running tasks.
    [[nodiscard]] std::vector<start_order> running_orders(const target_id& target) const;

    /// While set, requests to the target report `not_connected`, and answers from it `connection_lost`.
    void set_unreachable(const target_id& target, bool on);
    /// The next `n` delivered requests to the target take effect, and report `ec`.
    void lose_next_answers(const target_id& target, std::size_t n,
                           target_errc ec = target_errc::connection_lost);
    /// Loses the target's memory; calls waiting for a task there report `connection_lost`.
    void reboot(const target_id& target);

private:
    struct answer_loss {
        std::size_t count = 0;
        target_errc ec = target_errc::connection_lost;
    };
    struct waiter {
        std::string label;
        target_id target;
        task_id task;
        result_callback done;
    };

    template <typename Result>
    void answer(const std::string& label, const target_id& target, const std::function<void(Result)>& done,
                Result result);
    template <typename Result, typename Effect>
    void call(const std::string& label, const target_id& target, std::function<void(Result)> done,
              Effect effect);
    void
    call_for_result(const std::string& label, const target_id& target, const task_id& task,
                    const result_callback& done,
                    const std::function<tl::expected<target_model::start_action, target_errc>()>& effect);
    /// Answers the calls that wait for tasks which have ended.
    void answer_waiters();
    [[nodiscard]] bool take_loss(const target_id& target, target_errc& ec);

    call_pump& pump_;
    const clock& time_;
    std::map<target_id, target_model> models_;
    std::map<target_id, std::map<task_id, start_order>> orders_;
    std::set<target_id> unreachable_;
    std::map<target_id, answer_loss> losses_;
    std::vector<waiter> waiters_;
};

} // namespace mjm
