#include "scheduling/fair_queue.h"

#include "core/random_source.h"
#include "property.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

constexpr timestamp start{std::chrono::hours{1}};

resources slots(std::int64_t n)
{
    return {.milli_cpu = 0, .memory_mib = 0, .accelerators = 0, .slots = n};
}

team_id team(std::size_t n)
{
    return team_id{"team" + std::to_string(n)};
}

/// Model of a shard: a queue, a number of slots and the tasks that run on them.
class shard_model {
public:
    explicit shard_model(std::int64_t capacity, const fair_queue_limits& limits = {})
        : queue{limits}, free{capacity}, total{capacity}
    {
        queue.set_capacity(slots(capacity));
    }

    request_id add(const team_id& t, priority urgency = priority::normal, std::int64_t need = 1,
                   duration deadline = 1h)
    {
        request_id id{"r" + std::to_string(next++)};
        const bool added = queue
                               .enqueue({.id = id,
                                         .team = t,
                                         .urgency = urgency,
                                         .need = slots(need),
                                         .expected_run = 1s,
                                         .enqueued = now,
                                         .deadline = now + deadline},
                                        now)
                               .has_value();
        if (added)
            ++enqueued;
        return id;
    }

    std::optional<queued_task> pick()
    {
        const pick_context context{
            .may_start = [this](const team_id& t) { return !blocked.contains(t); },
            .fits = [this](const queued_task& task) { return task.need.slots <= free; }};
        std::optional<queued_task> task = queue.pick(context, now);
        if (task) {
            free -= task->need.slots;
            used[task->team] += task->need.slots;
            queue.task_started(task->team, task->need, now);
            running.push_back(*task);
        }
        return task;
    }

    void finish(std::size_t n)
    {
        const queued_task task = running[n];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(n));
        free += task.need.slots;
        used[task.team] -= task.need.slots;
        queue.task_finished(task.team, task.need, now);
    }

    fair_queue queue;
    timestamp now = start;
    std::int64_t free;
    std::int64_t total;
    std::vector<queued_task> running;
    std::map<team_id, std::int64_t> used;
    std::set<team_id> blocked;
    std::size_t enqueued = 0;
    std::size_t next = 0;
};

/// Runs the shard for `length` with waiting requests of every team at all times. Returns the slots that each
/// team used, summed over steps of 50 ms.
std::map<team_id, double> run_saturated(shard_model& shard, const std::vector<team_id>& teams,
                                        duration length, seeded_random& random)
{
    std::map<team_id, double> received;
    for (const timestamp end = shard.now + length; shard.now < end; shard.now += 50ms) {
        for (const team_id& it : teams) {
            while (shard.queue.size(it) < 5)
                shard.add(it);
        }
        while (shard.pick()) {
        }
        for (const auto& [id, n] : shard.used)
            received[id] += static_cast<double>(n);
        for (std::size_t n = shard.running.size(); n-- > 0;) {
            if (random.chance(0.1))
                shard.finish(n);
        }
    }
    return received;
}

} // namespace

// Guards against operations that in any order lose a request, return it twice or leave it in the queue.
TEST_CASE("every enqueued request leaves the queue exactly once")
{
    test::check_property("conservation", [](const std::vector<std::uint16_t>& operations) {
        shard_model shard{6, {.max_queued = 40, .max_queued_per_team = 15}};
        std::multiset<request_id> left;
        std::vector<request_id> all;
        for (const std::uint16_t op : operations) {
            const std::size_t arg = op / 8;
            shard.now += 100ms;
            switch (op % 8) {
            case 0:
            case 1:
            case 2: {
                const std::size_t before = shard.queue.size();
                const request_id id =
                    shard.add(team(arg % 5), arg % 3 == 0 ? priority::urgent : priority::normal,
                              1 + static_cast<std::int64_t>(arg % 4), 1s * (arg % 7));
                RC_ASSERT(shard.queue.size() - before <= 1U);
                all.push_back(id);
                break;
            }
            case 3:
                if (!all.empty() && shard.queue.cancel(all[arg % all.size()]))
                    left.insert(all[arg % all.size()]);
                break;
            case 4:
                for (const request_id& id : shard.queue.expire(shard.now))
                    left.insert(id);
                break;
            case 5:
                if (!shard.running.empty())
                    shard.finish(arg % shard.running.size());
                break;
            default:
                if (const std::optional<queued_task> task = shard.pick()) {
                    RC_ASSERT(task->deadline > shard.now);
                    left.insert(task->id);
                }
            }
            RC_ASSERT(left.size() + shard.queue.size() == shard.enqueued);
            RC_ASSERT(shard.queue.waiting_requests().size() == shard.queue.size());
        }
        shard.now += 1h;
        for (const request_id& id : shard.queue.expire(shard.now))
            left.insert(id);
        RC_ASSERT(shard.queue.size() == 0U);
        RC_ASSERT(left.size() == shard.enqueued);
        RC_ASSERT(std::set<request_id>(left.begin(), left.end()).size() == left.size());
        RC_ASSERT(!shard.queue.next_deadline().has_value());
        RC_ASSERT(shard.queue.waiting_teams().empty());
    });
}

// Guards against a slot for a team above its entitlement while a team below its entitlement has a request
// that can start, for any usage history, urgency and remote usage.
TEST_CASE("a team below its entitlement gets a free slot before a team above it")
{
    test::check_property("entitlement", [](const std::vector<std::uint16_t>& operations) {
        shard_model shard{8};
        for (std::size_t n = 0; n < 6; ++n) {
            shard.queue.set_share(team(n), 1.0 + static_cast<double>(n * n));
            shard.queue.set_remote_usage(team(n), 0.02 * static_cast<double>(n));
        }
        for (const std::uint16_t op : operations) {
            const std::size_t arg = op / 8;
            shard.now += 300ms;
            if (op % 8 < 3) {
                shard.add(team(arg % 6), arg % 4 == 0 ? priority::urgent : priority::normal);
            } else if (op % 8 == 3 && !shard.running.empty()) {
                shard.finish(arg % shard.running.size());
            } else if (op % 8 == 4) {
                shard.blocked = {team(arg % 6)};
            } else {
                std::map<team_id, double> over; // usage relative to entitlement before the pick
                for (const team_id& it : shard.queue.waiting_teams()) {
                    const double usage =
                        static_cast<double>(shard.used[it]) / static_cast<double>(shard.total);
                    over[it] = usage - shard.queue.entitlement(it);
                }
                const std::optional<queued_task> task = shard.pick();
                if (!task) {
                    const auto startable = [&](const auto& it) { return !shard.blocked.contains(it.first); };
                    RC_ASSERT(shard.free == 0 || std::none_of(over.begin(), over.end(), startable));
                    continue;
                }
                for (const auto& [id, amount] : over) {
                    RC_ASSERT(shard.blocked.contains(id) || over[task->team] < 1e-6 || amount > -1e-6);
                }
            }
        }
    });
}

// Guards against shares that are right for each pick but deviate from the weights over minutes.
TEST_CASE("teams that always have work use capacity in proportion to their weights")
{
    shard_model shard{24};
    seeded_random random{11};
    const std::vector<double> weights{8, 4, 4, 2, 1, 1};
    std::vector<team_id> teams;
    for (std::size_t n = 0; n < weights.size(); ++n) {
        teams.push_back(team(n));
        shard.queue.set_share(teams[n], weights[n]);
    }
    std::map<team_id, double> received = run_saturated(shard, teams, 120s, random);
    for (std::size_t n = 0; n < weights.size(); ++n) {
        const double expected = weights[n] / 20.0 * 24.0 * 2400.0;
        CHECK(received[teams[n]] == Approx(expected).epsilon(0.1));
    }
}

// Guards against teams that never start a task because their share is less than one slot.
TEST_CASE("with more teams than slots, every team gets its share over time")
{
    shard_model shard{8};
    seeded_random random{5};
    std::vector<team_id> teams;
    for (std::size_t n = 0; n < 52; ++n)
        teams.push_back(team(n));
    std::map<team_id, double> received = run_saturated(shard, teams, 120s, random);
    for (const team_id& it : teams)
        CHECK(received[it] == Approx(8.0 * 2400.0 / 52.0).epsilon(0.35));
}

// Guards against a team that uses more than its share by marking its requests as urgent.
TEST_CASE("urgent requests do not push another team below its share")
{
    shard_model shard{8};
    for (int n = 0; n < 20; ++n) {
        shard.add(team(0), priority::urgent);
        shard.add(team(1));
    }
    for (int n = 0; n < 8; ++n)
        REQUIRE(shard.pick());
    CHECK(shard.used[team(0)] == 4);
    CHECK(shard.used[team(1)] == 4);
}

// Guards against an urgent request that waits behind normal requests of the same team, or behind other teams
// while its own team is below its share.
TEST_CASE("an urgent request within the entitlement gets the next free slot")
{
    shard_model shard{8};
    for (int n = 0; n < 20; ++n)
        shard.add(team(0));
    while (shard.pick()) {
    }
    for (int n = 0; n < 5; ++n)
        shard.add(team(1));
    const request_id urgent = shard.add(team(2), priority::urgent);
    shard.finish(0);
    CHECK(shard.pick()->id == urgent);
}

// Guards against a team that keeps using the unused share of another team after the other team has requests.
// The other team gets its share back only as running tasks end.
TEST_CASE("an unused share is lent to other teams and returns as running tasks end")
{
    shard_model shard{8};
    for (int n = 0; n < 30; ++n)
        shard.add(team(0));
    while (shard.pick()) {
    }
    CHECK(shard.used[team(0)] == 8);
    for (int n = 0; n < 30; ++n)
        shard.add(team(1));
    for (int n = 0; n < 4; ++n) {
        shard.now += 10ms;
        shard.finish(0);
        CHECK(shard.pick()->team == team(1));
    }
    CHECK(shard.used[team(1)] == 4);
}

// Guards against a team that doubles its share by using two shards.
TEST_CASE("usage in other shards lowers the local entitlement within bounds")
{
    shard_model shard{12};
    shard.add(team(0));
    shard.add(team(1));
    CHECK(shard.queue.entitlement(team(0)) == Approx(0.5));
    shard.queue.set_fleet_fraction(0.1);
    shard.queue.set_remote_usage(team(0), 0.9);
    CHECK(shard.queue.entitlement(team(0)) < 0.3);
    CHECK(shard.queue.entitlement(team(0)) > 0.15);
}

// Guards against a large task that never starts because small tasks use all capacity that becomes free.
TEST_CASE("a large task starts within a bounded time beside a stream of small ones")
{
    shard_model shard{8};
    seeded_random random{3};
    for (int n = 0; n < 10; ++n)
        shard.add(team(1));
    while (shard.pick()) {
    }
    const request_id large = shard.add(team(0), priority::normal, 8);
    const timestamp limit = shard.now + 60s;
    bool started = false;
    while (!started && shard.now < limit) {
        shard.now += 20ms;
        while (shard.queue.size(team(1)) < 5)
            shard.add(team(1));
        while (const std::optional<queued_task> task = shard.pick())
            started = started || task->id == large;
        for (std::size_t n = shard.running.size(); n-- > 0;) {
            if (random.chance(0.05))
                shard.finish(n);
        }
    }
    CHECK(started);
}

// Guards against a reservation for a task that never fits and keeps all other tasks of the shard from
// starting.
TEST_CASE("a task that never fits costs the others a bounded part of the capacity")
{
    shard_model shard{8};
    seeded_random random{9};
    shard.add(team(0), priority::normal, 9);
    const std::map<team_id, double> received = run_saturated(shard, {team(1)}, 120s, random);
    CHECK(received.at(team(1)) > 0.75 * 8.0 * 2400.0);
}

// Guards against a request that is started after its deadline because it has a reservation.
TEST_CASE("a reserved task whose deadline passes is not started and its reservation ends")
{
    shard_model shard{8};
    const request_id large = shard.add(team(0), priority::normal, 9, 10s);
    for (int n = 0; n < 20 && !shard.queue.reserved(); ++n) {
        shard.add(team(1));
        if (shard.free == 0)
            shard.finish(0);
        REQUIRE(shard.pick());
    }
    REQUIRE(shard.queue.reserved()->id == large);
    shard.now += 11s;
    shard.free = 9;
    CHECK_FALSE(shard.pick());
    CHECK_FALSE(shard.queue.reserved());
    CHECK(shard.queue.expire(shard.now) == std::vector<request_id>{large});
}

// Guards against cancelled requests that each later pick examines again.
TEST_CASE("a pick does not examine cancelled requests")
{
    shard_model shard{1, {.max_queued = 20000, .max_queued_per_team = 20000}};
    std::vector<request_id> ids;
    ids.reserve(10000);
    for (int n = 0; n < 10000; ++n)
        ids.push_back(shard.add(team(0)));
    const request_id last = shard.add(team(0));
    for (const request_id& id : ids)
        REQUIRE(shard.queue.cancel(id));
    std::size_t asked = 0;
    const pick_context context{.may_start = [](const team_id&) { return true; },
                               .fits =
                                   [&asked](const queued_task&) {
                                       ++asked;
                                       return true;
                                   }};
    CHECK(shard.queue.pick(context, shard.now)->id == last);
    CHECK(asked == 1);
}

// Guards against one team that fills the whole queue, and against refusals without a reason.
TEST_CASE("full queues and passed deadlines are refused with their reason")
{
    shard_model shard{1, {.max_queued = 3, .max_queued_per_team = 2}};
    const auto offer = [&shard](const char* id, std::size_t t, duration deadline) {
        queued_task task;
        task.id = request_id{id};
        task.team = team(t);
        task.deadline = shard.now + deadline;
        return shard.queue.enqueue(task, shard.now);
    };
    CHECK(offer("a", 0, 1s));
    CHECK(offer("b", 0, 1s));
    CHECK(offer("a", 0, 1s));
    CHECK(shard.queue.size() == 2);
    CHECK(offer("c", 0, 1s).error() == reason::queue_full);
    CHECK(offer("d", 1, 1s));
    CHECK(offer("e", 2, 1s).error() == reason::queue_full);
    CHECK(offer("f", 2, 0s).error() == reason::deadline);
}
