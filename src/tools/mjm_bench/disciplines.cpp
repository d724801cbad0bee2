#include "disciplines.h"

#include <algorithm>
#include <list>
#include <map>

namespace mjm::bench {

namespace {

// All disciplines get the same bounds, so that they refuse the same demand.
constexpr fair_queue_limits limits{};
constexpr std::size_t lookahead = 8;

class fair_discipline final : public discipline {
public:
    fair_discipline(const share_list& shares, const resources& capacity, double fleet_fraction, bool gossip)
        : gossip_{gossip}
    {
        for (const auto& [team, weight] : shares)
            queue_.set_share(team, weight);
        queue_.set_capacity(capacity);
        queue_.set_fleet_fraction(fleet_fraction);
    }
    bool enqueue(const queued_task& task, timestamp now) override
    {
        return queue_.enqueue(task, now).has_value();
    }
    std::optional<queued_task> pick(const pick_context& context, timestamp now) override
    {
        return queue_.pick(context, now);
    }
    std::vector<request_id> expire(timestamp now) override { return queue_.expire(now); }
    void task_started(const team_id& team, const resources& used, timestamp now) override
    {
        queue_.task_started(team, used, now);
    }
    void task_finished(const team_id& team, const resources& used, timestamp now) override
    {
        queue_.task_finished(team, used, now);
    }
    void set_remote_usage(const team_id& team, double fraction) override
    {
        if (gossip_)
            queue_.set_remote_usage(team, fraction);
    }
    [[nodiscard]] std::optional<queued_task> reserved() const override { return queue_.reserved(); }
    [[nodiscard]] std::size_t size() const override { return queue_.size(); }

private:
    fair_queue queue_{limits};
    bool gossip_;
};

/// Queues in order of arrival, which also drop what has passed its deadline.
class arrival_queue {
public:
    std::list<queued_task> waiting;

    void drop_expired(timestamp now, std::vector<request_id>& dropped)
    {
        for (auto it = waiting.begin(); it != waiting.end();) {
            if (it->deadline <= now) {
                dropped.push_back(it->id);
                it = waiting.erase(it);
            } else {
                ++it;
            }
        }
    }

    /// First task that fits, among the first few; the head may be overtaken only so often.
    template <typename Fits>
    std::optional<queued_task> take(const Fits& fits, timestamp now)
    {
        std::size_t looked_at = 0;
        for (auto it = waiting.begin(); it != waiting.end() && looked_at < lookahead; ++it, ++looked_at) {
            if (it->deadline > now && fits(*it)) {
                overtaken_ = it == waiting.begin() ? 0 : overtaken_ + 1;
                queued_task task = *it;
                waiting.erase(it);
                return task;
            }
            if (overtaken_ >= limits.max_passed_over && it->deadline > now)
                return std::nullopt;
        }
        return std::nullopt;
    }

private:
    unsigned overtaken_ = 0;
};

/// First come, first served over all teams.
class first_come_discipline final : public discipline {
public:
    bool enqueue(const queued_task& task, timestamp /*now*/) override
    {
        std::size_t& count = per_team_[task.team];
        if (size() >= limits.max_queued || count >= limits.max_queued_per_team)
            return false;
        ++count;
        teams_[task.id] = task.team;
        queue_.waiting.push_back(task);
        return true;
    }
    std::optional<queued_task> pick(const pick_context& context, timestamp now) override
    {
        std::optional<queued_task> task = queue_.take(context.fits, now);
        if (task)
            forget(task->id);
        return task;
    }
    std::vector<request_id> expire(timestamp now) override
    {
        std::vector<request_id> dropped;
        queue_.drop_expired(now, dropped);
        for (const request_id& id : dropped)
            forget(id);
        return dropped;
    }
    void task_started(const team_id& /*team*/, const resources& /*used*/, timestamp /*now*/) override {}
    void task_finished(const team_id& /*team*/, const resources& /*used*/, timestamp /*now*/) override {}
    [[nodiscard]] std::size_t size() const override { return queue_.waiting.size(); }

private:
    void forget(const request_id& id)
    {
        const auto it = teams_.find(id);
        --per_team_[it->second];
        teams_.erase(it);
    }

    arrival_queue queue_;
    std::map<team_id, std::size_t> per_team_;
    std::map<request_id, team_id> teams_;
};

/// Each team has a fixed part of the shard's capacity, urgent work first within it; nothing is lent. A team
/// whose part is smaller than a task may run one task at a time.
class partition_discipline final : public discipline {
public:
    partition_discipline(const share_list& shares, const resources& capacity) : capacity_{capacity}
    {
        double sum = 0.0;
        for (const auto& [team, weight] : shares)
            sum += weight;
        for (const auto& [team, weight] : shares)
            teams_[team].part = weight / sum;
    }
    bool enqueue(const queued_task& task, timestamp /*now*/) override
    {
        team_part& t = teams_[task.team];
        if (size_ >= limits.max_queued || t.size() >= limits.max_queued_per_team)
            return false;
        ++size_;
        (task.urgency == priority::urgent ? t.urgent : t.normal).waiting.push_back(task);
        return true;
    }
    std::optional<queued_task> pick(const pick_context& context, timestamp now) override
    {
        for (auto& it : teams_) {
            team_part& t = it.second;
            const auto fits = [&](const queued_task& task) {
                const double after = (t.used + task.need).dominant_fraction(capacity_);
                return (after <= t.part + 1e-9 || t.used.slots == 0) && context.fits(task);
            };
            for (arrival_queue* queue : {&t.urgent, &t.normal}) {
                if (std::optional<queued_task> task = queue->take(fits, now)) {
                    --size_;
                    return task;
                }
            }
        }
        return std::nullopt;
    }
    std::vector<request_id> expire(timestamp now) override
    {
        std::vector<request_id> dropped;
        for (auto& [team, t] : teams_) {
            t.urgent.drop_expired(now, dropped);
            t.normal.drop_expired(now, dropped);
        }
        size_ -= dropped.size();
        return dropped;
    }
    void task_started(const team_id& team, const resources& used, timestamp /*now*/) override
    {
        teams_[team].used += used;
    }
    void task_finished(const team_id& team, const resources& used, timestamp /*now*/) override
    {
        teams_[team].used -= used;
    }
    [[nodiscard]] std::size_t size() const override { return size_; }

private:
    struct team_part {
        double part = 0.0;
        resources used;
        arrival_queue urgent;
        arrival_queue normal;

        [[nodiscard]] std::size_t size() const { return urgent.waiting.size() + normal.waiting.size(); }
    };

    resources capacity_;
    std::map<team_id, team_part> teams_;
    std::size_t size_ = 0;
};

} // namespace

std::unique_ptr<discipline> make_discipline(discipline_kind kind, const share_list& shares,
                                            const resources& capacity, double fleet_fraction)
{
    switch (kind) {
    case discipline_kind::first_come:
        return std::make_unique<first_come_discipline>();
    case discipline_kind::partition:
        return std::make_unique<partition_discipline>(shares, capacity);
    case discipline_kind::fair:
    case discipline_kind::fair_without_gossip:
        break;
    }
    return std::make_unique<fair_discipline>(shares, capacity, fleet_fraction, kind == discipline_kind::fair);
}

} // namespace mjm::bench
