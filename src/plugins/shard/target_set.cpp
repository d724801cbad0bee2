#include "shard/target_set.h"

#include <algorithm>

namespace mjm {

target_set::target_set(const shard_id& shard, shard_epoch epoch, const clock& time, target_client& targets,
                       target_lease::confirm_function confirm, const target_lease_settings& settings,
                       events callbacks)
    : shard_{shard}, epoch_{epoch}, time_{time}, client_{targets}, confirm_{std::move(confirm)},
      settings_{settings}, events_{std::move(callbacks)}, health_{target_health_settings{}}
{
}

target_set::~target_set()
{
    abandon();
}

void target_set::configure(const std::vector<target_record>& records)
{
    std::vector<target_id> ids;
    ids.reserve(records.size());
    for (const target_record& record : records)
        ids.push_back(record.endpoint.id);

    for (auto it = targets_.begin(); it != targets_.end();) {
        if (std::find(ids.begin(), ids.end(), it->first) != ids.end()) {
            ++it;
            continue;
        }
        // An earlier owner may go on starting tasks on a target that this owner has never leased, until an
        // owner in the target's new pool fences it. Its slots therefore count as unfenced for the rest of
        // this epoch.
        const entry& removed = it->second;
        if (removed.inherited && !removed.lease->ever_open() && !removed.gone)
            removed_unfenced_slots_ += removed.record.capacity.slots;
        it->second.lease->abandon();
        it = targets_.erase(it);
    }
    for (const target_record& record : records) {
        const auto it = targets_.find(record.endpoint.id);
        if (it == targets_.end()) {
            add(record, !configured_);
        } else if (it->second.record.assignment != record.assignment ||
                   !(it->second.record.endpoint == record.endpoint)) {
            it->second.lease->abandon();
            add(record, it->second.inherited);
        } else {
            it->second.record = record;
        }
    }
    configured_ = true;
    health_.set_targets(ids);
}

void target_set::add(const target_record& record, bool inherited)
{
    const target_id id = record.endpoint.id;
    entry target;
    target.record = record;
    target.slots = record.capacity.slots;
    // The first epoch of a shard has no earlier owner.
    target.inherited = inherited && epoch_ > 1;
    target.lease =
        std::make_shared<target_lease>(record.endpoint, lease_token{shard_, record.assignment, epoch_, ""},
                                       time_, client_, confirm_, settings_);
    target.lease->on_open(
        [this, id](const lease_grant& grant, bool rebooted) { lease_opened(id, grant, rebooted); });
    target.lease->on_usage([this, id](const usage_report& report) {
        entry& reported = targets_.at(id);
        reported.reported_used = report.used;
        reported.reported_leaving = report.leaving;
    });
    targets_.insert_or_assign(id, std::move(target));
}

void target_set::lease_opened(const target_id& id, const lease_grant& grant, bool rebooted)
{
    entry& target = targets_.at(id);
    target.slots = std::min(grant.slots, target.record.capacity.slots);
    target.reported_leaving = grant.leaving;
    target.gone = false;
    const wall_time booted =
        time_.wall_now() - std::chrono::duration_cast<std::chrono::milliseconds>(grant.uptime);
    if (!target.task_list_since)
        target.task_list_since = booted;
    events_.opened(id, grant, rebooted);
}

void target_set::set_listed_state(const target_id& id, bool leaving, bool gone)
{
    const auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    entry& target = it->second;
    target.listed_leaving = leaving;
    if (gone && !target.gone && !target.lease->reachable()) {
        target.gone = true;
        if (!target.task_list_since)
            target.task_list_since = time_.wall_now();
        events_.gone(id);
    }
}

void target_set::tick()
{
    std::vector<std::shared_ptr<target_lease>> leases;
    leases.reserve(targets_.size());
    for (const auto& [id, target] : targets_)
        leases.push_back(target.lease);
    for (const std::shared_ptr<target_lease>& lease : leases)
        lease->tick();
}

void target_set::abandon()
{
    for (auto& [id, target] : targets_)
        target.lease->abandon();
}

bool target_set::usable(const entry& target) const
{
    return target.lease->reachable() && !target.listed_leaving && !target.reported_leaving && !target.gone &&
           !target.record.cordoned;
}

placement_candidate target_set::candidate(const entry& target, const task_ledger& tasks) const
{
    const timestamp now = time_.now();
    const target_id& id = target.record.endpoint.id;
    placement_candidate result;
    result.id = id;
    result.rack = target.record.rack;
    result.capacity = target.record.capacity;
    result.capacity.slots = static_cast<std::int64_t>(
        health_.max_tasks(id, static_cast<std::size_t>(std::max<std::int64_t>(target.slots, 0)), now));
    result.reserved = tasks.reserved(id);
    result.reported_used = target.reported_used;
    result.weight = health_.weight(id, now);
    result.usable = usable(target);
    return result;
}

std::vector<placement_candidate> target_set::candidates_without(const std::set<target_id>& excluded,
                                                                const task_ledger& tasks) const
{
    std::vector<placement_candidate> candidates;
    candidates.reserve(targets_.size());
    for (const auto& [id, target] : targets_) {
        if (!excluded.contains(id))
            candidates.push_back(candidate(target, tasks));
    }
    return candidates;
}

std::optional<target_id> target_set::choose(const resources& need, const std::set<target_id>& avoid,
                                            const task_ledger& tasks, random_source& random) const
{
    std::optional<target_id> chosen = choose_target(candidates_without(avoid, tasks), need, random);
    if (chosen || avoid.empty())
        return chosen;
    return choose_target(candidates_without({}, tasks), need, random);
}

std::optional<target_id> target_set::choose_reserved_target(const resources& need,
                                                            const task_ledger& tasks) const
{
    return choose_reservation(candidates_without({}, tasks), need);
}

std::optional<target_id> target_set::choose_other_target(const resources& need,
                                                         const target_id& reserved_target,
                                                         const task_ledger& tasks,
                                                         random_source& random) const
{
    return choose_target(candidates_without({reserved_target}, tasks), need, random);
}

bool target_set::can_ever_hold(const resources& need) const
{
    return std::any_of(targets_.begin(), targets_.end(),
                       [&](const auto& it) { return need.fits_in(it.second.record.capacity); });
}

resources target_set::largest_capacity() const
{
    resources largest;
    for (const auto& [id, target] : targets_) {
        const resources& capacity = target.record.capacity;
        largest.milli_cpu = std::max(largest.milli_cpu, capacity.milli_cpu);
        largest.memory_mib = std::max(largest.memory_mib, capacity.memory_mib);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
        largest.slots = std::max(largest.slots, capacity.slots);
    }
    return largest;
}

resources target_set::usable_capacity() const
{
    resources total;
    for (const auto& [id, target] : targets_) {
        if (usable(target))
            total += target.record.capacity;
    }
    return total;
}

std::int64_t target_set::free_slots(const task_ledger& tasks) const
{
    std::int64_t total = 0;
    for (const auto& [id, target] : targets_) {
        if (usable(target))
            total += std::max<std::int64_t>(0, target.slots - tasks.running_on(id));
    }
    return total;
}

std::int64_t target_set::slots_of(const target_id& id) const
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? 0 : it->second.slots;
}

std::int64_t target_set::unfenced_slots() const
{
    std::int64_t total = removed_unfenced_slots_;
    for (const auto& [id, target] : targets_) {
        if (target.inherited && !target.gone && !target.lease->ever_open())
            total += target.record.capacity.slots;
    }
    return total;
}

bool target_set::all_fenced() const
{
    return configured_ && unfenced_slots() == 0;
}

bool target_set::task_lists_cover(wall_time issued) const
{
    return std::all_of(targets_.begin(), targets_.end(), [&](const auto& it) {
        const entry& target = it.second;
        return !target.inherited ||
               (target.task_list_since && *target.task_list_since + max_clock_skew < issued);
    });
}

std::shared_ptr<target_lease> target_set::lease(const target_id& id) const
{
    const auto it = targets_.find(id);
    return it == targets_.end() ? nullptr : it->second.lease;
}

void target_set::mark_leaving(const target_id& id)
{
    const auto it = targets_.find(id);
    if (it != targets_.end())
        it->second.reported_leaving = true;
}

bool target_set::is_leaving(const target_id& id) const
{
    const auto it = targets_.find(id);
    return it != targets_.end() &&
           (it->second.listed_leaving || it->second.reported_leaving || it->second.record.cordoned);
}

} // namespace mjm
