#include "share_simulation.h"

#include "scheduling/placement.h"
#include "statistics.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>

namespace mjm::bench {

namespace {

constexpr duration gossip_interval{std::chrono::milliseconds{500}};
constexpr duration expiry_interval{std::chrono::milliseconds{100}};
constexpr duration account_window{std::chrono::seconds{1}};
constexpr std::size_t workers_per_rack = 4;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

/// Slot time delivered to and demanded by each team, window by window.
class share_account {
public:
    share_account(std::size_t teams, double capacity)
        : capacity_{capacity}, running_(teams, 0.0), waiting_(teams, 0.0), since_(teams), got_(teams, 0.0),
          wanted_(teams, 0.0)
    {
    }

    void change(std::size_t team, double running, double waiting, timestamp now)
    {
        settle(team, now);
        running_[team] += running;
        waiting_[team] += waiting;
    }

    void close_window(timestamp now)
    {
        for (std::size_t n = 0; n < running_.size(); ++n)
            settle(n, now);
        got_windows.push_back(got_);
        wanted_windows.push_back(wanted_);
        std::fill(got_.begin(), got_.end(), 0.0);
        std::fill(wanted_.begin(), wanted_.end(), 0.0);
    }

    std::vector<std::vector<double>> got_windows;
    std::vector<std::vector<double>> wanted_windows;

private:
    void settle(std::size_t team, timestamp now)
    {
        const double elapsed = seconds(now - since_[team]);
        since_[team] = now;
        got_[team] += running_[team] * elapsed;
        wanted_[team] += std::min(running_[team] + waiting_[team], capacity_) * elapsed;
    }

    double capacity_;
    std::vector<double> running_;
    std::vector<double> waiting_;
    std::vector<timestamp> since_;
    std::vector<double> got_;
    std::vector<double> wanted_;
};

struct shard {
    std::unique_ptr<discipline> queue;
    std::vector<placement_candidate> workers;
    std::vector<std::int64_t> used;    // slots by team
    std::vector<std::int64_t> waiting; // slots by team
    std::vector<std::int64_t> urgent_waiting;
    std::int64_t slots = 0;
    std::int64_t free = 0;
    std::optional<request_id> held_for; // reserved task
    std::optional<target_id> held;      // worker kept free for it
};

struct completion {
    timestamp at;
    std::size_t shard = 0;
    std::size_t worker = 0;
    std::size_t request = 0;

    friend bool operator>(const completion& a, const completion& b) { return a.at > b.at; }
};

class simulation {
public:
    simulation(const deployment& where, const demand_settings& settings, const std::vector<arrival>& demand,
               discipline_kind kind);
    share_result run();

private:
    void arrive(std::size_t request);
    void finish(const completion& done);
    void start_all(std::size_t n);
    void record_delay(std::size_t request, double delay_s);
    void update_reservation(shard& s) const;
    void start(std::size_t n, const queued_task& task);
    void expire();
    void gossip();
    void sum_up();
    [[nodiscard]] bool within_entitlement(const shard& s, const arrival& a) const;

    const deployment& where_;
    const demand_settings& settings_;
    const std::vector<arrival>& demand_;
    seeded_random random_{1};
    std::vector<team_id> teams_;
    std::unordered_map<team_id, std::size_t> team_index_;
    std::vector<shard> shards_;
    std::vector<std::vector<double>> gossiped_; // slots by shard and team at the last round
    std::priority_queue<completion, std::vector<completion>, std::greater<>> running_;
    std::vector<bool> within_; // by request: urgent and within the entitlement on arrival
    share_account account_;
    share_result result_;
    timestamp now_;
};

simulation::simulation(const deployment& where, const demand_settings& settings,
                       const std::vector<arrival>& demand, discipline_kind kind)
    : where_{where}, settings_{settings}, demand_{demand},
      within_(demand.size(), false), account_{where.shares.size(), static_cast<double>(where.total_slots())}
{
    share_list shares;
    for (std::size_t n = 0; n < where.shares.size(); ++n) {
        teams_.emplace_back("team" + std::to_string(n));
        team_index_[teams_[n]] = n;
        shares.emplace_back(teams_[n], where.shares[n]);
    }
    for (const std::size_t workers : where.workers_per_shard) {
        shard s;
        resources capacity;
        for (std::size_t n = 0; n < workers; ++n) {
            s.workers.push_back({.id = target_id{std::to_string(n)},
                                 .rack = rack_id{std::to_string(n / workers_per_rack)},
                                 .capacity = where.worker(),
                                 .reserved = {},
                                 .reported_used = {}});
            capacity += where.worker();
        }
        s.slots = capacity.slots;
        s.free = capacity.slots;
        s.used.resize(teams_.size());
        s.waiting.resize(teams_.size());
        s.urgent_waiting.resize(teams_.size());
        s.queue = make_discipline(kind, shares, capacity,
                                  static_cast<double>(s.slots) / static_cast<double>(where.total_slots()));
        shards_.push_back(std::move(s));
    }
    gossiped_.assign(shards_.size(), std::vector<double>(teams_.size(), 0.0));
}

bool simulation::within_entitlement(const shard& s, const arrival& a) const
{
    double weights = 0.0;
    for (std::size_t n = 0; n < teams_.size(); ++n) {
        if (n == a.team || s.used[n] > 0 || s.waiting[n] > 0)
            weights += where_.shares[n];
    }
    const double entitled = where_.shares[a.team] / weights * static_cast<double>(s.slots);
    return static_cast<double>(s.used[a.team] + s.urgent_waiting[a.team] + a.slots) <= entitled;
}

void simulation::arrive(std::size_t request)
{
    const arrival& a = demand_[request];
    // The front prefers its own zone and spills over to the shortest queue.
    std::size_t n = a.home_shard;
    if (static_cast<std::int64_t>(shards_[n].queue->size()) > shards_[n].slots) {
        const auto wait = [](const shard& s) {
            return static_cast<double>(s.queue->size()) / static_cast<double>(s.slots);
        };
        for (std::size_t other = 0; other < shards_.size(); ++other) {
            if (wait(shards_[other]) < wait(shards_[n]))
                n = other;
        }
    }
    shard& s = shards_[n];
    const queued_task task{.id = request_id{std::to_string(request)},
                           .team = teams_[a.team],
                           .urgency = a.urgency,
                           .need = where_.need(a.slots),
                           .expected_run = a.run,
                           .enqueued = now_,
                           .deadline = now_ + settings_.timeout};
    within_[request] = a.urgency == priority::urgent && within_entitlement(s, a);
    if (!s.queue->enqueue(task, now_)) {
        ++result_.refused;
        return;
    }
    s.waiting[a.team] += a.slots;
    if (a.urgency == priority::urgent)
        s.urgent_waiting[a.team] += a.slots;
    account_.change(a.team, 0.0, static_cast<double>(a.slots), now_);
    start_all(n);
}

void simulation::finish(const completion& done)
{
    const arrival& a = demand_[done.request];
    shard& s = shards_[done.shard];
    s.workers[done.worker].reserved -= where_.need(a.slots);
    s.used[a.team] -= a.slots;
    s.free += a.slots;
    s.queue->task_finished(teams_[a.team], where_.need(a.slots), now_);
    account_.change(a.team, -static_cast<double>(a.slots), 0.0, now_);
    start_all(done.shard);
}

/// Keeps one worker free for the task that the queue has reserved room for.
void simulation::update_reservation(shard& s) const
{
    const std::optional<queued_task> reserved = s.queue->reserved();
    if (!reserved) {
        s.held_for.reset();
        s.held.reset();
    } else if (s.held_for != reserved->id) {
        s.held_for = reserved->id;
        s.held = choose_reservation(s.workers, reserved->need);
    }
}

void simulation::start_all(std::size_t n)
{
    shard& s = shards_[n];
    const auto room = [&s](const resources& need, const std::optional<target_id>& except) {
        return std::any_of(s.workers.begin(), s.workers.end(), [&](const placement_candidate& it) {
            return (!except || it.id != *except) && (it.reserved + need).fits_in(it.capacity);
        });
    };
    const pick_context context{
        .may_start = [](const team_id&) { return true; },
        .fits = [&](const queued_task& task) { return room(task.need, std::nullopt); },
        .has_capacity = [&](const resources& need) { return room(need, std::nullopt); },
        .fits_beside_reserved = [&](const queued_task& task,
                                    const queued_task&) { return room(task.need, s.held); }};
    while (s.free > 0) {
        update_reservation(s);
        const std::optional<queued_task> task = s.queue->pick(context, now_);
        if (!task)
            break;
        start(n, *task);
    }
}

void simulation::start(std::size_t n, const queued_task& task)
{
    shard& s = shards_[n];
    const std::size_t request = std::stoul(task.id.str());
    const arrival& a = demand_[request];
    std::vector<placement_candidate> candidates = s.workers;
    // The pick may have ended the reservation, or granted one after it had chosen this task.
    const std::optional<queued_task> reserved = s.queue->reserved();
    if (s.held && reserved && s.held_for == reserved->id) {
        for (placement_candidate& it : candidates)
            it.usable = it.id != *s.held;
    }
    const std::optional<target_id> target = choose_target(candidates, task.need, random_);
    const std::size_t worker = std::stoul(target.value().str());
    s.workers[worker].reserved += task.need;
    s.used[a.team] += a.slots;
    s.waiting[a.team] -= a.slots;
    s.free -= a.slots;
    s.queue->task_started(task.team, task.need, now_);
    account_.change(a.team, static_cast<double>(a.slots), -static_cast<double>(a.slots), now_);
    running_.push({now_ + a.run, n, worker, request});

    ++result_.started;
    if (a.urgency == priority::urgent)
        s.urgent_waiting[a.team] -= a.slots;
    record_delay(request, seconds(now_ - task.enqueued));
}

void simulation::record_delay(std::size_t request, double delay_s)
{
    const arrival& a = demand_[request];
    const bool large = a.slots == where_.slots_per_worker;
    if (large)
        result_.large_delay_s.push_back(delay_s);
    if (a.urgency == priority::urgent) {
        result_.urgent_delay_s.push_back(delay_s);
        if (!large)
            result_.urgent_small_delay_s.push_back(delay_s);
        if (within_[request])
            result_.urgent_within_delay_s.push_back(delay_s);
    } else if (!large) {
        result_.normal_delay_s.push_back(delay_s);
    }
}

void simulation::expire()
{
    for (std::size_t n = 0; n < shards_.size(); ++n) {
        shard& s = shards_[n];
        for (const request_id& id : s.queue->expire(now_)) {
            const std::size_t request = std::stoul(id.str());
            const arrival& a = demand_[request];
            ++result_.expired;
            s.waiting[a.team] -= a.slots;
            account_.change(a.team, 0.0, -static_cast<double>(a.slots), now_);
            if (a.urgency == priority::urgent)
                s.urgent_waiting[a.team] -= a.slots;
            record_delay(request, seconds(settings_.timeout));
        }
        start_all(n);
    }
}

/// Delivers the usage of the previous round, so that what a shard knows of the others is 0.5 to 1 s old.
void simulation::gossip()
{
    const auto total = static_cast<double>(where_.total_slots());
    for (std::size_t team = 0; team < teams_.size(); ++team) {
        double sum = 0.0;
        for (const std::vector<double>& it : gossiped_)
            sum += it[team];
        for (std::size_t n = 0; n < shards_.size(); ++n) {
            shards_[n].queue->set_remote_usage(teams_[team], (sum - gossiped_[n][team]) / total);
        }
        for (std::size_t n = 0; n < shards_.size(); ++n)
            gossiped_[n][team] = static_cast<double>(shards_[n].used[team]);
    }
}

void simulation::sum_up()
{
    const auto capacity = static_cast<double>(where_.total_slots());
    const std::size_t teams = teams_.size();
    double busy_got = 0.0;
    double busy_capacity = 0.0;
    std::vector<std::vector<double>> fair_windows;
    for (std::size_t n = 0; n < account_.got_windows.size(); ++n) {
        const std::vector<double>& got = account_.got_windows[n];
        const std::vector<double>& wanted = account_.wanted_windows[n];
        const double sum = std::accumulate(got.begin(), got.end(), 0.0);
        fair_windows.push_back(max_min_fair(wanted, where_.shares, sum));
        if (std::accumulate(wanted.begin(), wanted.end(), 0.0) >= capacity * seconds(account_window)) {
            busy_got += sum;
            busy_capacity += capacity * seconds(account_window);
        }
    }
    result_.utilisation = busy_capacity > 0.0 ? busy_got / busy_capacity : 0.0;

    for (std::size_t h = 0; h < measured_horizons.size(); ++h) {
        const auto merged = static_cast<std::size_t>(measured_horizons[h] / account_window);
        double misplaced = 0.0;
        double delivered = 0.0;
        for (std::size_t first = 0; first + merged <= fair_windows.size(); first += merged) {
            for (std::size_t team = 0; team < teams; ++team) {
                double owed = 0.0;
                for (std::size_t n = first; n < first + merged; ++n) {
                    owed += fair_windows[n][team] - account_.got_windows[n][team];
                    delivered += account_.got_windows[n][team];
                }
                misplaced += std::max(0.0, owed);
            }
        }
        result_.distance[h] = delivered > 0.0 ? misplaced / delivered : 0.0;
    }
}

share_result simulation::run()
{
    const timestamp end = timestamp{} + settings_.length;
    timestamp next_gossip = timestamp{} + gossip_interval;
    timestamp next_expiry = timestamp{} + expiry_interval;
    timestamp next_window = timestamp{} + account_window;
    for (std::size_t request = 0;;) {
        const timestamp next_arrival = request < demand_.size() ? demand_[request].at : timestamp::max();
        const timestamp next_end = running_.empty() ? timestamp::max() : running_.top().at;
        now_ = std::min({next_arrival, next_end, next_gossip, next_expiry, next_window});
        if (now_ > end)
            break;
        if (now_ == next_window) {
            account_.close_window(now_);
            next_window += account_window;
        } else if (now_ == next_end) {
            const completion done = running_.top();
            running_.pop();
            finish(done);
        } else if (now_ == next_arrival) {
            arrive(request++);
        } else if (now_ == next_gossip) {
            gossip();
            next_gossip += gossip_interval;
        } else {
            expire();
            next_expiry += expiry_interval;
        }
    }
    sum_up();
    return std::move(result_);
}

} // namespace

share_result simulate_shares(const deployment& where, const demand_settings& settings,
                             const std::vector<arrival>& demand, discipline_kind kind)
{
    return simulation{where, settings, demand, kind}.run();
}

} // namespace mjm::bench
