#include "target_model.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mjm {

namespace {

std::tuple<std::uint64_t, shard_epoch> order_of(const lease_token& token)
{
    return {token.assignment, token.epoch};
}

} // namespace

target_model::target_model(target_id id, const target_model_settings& settings, timestamp now)
    : id_{std::move(id)}, settings_{settings},
      // A target that the model starts with counts as up for long: its memory is intact.
      booted_{now - settings.retention}
{
    boot_id_ = id_.str() + "-boot-" + std::to_string(++boot_count_);
}

target_challenge target_model::challenge(timestamp now)
{
    std::erase_if(challenges_,
                  [&](const auto& entry) { return entry.second + settings_.challenge_ttl < now; });
    std::string text = boot_id_ + "-c" + std::to_string(++last_challenge_);
    challenges_[text] = now;
    return {boot_id_, std::move(text)};
}

tl::expected<lease_grant, target_errc>
target_model::open_lease(const lease_token& token, const std::string& challenge, duration ttl, timestamp now)
{
    expire(now);
    const bool repeated = lease_.has_value() && order_of(token) == order_of(*lease_);
    if (lease_.has_value() &&
        (order_of(token) < order_of(*lease_) || (repeated && token.shard != lease_->shard)))
        return tl::unexpected{target_errc::fenced};
    const auto it = challenges_.find(challenge);
    if (it == challenges_.end() || it->second + settings_.challenge_ttl < now || token.boot_id != boot_id_)
        return tl::unexpected{target_errc::challenge_rejected};

    lease_ = token;
    lease_ttl_ = ttl;
    lease_ends_ = now + ttl;
    lease_grant grant{boot_id_, settings_.slots, leaving_, now - booted_, {}};
    for (const auto& [task, record] : tasks_)
        grant.tasks.push_back(record.report);
    return grant;
}

std::optional<target_errc> target_model::check_token(const lease_token& token, timestamp now) const
{
    if (!lease_.has_value() || token.boot_id != boot_id_)
        return target_errc::lease_expired;
    if (order_of(token) < order_of(*lease_) ||
        (order_of(token) == order_of(*lease_) && token.shard != lease_->shard))
        return target_errc::fenced;
    if (order_of(token) > order_of(*lease_) || lease_ends_ <= now)
        return target_errc::lease_expired;
    return std::nullopt;
}

tl::expected<usage_report, target_errc> target_model::renew(const lease_token& token, timestamp now)
{
    expire(now);
    if (const std::optional<target_errc> ec = check_token(token, now))
        return tl::unexpected{*ec};
    lease_ends_ = now + lease_ttl_;
    return usage_report{used(), running_count(), leaving_};
}

tl::expected<target_model::start_action, target_errc>
target_model::start(const lease_token& token, const start_order& order, timestamp now)
{
    expire(now);
    if (const std::optional<target_errc> ec = check_token(token, now))
        return tl::unexpected{*ec};
    const auto it = tasks_.find(order.task);
    if (it != tasks_.end()) {
        switch (it->second.report.state) {
        case task_state::running:
            return start_action::join;
        case task_state::finished:
        case task_state::stopped:
            return start_action::ended;
        case task_state::never_started:
            return tl::unexpected{target_errc::task_stopped};
        }
    }
    if (leaving_)
        return tl::unexpected{target_errc::leaving};
    if (running_count() >= settings_.slots)
        return tl::unexpected{target_errc::busy};

    task_record& record = tasks_[order.task];
    record.report = {order.task, order.request, order.team, task_state::running, order.reserved};
    record.run = runs_.size();
    runs_.push_back({order.task, order.request, order.team, now, std::nullopt, task_state::running});
    running_.insert(order.task);
    high_water_ = std::max(high_water_, running_count());
    return start_action::execute;
}

tl::expected<target_model::start_action, target_errc> target_model::fetch(const task_id& task, timestamp now)
{
    expire(now);
    const auto it = tasks_.find(task);
    if (it == tasks_.end())
        return tl::unexpected{target_errc::unknown_task};
    if (it->second.report.state == task_state::never_started)
        return tl::unexpected{target_errc::task_stopped};
    return it->second.report.state == task_state::running ? start_action::join : start_action::ended;
}

tl::expected<task_state, target_errc> target_model::stop(const lease_token& token, const task_id& task,
                                                         timestamp now)
{
    expire(now);
    if (const std::optional<target_errc> ec = check_token(token, now))
        return tl::unexpected{*ec};
    const auto it = tasks_.find(task);
    if (it == tasks_.end()) {
        task_record& tombstone = tasks_[task];
        tombstone.report.task = task;
        tombstone.report.state = task_state::never_started;
        ended_.emplace_back(now, task);
        return task_state::never_started;
    }
    if (it->second.report.state == task_state::running)
        end_task(it->second, task_state::stopped, now);
    return it->second.report.state;
}

void target_model::end_task(task_record& record, task_state state, timestamp now)
{
    record.report.state = state;
    running_.erase(record.report.task);
    ended_.emplace_back(now, record.report.task);
    runs_[record.run].ended = now;
    runs_[record.run].state = state;
}

bool target_model::finish(const task_id& task, bool succeeded, const std::string& body, timestamp now)
{
    const auto it = tasks_.find(task);
    if (it == tasks_.end() || it->second.report.state != task_state::running)
        return false;
    it->second.succeeded = succeeded;
    it->second.body = body;
    end_task(it->second, task_state::finished, now);
    return true;
}

tl::expected<task_result, target_errc> target_model::result(const task_id& task) const
{
    const auto it = tasks_.find(task);
    if (it == tasks_.end())
        return tl::unexpected{target_errc::unknown_task};
    switch (it->second.report.state) {
    case task_state::finished:
        return task_result{task, it->second.succeeded, it->second.body};
    case task_state::never_started:
        return tl::unexpected{target_errc::task_stopped};
    default:
        return tl::unexpected{target_errc::bad_response};
    }
}

std::vector<task_id> target_model::expire(timestamp now)
{
    std::vector<task_id> stopped;
    if (lease_.has_value() && lease_ends_ <= now) {
        stopped.assign(running_.begin(), running_.end());
        for (const task_id& task : stopped)
            end_task(tasks_.at(task), task_state::stopped, now);
    }
    while (!ended_.empty() && ended_.front().first + settings_.retention <= now) {
        tasks_.erase(ended_.front().second);
        ended_.pop_front();
    }
    return stopped;
}

void target_model::reboot(timestamp now)
{
    const std::set<task_id> killed = running_;
    for (const task_id& task : killed)
        end_task(tasks_.at(task), task_state::stopped, now);
    tasks_.clear();
    ended_.clear();
    challenges_.clear();
    lease_.reset();
    booted_ = now;
    boot_id_ = id_.str() + "-boot-" + std::to_string(++boot_count_);
}

resources target_model::used() const
{
    resources sum;
    for (const task_id& task : running_)
        sum += tasks_.at(task).report.used;
    return sum;
}

void target_model::clear_runs()
{
    // Running tasks refer to their entry by index, so these entries are kept.
    std::vector<task_run> kept;
    for (const task_id& task : running_) {
        task_record& record = tasks_.at(task);
        kept.push_back(runs_[record.run]);
        record.run = kept.size() - 1;
    }
    runs_ = std::move(kept);
    high_water_ = running_count();
}

} // namespace mjm
