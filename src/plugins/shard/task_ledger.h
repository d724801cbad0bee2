#pragma once

#include "core/identifiers.h"
#include "core/resources.h"
#include "shard/task_attempt.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace mjm {

/// Task that may be running on a target.
struct active_task {
    task_id id;
    request_id request;
    team_id team;
    target_id target;
    resources need;
    std::shared_ptr<task_attempt> attempt;
};

/// Tasks of one shard that are not known to have ended, with the resources that they use per team and per
/// target.
class task_ledger {
public:
    void add(active_task task);
    /// Removes and returns a task. Returns std::nullopt if the task is not in the ledger.
    [[nodiscard]] std::optional<active_task> remove(const task_id& id);
    /// Returns the task, or null if it is not in the ledger.
    [[nodiscard]] const active_task* find(const task_id& id) const;

    /// Returns the number of slots that the team's tasks use.
    [[nodiscard]] std::int64_t in_use(const team_id& team) const;
    /// Returns the resources that the tasks on the target use.
    [[nodiscard]] resources reserved(const target_id& target) const;
    [[nodiscard]] std::int64_t running_on(const target_id& target) const { return reserved(target).slots; }
    [[nodiscard]] std::vector<task_id> tasks_on(const target_id& target) const;
    [[nodiscard]] std::vector<std::shared_ptr<task_attempt>> attempts() const;
    /// Returns the number of slots in use per team.
    [[nodiscard]] const std::map<team_id, std::int64_t>& by_team() const { return by_team_; }
    [[nodiscard]] std::size_t size() const { return tasks_.size(); }

private:
    std::unordered_map<task_id, active_task> tasks_;
    std::map<team_id, std::int64_t> by_team_;
    std::map<target_id, resources> by_target_;
};

} // namespace mjm
