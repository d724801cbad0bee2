#include "scheduling/target_health.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace mjm {

namespace {

// Number of failed requests that are remembered. A retry follows the first failure within seconds, at a rate
// of at most several hundred requests per second.
constexpr std::size_t max_remembered_requests = 4096;
constexpr duration evidence_age{std::chrono::minutes{5}};
// A target is ejected only if a sequence of failures as long as its own has less than this probability at the
// failure rate of the other targets. If tasks fail on all targets, such a sequence is probable.
constexpr double max_streak_probability = 0.05;
constexpr double failure_rate_half_life_s = 30.0;
// Failures of different requests that eject a returning target again. A single failure may be due to a bad
// request.
constexpr std::ptrdiff_t failures_to_eject_again = 2;
constexpr unsigned successes_per_step = 2;
constexpr double probe_weight = 0.1;
constexpr std::array<double, 4> return_weights{probe_weight, 0.25, 0.5, 1.0};
// Number of successes at full weight after which earlier ejections no longer lengthen the next one.
constexpr unsigned successes_to_reset_ejections = 50;

struct failure {
    request_id request;
    team_id team;
    timestamp at;
};

struct target_state {
    std::vector<failure> streak; ///< Failures of different requests since the last success.
    double successes = 0.0;      ///< Decayed number of successes, for the failure rate.
    double failures = 0.0;       ///< Decayed number of failures.
    timestamp decayed_at;        ///< Time of the last decay.
    unsigned ejections = 0;
    std::optional<timestamp> ejected_until;
    std::size_t return_step = return_weights.size() - 1; ///< Index into `return_weights`.
    unsigned successes_at_step = 0;

    void decay(timestamp now)
    {
        if (now <= decayed_at)
            return;
        const double seconds = std::chrono::duration<double>(now - decayed_at).count();
        const double factor = std::exp2(-seconds / failure_rate_half_life_s);
        successes *= factor;
        failures *= factor;
        decayed_at = now;
    }
    /// Returns the failure rate, smoothed so that it is 0.5 for a target without history.
    [[nodiscard]] double failure_rate() const { return (failures + 0.5) / (failures + successes + 1.0); }
};

} // namespace

class target_health::impl {
public:
    explicit impl(const target_health_settings& settings) : settings_{settings} {}

    void record_failure(const target_id& target, const request_id& request, const team_id& team,
                        timestamp now);
    void record_success(const target_id& target, const request_id& request, const team_id& team,
                        timestamp now);

    [[nodiscard]] bool ejected(const target_state& t, timestamp now) const
    {
        return t.ejected_until && now < *t.ejected_until;
    }

    target_health_settings settings_;
    std::map<target_id, target_state> targets_;

private:
    /// Returns the targets on which a request has failed.
    std::set<target_id>& failed_targets(const request_id& request)
    {
        const auto [it, added] = failed_on_.try_emplace(request);
        if (added) {
            request_order_.push_back(request);
            if (request_order_.size() > max_remembered_requests) {
                failed_on_.erase(request_order_.front());
                request_order_.pop_front();
            }
        }
        return it->second;
    }

    /// Removes the failures of a request that has failed on several targets, and reverts an ejection that was
    /// based on them.
    void withdraw_failures(const std::set<target_id>& targets, const request_id& request, timestamp now);
    /// Whether the target has enough failures, of enough teams, for an ejection.
    [[nodiscard]] bool has_enough_failures(const target_state& t, timestamp now) const;
    /// Whether `streak` failures in sequence are improbable at the failure rate of the other targets.
    [[nodiscard]] bool streak_is_improbable(const target_id& target, std::size_t streak, timestamp now);
    /// Whether one more target can be ejected within the allowed fraction.
    [[nodiscard]] bool may_eject(timestamp now) const;
    void eject(target_state& t, timestamp now);

    std::unordered_map<request_id, std::set<target_id>> failed_on_;
    std::deque<request_id> request_order_;
    std::map<team_id, timestamp> teams_seen_;
};

bool target_health::impl::has_enough_failures(const target_state& t, timestamp now) const
{
    if (t.return_step + 1 < return_weights.size()) {
        const auto since_return = [&t](const failure& it) { return it.at >= t.ejected_until; };
        return std::count_if(t.streak.begin(), t.streak.end(), since_return) >= failures_to_eject_again;
    }
    std::set<team_id> teams;
    for (const failure& it : t.streak)
        teams.insert(it.team);
    const auto active = [now](const auto& it) { return now - it.second < evidence_age; };
    const auto active_teams =
        static_cast<std::size_t>(std::count_if(teams_seen_.begin(), teams_seen_.end(), active));
    return t.streak.size() >= settings_.min_failures &&
           teams.size() >= std::min(settings_.min_teams, std::max<std::size_t>(active_teams, 1));
}

bool target_health::impl::streak_is_improbable(const target_id& target, std::size_t streak, timestamp now)
{
    // The failure rates have equal weights, so that a target on which many tasks fail fast doesn't dominate.
    double sum = 0.0;
    std::size_t others = 0;
    for (auto& [id, it] : targets_) {
        if (id == target || ejected(it, now))
            continue;
        it.decay(now);
        sum += it.failure_rate();
        ++others;
    }
    if (others == 0)
        return false;
    return std::pow(sum / static_cast<double>(others), static_cast<double>(streak)) < max_streak_probability;
}

bool target_health::impl::may_eject(timestamp now) const
{
    const auto is_ejected = [this, now](const auto& it) { return ejected(it.second, now); };
    const auto count = static_cast<double>(std::count_if(targets_.begin(), targets_.end(), is_ejected));
    // With two targets the fraction would allow no ejection, and a target on which all tasks fail would stay
    // in use.
    const double allowed = std::max(targets_.size() > 1 ? 1.0 : 0.0,
                                    settings_.max_ejected_fraction * static_cast<double>(targets_.size()));
    return count + 1.0 <= allowed;
}

void target_health::impl::eject(target_state& t, timestamp now)
{
    duration length = settings_.first_ejection;
    for (unsigned n = 0; n < t.ejections && length < settings_.longest_ejection; ++n)
        length *= 2;
    ++t.ejections;
    t.ejected_until = now + std::min(length, settings_.longest_ejection);
    t.return_step = 0;
    t.successes_at_step = 0;
}

void target_health::impl::withdraw_failures(const std::set<target_id>& targets, const request_id& request,
                                            timestamp now)
{
    for (const target_id& id : targets) {
        const auto it = targets_.find(id);
        if (it == targets_.end())
            continue;
        target_state& t = it->second;
        const auto removed = std::erase_if(t.streak, [&](const failure& f) { return f.request == request; });
        t.failures = std::max(0.0, t.failures - static_cast<double>(removed));
        // Only a first ejection is reverted, because later ones follow failed probes as well.
        if (removed > 0 && ejected(t, now) && t.streak.size() < settings_.min_failures && t.ejections == 1) {
            t.ejected_until = now;
            t.ejections = 0;
            t.return_step = 0;
        }
    }
}

void target_health::impl::record_failure(const target_id& target, const request_id& request,
                                         const team_id& team, timestamp now)
{
    teams_seen_[team] = now;
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    target_state& t = found->second;
    std::set<target_id>& failed_on = failed_targets(request);
    failed_on.insert(target);
    if (failed_on.size() > 1) {
        withdraw_failures(failed_on, request, now);
        return;
    }
    t.decay(now);
    t.failures += 1.0;
    std::erase_if(t.streak, [now](const failure& f) { return now - f.at > evidence_age; });
    const bool already_counted =
        std::any_of(t.streak.begin(), t.streak.end(), [&](const failure& f) { return f.request == request; });
    // More failures would not change the decision. The bound limits the list of a target that cannot be
    // ejected because too many others are.
    const std::size_t max_failures = 4 * std::max<std::size_t>(settings_.min_failures, 1);
    const bool new_team =
        std::none_of(t.streak.begin(), t.streak.end(), [&](const failure& f) { return f.team == team; });
    if (!already_counted && t.streak.size() < max_failures)
        t.streak.push_back({request, team, now});
    else if (!already_counted && new_team)
        t.streak.back() = {request, team, now};
    if (!ejected(t, now) && has_enough_failures(t, now) &&
        streak_is_improbable(target, t.streak.size(), now) && may_eject(now))
        eject(t, now);
}

void target_health::impl::record_success(const target_id& target, const request_id& request,
                                         const team_id& team, timestamp now)
{
    teams_seen_[team] = now;
    failed_on_.erase(request);
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    target_state& t = found->second;
    t.decay(now);
    t.successes += 1.0;
    t.streak.clear();
    // The success of a task that was started before the ejection doesn't end the ejection.
    if (ejected(t, now))
        return;
    ++t.successes_at_step;
    if (t.return_step + 1 < return_weights.size()) {
        if (t.successes_at_step >= successes_per_step) {
            ++t.return_step;
            t.successes_at_step = 0;
        }
    } else if (t.successes_at_step >= successes_to_reset_ejections) {
        t.ejections = 0;
    }
}

target_health::target_health(const target_health_settings& settings) : impl_{std::make_unique<impl>(settings)}
{
}
target_health::~target_health() = default;

void target_health::set_targets(const std::vector<target_id>& targets)
{
    std::map<target_id, target_state> kept;
    for (const target_id& id : targets) {
        const auto it = impl_->targets_.find(id);
        kept.emplace(id, it != impl_->targets_.end() ? std::move(it->second) : target_state{});
    }
    impl_->targets_ = std::move(kept);
}

void target_health::record_success(const target_id& target, const request_id& request, const team_id& team,
                                   timestamp now)
{
    impl_->record_success(target, request, team, now);
}

void target_health::record_failure(const target_id& target, const request_id& request, const team_id& team,
                                   timestamp now)
{
    impl_->record_failure(target, request, team, now);
}

double target_health::weight(const target_id& target, timestamp now) const
{
    const auto it = impl_->targets_.find(target);
    if (it == impl_->targets_.end() || impl_->ejected(it->second, now))
        return 0.0;
    return return_weights[it->second.return_step];
}

std::size_t target_health::max_tasks(const target_id& target, std::size_t slots, timestamp now) const
{
    const auto it = impl_->targets_.find(target);
    if (it == impl_->targets_.end() || impl_->ejected(it->second, now))
        return 0;
    if (it->second.return_step == 0)
        return std::min<std::size_t>(slots, 1);
    const double part = static_cast<double>(slots) * return_weights[it->second.return_step];
    return std::min(slots, static_cast<std::size_t>(std::ceil(part)));
}

bool target_health::ejected(const target_id& target, timestamp now) const
{
    const auto it = impl_->targets_.find(target);
    return it != impl_->targets_.end() && impl_->ejected(it->second, now);
}

} // namespace mjm
