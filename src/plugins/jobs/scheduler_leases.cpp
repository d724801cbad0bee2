#include "jobs/job_scheduler.h"

#include <algorithm>

namespace mjm {

namespace {

// Interval at which the waits for silent targets are stored again while they last.
constexpr std::chrono::seconds waits_interval{1};

} // namespace

void job_scheduler::note_lease(target_status& t, const granted_lease& lease, timestamp now) const
{
    t.lease_until = std::max(t.lease_until, lease.over_at);
    t.lease_granted_at = now;
    t.lease_clock_age = now - t.clock->read_at;
}

timestamp job_scheduler::lease_over_at(const target_status& t)
{
    bool unconfirmed = false;
    for_runs(t, [&unconfirmed](const open_job& /*open*/, const task_position& /*p*/, const task_run& run) {
        unconfirmed = unconfirmed || (run.phase != run_phase::planned && run.confirmed_clock_ms == 0);
    });
    // The target may have restarted unnoticed and have carried out the start since. A deadline on its former
    // clock is far ahead on its present one.
    return unconfirmed && t.lease_granted_at != timestamp{}
               ? std::max(t.lease_until, leases_.longest_lease_over_at(t.lease_granted_at))
               : t.lease_until;
}

void job_scheduler::restore_lease_waits(const lease_waits& waits)
{
    for (const auto& [id, wait] : waits) {
        leases_.set_earlier_wait(id, wait);
        set_wait_stored(id);
        if (target_status* t = find_target(id))
            t->lease_until = std::min(t->lease_until, leases_.earlier_leases_over_at(id));
    }
}

void job_scheduler::set_wait_stored(const target_id& id)
{
    stored_waits_.insert(id);
    if (target_status* t = find_target(id))
        t->lease_wait_stored = true;
}

void job_scheduler::note_silent_target(const target_id& id, timestamp lease_over_at)
{
    silent_targets_[id] = lease_over_at;
}

std::optional<lease_waits> job_scheduler::take_unstored_waits(timestamp now)
{
    const bool same_targets =
        silent_targets_.size() == stored_waits_.size() &&
        std::equal(silent_targets_.begin(), silent_targets_.end(), stored_waits_.begin(),
                   [](const auto& silent, const target_id& stored) { return silent.first == stored; });
    if (same_targets && (silent_targets_.empty() || now < next_waits_write_))
        return std::nullopt;
    next_waits_write_ = now + waits_interval;
    lease_waits out;
    for (const auto& [id, over_at] : silent_targets_) {
        out[id] = std::max(over_at - now, duration{0});
        set_wait_stored(id); // From now on the store may have it.
    }
    return out;
}

void job_scheduler::on_waits_stored(const lease_waits& waits)
{
    stored_waits_.clear();
    for (auto& [id, t] : targets_) {
        if (t.lease_wait_stored && !waits.contains(id)) {
            plan_needed_.insert(t.info.service);
            t.next_observation = {};
        }
        t.lease_wait_stored = false;
    }
    for (const auto& [id, wait] : waits)
        set_wait_stored(id);
}

} // namespace mjm
