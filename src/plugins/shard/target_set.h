#pragma once

#include "configuration/fleet_config.h"
#include "core/clock.h"
#include "scheduling/placement.h"
#include "scheduling/target_health.h"
#include "shard/target_lease.h"
#include "shard/task_ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// Targets of a shard, with their leases, reported usage, health and the state of the recovery of earlier
/// owners' tasks.
class target_set {
public:
    struct events {
        /// Called when the lease on a target was opened.
        std::function<void(const target_id&, const lease_grant&, bool rebooted)> opened;
        /// Called when a target is no longer there, so that every task on it has ended.
        std::function<void(const target_id&)> gone;
    };

    target_set(const shard_id& shard, shard_epoch epoch, const clock& time, target_client& targets,
               target_lease::confirm_function confirm, const target_lease_settings& settings,
               events callbacks);
    ~target_set();
    target_set(const target_set&) = delete;
    target_set& operator=(const target_set&) = delete;

    /// Sets the configured targets of the shard. Targets of the first call may run tasks of earlier owners.
    void configure(const std::vector<target_record>& records);
    /// Sets a target's state according to the platform's list: `leaving` if it takes no more work, `gone` if
    /// it is not listed any more.
    void set_listed_state(const target_id& id, bool leaving, bool gone);
    void tick();
    /// Stops renewing and opening all leases.
    void abandon();

    /// Returns a target with free capacity for `need`, or std::nullopt if there is none. Targets in `avoid`
    /// are chosen only if no other has the capacity.
    [[nodiscard]] std::optional<target_id> choose(const resources& need, const std::set<target_id>& avoid,
                                                  const task_ledger& tasks, random_source& random) const;
    /// Returns the target to reserve for a large task; see `choose_reservation`.
    [[nodiscard]] std::optional<target_id> choose_reserved_target(const resources& need,
                                                                  const task_ledger& tasks) const;
    /// Like `choose`, but never returns `reserved_target`.
    [[nodiscard]] std::optional<target_id> choose_other_target(const resources& need,
                                                               const target_id& reserved_target,
                                                               const task_ledger& tasks,
                                                               random_source& random) const;
    /// Whether the capacity of some target is large enough for `need`.
    [[nodiscard]] bool can_ever_hold(const resources& need) const;
    [[nodiscard]] bool empty() const { return targets_.empty(); }
    /// Returns the largest capacity of any target, for each kind of resource.
    [[nodiscard]] resources largest_capacity() const;
    /// Returns the total capacity of the targets that can take work now.
    [[nodiscard]] resources usable_capacity() const;
    [[nodiscard]] std::int64_t free_slots(const task_ledger& tasks) const;
    [[nodiscard]] std::int64_t slots_of(const target_id& id) const;

    /// Returns the number of slots on targets where an earlier owner may still start tasks.
    [[nodiscard]] std::int64_t unfenced_slots() const;
    /// Whether no earlier owner can start tasks on any target any more.
    [[nodiscard]] bool all_fenced() const;
    /// Whether the task lists of all targets go back to a time before `issued`, by this host's wall clock and
    /// with an allowance for clock skew.
    [[nodiscard]] bool task_lists_cover(wall_time issued) const;

    /// Returns the lease on a target, or null if the shard doesn't have this target.
    [[nodiscard]] std::shared_ptr<target_lease> lease(const target_id& id) const;
    /// Records that the target itself reported that it is leaving.
    void mark_leaving(const target_id& id);
    [[nodiscard]] target_health& health() { return health_; }
    [[nodiscard]] bool is_leaving(const target_id& id) const;

private:
    struct entry {
        target_record record;
        std::shared_ptr<target_lease> lease;
        resources reported_used;
        std::int64_t slots = 0;
        bool listed_leaving = false;   ///< Leaving according to the platform's list.
        bool reported_leaving = false; ///< Leaving according to the target itself.
        bool gone = false;             ///< No longer there according to the platform's list.
        bool inherited = false;        ///< Whether an earlier owner of the shard may have used the target.
        /// Time from which on the target's task list is complete; unset until the list is received or the
        /// target is gone.
        std::optional<wall_time> task_list_since;
    };

    void add(const target_record& record, bool inherited);
    void lease_opened(const target_id& id, const lease_grant& grant, bool rebooted);
    [[nodiscard]] bool usable(const entry& target) const;
    [[nodiscard]] std::vector<placement_candidate> candidates_without(const std::set<target_id>& excluded,
                                                                      const task_ledger& tasks) const;
    [[nodiscard]] placement_candidate candidate(const entry& target, const task_ledger& tasks) const;

    shard_id shard_;
    shard_epoch epoch_;
    const clock& time_;
    target_client& client_;
    target_lease::confirm_function confirm_;
    target_lease_settings settings_;
    events events_;
    std::map<target_id, entry> targets_;
    target_health health_;
    bool configured_ = false;
    std::int64_t removed_unfenced_slots_ = 0; ///< Slots of targets that were removed before they were fenced.
};

} // namespace mjm
