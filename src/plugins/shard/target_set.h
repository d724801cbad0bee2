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

/// A shard's targets: their leases, reported usage, health, and what is known about earlier owners' tasks.
class target_set {
public:
    struct events {
        std::function<void(const target_id&, const lease_grant&, bool rebooted)> opened;
        std::function<void(const target_id&)> gone; ///< Every task there has ended.
    };

    target_set(const shard_id& shard, shard_epoch epoch, const clock& time, target_client& targets,
               target_lease::confirm_function confirm, const target_lease_settings& settings,
               events callbacks);
    ~target_set();
    target_set(const target_set&) = delete;
    target_set& operator=(const target_set&) = delete;

    /// Targets of the shard as configured. Those of the first call may hold tasks of earlier owners.
    void configure(const std::vector<target_record>& records);
    /// The platform's list says that the target is leaving, or is no longer there.
    void set_listed_state(const target_id& id, bool leaving, bool gone);
    void tick();
    /// Stops all leases, without further events.
    void abandon();

    [[nodiscard]] std::optional<target_id> choose(const resources& need, const std::set<target_id>& avoid,
                                                  const task_ledger& tasks, random_source& random) const;
    /// Target to keep free for a large task; see `choose_reservation`.
    [[nodiscard]] std::optional<target_id> choose_kept(const resources& need, const task_ledger& tasks) const;
    /// Like `choose`, never on `kept`.
    [[nodiscard]] std::optional<target_id> choose_beside(const resources& need, const target_id& kept,
                                                         const task_ledger& tasks,
                                                         random_source& random) const;
    /// True when some target could hold `need` if it were idle.
    [[nodiscard]] bool can_ever_hold(const resources& need) const;
    [[nodiscard]] bool empty() const { return targets_.empty(); }
    [[nodiscard]] resources largest_capacity() const;
    [[nodiscard]] resources usable_capacity() const;
    [[nodiscard]] std::int64_t free_slots(const task_ledger& tasks) const;
    [[nodiscard]] std::int64_t slots_of(const target_id& id) const;

    /// Slots on targets where an earlier owner may still start tasks.
    [[nodiscard]] std::int64_t unfenced_slots() const;
    /// True when no earlier owner can start anything on any target any more.
    [[nodiscard]] bool all_fenced() const;
    /// True when the targets' lists go back to before `issued`, on this host's wall clock.
    [[nodiscard]] bool memory_covers(wall_time issued) const;

    [[nodiscard]] std::shared_ptr<target_lease> lease(const target_id& id) const;
    void mark_leaving(const target_id& id);
    [[nodiscard]] target_health& health() { return health_; }
    [[nodiscard]] bool is_leaving(const target_id& id) const;

private:
    struct entry {
        target_record record;
        std::shared_ptr<target_lease> lease;
        resources reported_used;
        std::int64_t slots = 0;
        bool listed_leaving = false;   ///< According to the platform's list.
        bool reported_leaving = false; ///< According to the target itself.
        bool gone = false;
        bool inherited = false; ///< An earlier owner of the shard may have used it.
        std::optional<wall_time> memory_from;
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
    std::int64_t removed_unfenced_slots_ = 0;
};

} // namespace mjm
