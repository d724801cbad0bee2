#include "shard/task_ledger.h"

namespace mjm {

void task_ledger::add(active_task task)
{
    by_team_[task.team] += task.need.slots;
    by_target_[task.target] += task.need;
    const task_id id = task.id;
    tasks_.insert_or_assign(id, std::move(task));
}

std::optional<active_task> task_ledger::remove(const task_id& id)
{
    const auto it = tasks_.find(id);
    if (it == tasks_.end())
        return std::nullopt;
    active_task task = std::move(it->second);
    tasks_.erase(it);
    by_team_[task.team] -= task.need.slots;
    by_target_[task.target] -= task.need;
    return task;
}

const active_task* task_ledger::find(const task_id& id) const
{
    const auto it = tasks_.find(id);
    return it == tasks_.end() ? nullptr : &it->second;
}

std::int64_t task_ledger::in_use(const team_id& team) const
{
    const auto it = by_team_.find(team);
    return it == by_team_.end() ? 0 : it->second;
}

resources task_ledger::reserved(const target_id& target) const
{
    const auto it = by_target_.find(target);
    return it == by_target_.end() ? resources{} : it->second;
}

std::vector<task_id> task_ledger::tasks_on(const target_id& target) const
{
    std::vector<task_id> ids;
    for (const auto& [id, task] : tasks_) {
        if (task.target == target)
            ids.push_back(id);
    }
    return ids;
}

std::vector<std::shared_ptr<task_attempt>> task_ledger::attempts() const
{
    std::vector<std::shared_ptr<task_attempt>> all;
    all.reserve(tasks_.size());
    for (const auto& [id, task] : tasks_)
        all.push_back(task.attempt);
    return all;
}

} // namespace mjm
