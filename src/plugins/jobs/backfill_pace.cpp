#include "jobs/backfill_pace.h"

#include <algorithm>

namespace mjm {

std::vector<paced_run> backfill_pace::on_report(const std::vector<paced_run>& running,
                                                std::optional<double> latency, timestamp now)
{
    const int before = reported_sum();
    const bool first = runs_.empty() && !limit_;
    update_runs(running);
    const int sum = reported_sum();
    if (sum != before)
        changed_at_ = now;
    // An earlier leader has limited the sum.
    if (first && latency && sum < full_pace * static_cast<int>(runs_.size()))
        limit_ = sum;
    update_limit(latency, now);
    divide_limit();
    std::vector<paced_run> orders;
    for (entry& e : runs_) {
        if (const std::optional<paced_run> order = order_for(e, now))
            orders.push_back(*order);
    }
    return orders;
}

std::optional<paced_run> backfill_pace::on_start(const task_key& task, run_number run, timestamp now)
{
    const auto known = std::find_if(runs_.begin(), runs_.end(), [&](const entry& e) {
        return e.reported.task == task && e.reported.run == run;
    });
    if (known != runs_.end())
        return std::nullopt;
    runs_.push_back({{task, run, full_pace}, full_pace, std::nullopt, {}});
    changed_at_ = now;
    divide_limit();
    return order_for(runs_.back(), now);
}

std::optional<duration> backfill_pace::next_report() const
{
    if (runs_.empty())
        return std::nullopt;
    if (!agrees() || above_since_)
        return settings_.settling_report_interval;
    return beside_latency_tasks_ ? std::optional{settings_.report_interval} : std::nullopt;
}

void backfill_pace::update_runs(const std::vector<paced_run>& running)
{
    const auto is_same = [](const paced_run& a, const paced_run& b) {
        return a.task == b.task && a.run == b.run;
    };
    std::erase_if(runs_, [&](const entry& e) {
        return std::none_of(running.begin(), running.end(),
                            [&](const paced_run& r) { return is_same(r, e.reported); });
    });
    for (const paced_run& r : running) {
        const auto known =
            std::find_if(runs_.begin(), runs_.end(), [&](const entry& e) { return is_same(e.reported, r); });
        if (known == runs_.end())
            runs_.push_back({r, full_pace, std::nullopt, {}});
        else
            known->reported.percent = r.percent;
    }
}

void backfill_pace::update_limit(std::optional<double> latency, timestamp now)
{
    beside_latency_tasks_ = latency.has_value();
    if (!latency) {
        limit_.reset();
        above_since_.reset();
        return;
    }
    const int sum = reported_sum();
    if (*latency <= 1.0 || (limit_ == 0 && sum == 0))
        above_since_.reset();
    else if (!above_since_ && sum > 0)
        above_since_ = now;
    if (above_since_ && now - *above_since_ >= settings_.longest_excess && limit_ != 0) {
        lower_limit(0, now);
        return;
    }
    // Until the target works as ordered, its latencies tell nothing about the limit.
    if (now - changed_at_ < settings_.settling_time || (limit_ && sum > *limit_))
        return;
    if (*latency > settings_.slow_down_above) {
        const int next = *latency > 1.0 ? sum / 4 : sum / 2;
        if (sum > 0)
            lower_limit(next < settings_.lowest_pace ? 0 : next, now);
    } else if (limit_ && *latency < settings_.speed_up_below) {
        const int raised = *limit_ + settings_.step;
        const bool enough = runs_.empty() || raised >= full_pace * static_cast<int>(runs_.size());
        set_limit(enough ? std::nullopt : std::optional{raised}, now);
    } else if (limit_ && !runs_.empty() && now - limit_changed_at_ >= probe_interval_) {
        // The last raise was not too much.
        if (probing_)
            probe_interval_ = settings_.probe_interval;
        set_limit(*limit_ + settings_.lowest_pace, now);
        probing_ = true;
    }
}

void backfill_pace::lower_limit(int limit, timestamp now)
{
    if (probing_)
        probe_interval_ = std::min(2 * probe_interval_, settings_.longest_probe_interval);
    set_limit(limit, now);
}

void backfill_pace::set_limit(std::optional<int> limit, timestamp now)
{
    limit_ = limit;
    probing_ = false;
    changed_at_ = now;
    limit_changed_at_ = now;
}

void backfill_pace::divide_limit()
{
    int left = limit_.value_or(full_pace * static_cast<int>(runs_.size()));
    for (entry& e : runs_) {
        const int share = std::min(left, full_pace);
        e.wanted = share < settings_.lowest_pace ? 0 : share;
        left -= e.wanted;
    }
}

std::optional<paced_run> backfill_pace::order_for(entry& e, timestamp now) const
{
    if (e.reported.percent == e.wanted && (!e.ordered || *e.ordered == e.wanted))
        return std::nullopt;
    if (e.ordered == e.wanted && now - e.ordered_at < settings_.repeat_interval)
        return std::nullopt;
    e.ordered = e.wanted;
    e.ordered_at = now;
    return paced_run{e.reported.task, e.reported.run, e.wanted};
}

int backfill_pace::reported_sum() const
{
    int sum = 0;
    for (const entry& e : runs_)
        sum += e.reported.percent;
    return sum;
}

bool backfill_pace::agrees() const
{
    return std::all_of(runs_.begin(), runs_.end(),
                       [](const entry& e) { return e.reported.percent == e.wanted; });
}

} // namespace mjm
