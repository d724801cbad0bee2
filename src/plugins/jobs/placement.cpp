#include "jobs/placement.h"

#include <algorithm>

namespace mjm {

namespace {

// The penalties rank kinds of targets: each is larger than the sum of the fill level, which is at most 1, and
// all smaller penalties. Only the one of a slow target is as large as its run times ask for.
constexpr double pace_limited_penalty = 3.0;
constexpr double cold_penalty = 5.0;
constexpr double wrong_rack_penalty = 10.0;
// For each time the usual run time that a run takes longer; as for a rack on which it takes twice as long.
constexpr double slow_target_penalty = 10.0;
// Smaller differences don't outweigh an even filling of the targets.
constexpr double noticeable_slowness = 1.3;
// Keeps the penalty of a slow target below those of the next kinds.
constexpr double largest_slow_penalty = 10.0;
constexpr double concentrated_penalty = 30.0;
constexpr double maintained_soon_penalty = 50.0;
constexpr double avoided_penalty = 100.0;
constexpr double retired_penalty = 200.0;

bool has_label(const target_status& t, const std::string& label)
{
    return label.empty() ||
           std::find(t.info.labels.begin(), t.info.labels.end(), label) != t.info.labels.end();
}

/// Whether the target accepts work but for the ends that it must keep, and for a planned order for its host.
bool is_available(const target_status& t, timestamp now)
{
    return t.listed && t.synced && t.reachable && t.cordon != host_cordon::ordered && !t.evacuated &&
           !t.leaving && t.info.state == target_state::ready && now >= t.avoid_until && t.capacity_known() &&
           !t.clock_doubtful && !t.has_unknown_need() && !t.lease_wait_stored;
}

/// Whether the target's other runs allow one more of the task, going by the crashes that they may cause.
bool separated(const target_status& t, const placement_request& request)
{
    if (t.kept_for_isolation != request.isolated)
        return false;
    return request.isolated ? t.runs_on_probation == 0 : !request.suspected || t.suspected_runs == 0;
}

bool may_run(const target_status& t, const placement_request& request, timestamp now)
{
    const bool expires = accepts_expiring_run(t, now);
    const bool stays_until_order = request.step->permanent && accepts_permanent_tasks(t, now);
    return (accepts_work(t, now) || expires || stays_until_order) &&
           has_label(t, request.step->required_label) && has_place(t, request) && separated(t, request) &&
           (!request.step->backfill || now >= t.next_backfill_start);
}

double cost(const target_status& t, const placement_request& request, timestamp now)
{
    const step_spec& step = *request.step;
    const double fill = t.fill_level();
    // On an emptier target, a suspected run endangers fewer others.
    double result = step.backfill || request.suspected ? fill : 1.0 - fill;
    const std::string& rack = step.data_rack.empty() ? request.preferred_rack : step.data_rack;
    if (!rack.empty() && t.info.rack.str() != rack)
        result += wrong_rack_penalty;
    // A permanent task outlasts the time for which its target is cold.
    if (!step.permanent && now < t.info.warm_at)
        result += cold_penalty;
    if (!step.permanent && t.slowness >= noticeable_slowness)
        result += std::min(slow_target_penalty * (t.slowness - 1.0), largest_slow_penalty);
    // A host with more tasks of a step than may be unavailable at a time can't be maintained.
    if (step.max_unavailable != 0 && request.step_runs != nullptr) {
        const auto it = request.step_runs->find(t.info.id);
        if (it != request.step_runs->end() && it->second >= step.max_unavailable)
            result += concentrated_penalty;
    }
    if (step.backfill && t.pace_limited)
        result += pace_limited_penalty;
    if (step.permanent && t.maintained_soon)
        result += maintained_soon_penalty;
    if (!request.avoided_target.empty() && t.info.id == request.avoided_target)
        result += avoided_penalty;
    if (t.retired())
        result += retired_penalty;
    return result;
}

} // namespace

bool accepts_work(const target_status& t, timestamp now)
{
    return accepts_permanent_tasks(t, now) && t.cordon == host_cordon::none;
}

bool accepts_permanent_tasks(const target_status& t, timestamp now)
{
    return is_available(t, now) && !t.retired();
}

bool accepts_expiring_run(const target_status& t, timestamp now)
{
    return is_available(t, now) && t.cordon == host_cordon::none && t.may_expire(now) && t.settled() &&
           t.unknown_runs.empty();
}

bool could_run(const target_status& t, const placement_request& request)
{
    return has_label(t, request.step->required_label) && counted_need(*request.step).fits_in(t.info.capacity);
}

bool has_capacity(const target_status& t, const step_spec& step)
{
    return counted_need(step).fits_in(t.free());
}

bool has_place(const target_status& t, const placement_request& request)
{
    const step_spec& step = *request.step;
    if (!has_capacity(t, step))
        return false;
    if (step.max_per_target == 0 || request.step_runs == nullptr)
        return true;
    const auto it = request.step_runs->find(t.info.id);
    return it == request.step_runs->end() || it->second < step.max_per_target;
}

target_status* choose_target(const placement_request& request, const std::vector<target_status*>& pool,
                             timestamp now)
{
    target_status* best = nullptr;
    double best_cost = 0.0;
    for (target_status* t : pool) {
        if (!may_run(*t, request, now))
            continue;
        const double c = cost(*t, request, now);
        if (best == nullptr || c < best_cost) {
            best = t;
            best_cost = c;
        }
    }
    return best;
}

} // namespace mjm
