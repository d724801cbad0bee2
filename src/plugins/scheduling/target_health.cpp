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

// Requests whose failures are remembered. A retry follows its first failure within seconds, at several
// hundred requests a second at most.
constexpr std::size_t max_remembered_requests = 4096;
constexpr duration evidence_age{std::chrono::minutes{5}};
// An ejection needs this much surprise: with the failure rate of the other targets, a run of failures like
// this one would come up less than once in 20 times. When everything fails everywhere it is no surprise.
constexpr double max_run_probability = 0.05;
constexpr double rate_half_life_s = 30.0;
// While a target returns, two failures of different requests send it back; one could be a bad request.
constexpr std::ptrdiff_t probe_failures = 2;
constexpr unsigned successes_per_step = 2;
constexpr double probe_weight = 0.1;
constexpr std::array<double, 4> return_weights{probe_weight, 0.25, 0.5, 1.0};
// After this many successes in full service, earlier ejections no longer lengthen the next one.
constexpr unsigned successes_to_forget = 50;

struct failure {
    request_id request;
    team_id team;
    timestamp at;
};

struct target_state {
    std::vector<failure> run; ///< Failures of different requests since the last success.
    double successes = 0.0;   ///< Decayed counts for the failure rate.
    double failures = 0.0;
    timestamp counted;
    unsigned ejections = 0;
    std::optional<timestamp> ejected_until;
    std::size_t step = return_weights.size() - 1; ///< Index into return_weights.
    unsigned step_successes = 0;

    void decay(timestamp now)
    {
        if (now <= counted)
            return;
        const double seconds = std::chrono::duration<double>(now - counted).count();
        const double factor = std::exp2(-seconds / rate_half_life_s);
        successes *= factor;
        failures *= factor;
        counted = now;
    }
    /// Smoothed so that a target without history counts as half failing.
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
    /// Targets on which a request has failed.
    std::set<target_id>& failed_targets(const request_id& request)
    {
        const auto [it, added] = failed_on_.try_emplace(request);
        if (added) {
            order_.push_back(request);
            if (order_.size() > max_remembered_requests) {
                failed_on_.erase(order_.front());
                order_.pop_front();
            }
        }
        return it->second;
    }

    /// Withdraws a request's failures, as it fails everywhere; takes back an ejection that rested on them.
    void exonerate(const std::set<target_id>& targets, const request_id& request, timestamp now);
    [[nodiscard]] bool is_evidence(const target_state& t, timestamp now) const;
    [[nodiscard]] bool surprising(const target_id& target, std::size_t run, timestamp now);
    [[nodiscard]] bool may_eject(timestamp now) const;
    void eject(target_state& t, timestamp now);

    std::unordered_map<request_id, std::set<target_id>> failed_on_;
    std::deque<request_id> order_;
    std::map<team_id, timestamp> teams_seen_;
};

bool target_health::impl::is_evidence(const target_state& t, timestamp now) const
{
    if (t.step + 1 < return_weights.size()) {
        const auto since_return = [&t](const failure& it) { return it.at >= t.ejected_until; };
        return std::count_if(t.run.begin(), t.run.end(), since_return) >= probe_failures;
    }
    std::set<team_id> teams;
    for (const failure& it : t.run)
        teams.insert(it.team);
    const auto active = [now](const auto& it) { return now - it.second < evidence_age; };
    const auto active_teams =
        static_cast<std::size_t>(std::count_if(teams_seen_.begin(), teams_seen_.end(), active));
    return t.run.size() >= settings_.min_failures &&
           teams.size() >= std::min(settings_.min_teams, std::max<std::size_t>(active_teams, 1));
}

bool target_health::impl::surprising(const target_id& target, std::size_t run, timestamp now)
{
    // Each target has one vote, so that a target that fails quickly does not dominate by its volume.
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
    return std::pow(sum / static_cast<double>(others), static_cast<double>(run)) < max_run_probability;
}

bool target_health::impl::may_eject(timestamp now) const
{
    const auto out = [this, now](const auto& it) { return ejected(it.second, now); };
    const auto count = static_cast<double>(std::count_if(targets_.begin(), targets_.end(), out));
    // With two or three targets the fraction would allow none, and one that fails everything would stay.
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
    t.step = 0;
    t.step_successes = 0;
}

void target_health::impl::exonerate(const std::set<target_id>& targets, const request_id& request,
                                    timestamp now)
{
    for (const target_id& id : targets) {
        const auto it = targets_.find(id);
        if (it == targets_.end())
            continue;
        target_state& t = it->second;
        const auto removed = std::erase_if(t.run, [&](const failure& f) { return f.request == request; });
        t.failures = std::max(0.0, t.failures - static_cast<double>(removed));
        // Only a first ejection is taken back: a later one follows failed probes as well.
        if (removed > 0 && ejected(t, now) && t.run.size() < settings_.min_failures && t.ejections == 1) {
            t.ejected_until = now;
            t.ejections = 0;
            t.step = 0;
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
        exonerate(failed_on, request, now);
        return;
    }
    t.decay(now);
    t.failures += 1.0;
    std::erase_if(t.run, [now](const failure& f) { return now - f.at > evidence_age; });
    const bool known =
        std::any_of(t.run.begin(), t.run.end(), [&](const failure& f) { return f.request == request; });
    // Failures beyond these add nothing to the decision; the bound keeps a target that cannot be ejected
    // because of the fraction from growing without limit.
    const std::size_t most = 4 * std::max<std::size_t>(settings_.min_failures, 1);
    const bool new_team =
        std::none_of(t.run.begin(), t.run.end(), [&](const failure& f) { return f.team == team; });
    if (!known && t.run.size() < most)
        t.run.push_back({request, team, now});
    else if (!known && new_team)
        t.run.back() = {request, team, now};
    if (!ejected(t, now) && is_evidence(t, now) && surprising(target, t.run.size(), now) && may_eject(now))
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
    t.run.clear();
    // A task that was started before the ejection and ends well now does not end the ejection.
    if (ejected(t, now))
        return;
    ++t.step_successes;
    if (t.step + 1 < return_weights.size()) {
        if (t.step_successes >= successes_per_step) {
            ++t.step;
            t.step_successes = 0;
        }
    } else if (t.step_successes >= successes_to_forget) {
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
    return return_weights[it->second.step];
}

std::size_t target_health::max_tasks(const target_id& target, std::size_t slots, timestamp now) const
{
    const auto it = impl_->targets_.find(target);
    if (it == impl_->targets_.end() || impl_->ejected(it->second, now))
        return 0;
    if (it->second.step == 0)
        return std::min<std::size_t>(slots, 1);
    const double part = static_cast<double>(slots) * return_weights[it->second.step];
    return std::min(slots, static_cast<std::size_t>(std::ceil(part)));
}

bool target_health::ejected(const target_id& target, timestamp now) const
{
    const auto it = impl_->targets_.find(target);
    return it != impl_->targets_.end() && impl_->ejected(it->second, now);
}

} // namespace mjm
