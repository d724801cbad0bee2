#include "jobs/backfill_pace.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

constexpr duration largest_harm = 4s;

/// A target with a task of which the latency grows with the sum of the paces of the backfill tasks beside it.
class paced_target {
public:
    double alone = 0.75;
    double per_task = 0.95; ///< Added by each backfill task at full pace, as a fraction of the objective.
    duration order_delay{100ms};
    int late_orders = 0; ///< Number of the next orders that are carried out after 7 s.

    void start(std::uint32_t index, std::optional<duration> work = std::nullopt)
    {
        runs_.push_back({{key(index), 1, full_pace}, work});
        if (const std::optional<paced_run> order = pace.on_start(key(index), 1, now))
            carry_out(*order);
    }

    void run_for(duration d)
    {
        for (const timestamp end = now + d; now < end; now += tick)
            step();
    }

    [[nodiscard]] int sum() const
    {
        int out = 0;
        for (const run& r : runs_)
            out += r.state.percent;
        return out;
    }
    [[nodiscard]] double latency() const { return alone + per_task * sum() / 100.0; }
    [[nodiscard]] std::size_t running() const { return runs_.size(); }

    backfill_pace pace;
    timestamp now{1h};
    duration longest_harm{0};
    duration total_harm{0};
    std::vector<paced_run> orders;

private:
    static constexpr duration tick = 10ms;
    struct run {
        paced_run state;
        std::optional<duration> left; ///< Work at full pace; no value if it runs forever.
    };

    static task_key key(std::uint32_t index) { return {job_id{"j"}, {0, 0, index}}; }

    void carry_out(const paced_run& order)
    {
        orders.push_back(order);
        const bool late = late_orders > 0 && late_orders-- > 0;
        in_flight_.emplace_back(now + (late ? duration{7s} : order_delay), order);
    }

    void step()
    {
        for (const auto& [at, order] : in_flight_) {
            for (run& r : runs_) {
                if (at <= now && r.state.task == order.task)
                    r.state.percent = order.percent;
            }
        }
        std::erase_if(in_flight_, [this](const auto& entry) { return entry.first <= now; });
        for (run& r : runs_) {
            if (r.left)
                *r.left -= tick * r.state.percent / 100;
        }
        std::erase_if(runs_, [](const run& r) { return r.left && r.left->count() <= 0; });
        harm_ = latency() > 1.0 && alone <= 1.0 ? harm_ + tick : 0s;
        longest_harm = std::max(longest_harm, harm_);
        total_harm += harm_.count() > 0 ? tick : 0s;
        if (now < next_report_)
            return;
        std::vector<paced_run> listed;
        for (const run& r : runs_)
            listed.push_back(r.state);
        for (const paced_run& order : pace.on_report(listed, latency(), now))
            carry_out(order);
        next_report_ = now + pace.next_report().value_or(1s);
    }

    std::vector<run> runs_;
    std::vector<std::pair<timestamp, paced_run>> in_flight_;
    timestamp next_report_;
    duration harm_{0};
};

} // namespace

TEST_CASE("backfill tasks are slowed down before the tasks beside them are harmed for long")
{
    // Guards against slowing each task down by itself, which takes longer the more of them there are.
    const std::uint32_t tasks = GENERATE(1U, 4U, 12U);
    const double per_task = GENERATE(0.3, 0.95, 5.0);
    paced_target t;
    t.per_task = per_task;
    for (std::uint32_t n = 0; n < tasks; ++n)
        t.start(n);
    t.run_for(10s);
    CHECK(t.longest_harm < 3s);
    t.total_harm = 0s;
    t.run_for(60s);
    CHECK(t.longest_harm < 3s);
    CHECK(t.total_harm < 6s);
}

TEST_CASE("a steady flow of short backfill tasks does not harm the tasks beside them")
{
    // Guards against tasks that each start at full pace whatever the sum of the others is.
    paced_target t;
    for (std::uint32_t n = 0; n < 60; ++n) {
        t.start(n, 1500ms);
        t.run_for(700ms);
    }
    CHECK(t.longest_harm < 3s);
}

TEST_CASE("an order on pace that is carried out late is corrected")
{
    // Guards against computing the next pace from the one that was ordered last.
    const int late = GENERATE(1, 2, 3);
    paced_target t;
    t.start(0);
    t.late_orders = late;
    t.run_for(30s);
    CHECK(t.longest_harm < largest_harm);
    CHECK(t.latency() <= 1.0);
}

TEST_CASE("a new leader goes by the paces that the target reports")
{
    // Guards against taking each backfill task for one at full pace, so that the next order speeds it up.
    paced_target t;
    t.start(0);
    t.start(1);
    t.run_for(10s);
    const int before = t.sum();
    REQUIRE(before < 2 * full_pace);
    t.pace = backfill_pace{};
    t.orders.clear();
    t.run_for(2s);
    CHECK(t.sum() <= before);
    CHECK(t.latency() <= 1.0);
}

TEST_CASE("backfill tasks are sped up again once they disturb less")
{
    paced_target t;
    t.start(0);
    t.run_for(10s);
    CHECK(t.sum() < 30);
    t.alone = 0.3;
    t.per_task = 0.1;
    t.run_for(20s);
    CHECK(t.sum() == full_pace);
    CHECK_FALSE(t.pace.limited());
}

TEST_CASE("a paused backfill task is not paused for good while it would disturb little")
{
    // Guards against a latency between the two thresholds, with which nothing would speed it up.
    paced_target t;
    t.start(0);
    t.run_for(10s);
    t.per_task = 0.05;
    t.run_for(60s);
    CHECK(t.sum() >= 50);
}

TEST_CASE("a backfill task is paced as soon as it has started on a target with a limit")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> serving = f.run_job("serve", 1, 2000, [](step_spec& s) {
        s.permanent = true;
        s.latency_objective = 100ms;
    });
    const auto make_backfill = [](step_spec& s) { s.backfill = true; };
    const std::vector<start_command> first = f.run_job("first", 1, 2000, make_backfill);
    REQUIRE(serving.size() == 1);
    REQUIRE(first.size() == 1);
    listed_run slow = running(serving[0]);
    slow.load = 170;
    for (int n = 0; n < 20; ++n) {
        f.advance(100ms);
        f.report(a, {slow, running(first[0])});
    }
    const std::vector<pace_command> slowed = f.take_paces();
    REQUIRE_FALSE(slowed.empty());
    CHECK(slowed.back().percent == 0);

    // The order is repeated, since the report does not agree with it.
    f.advance(400ms);
    f.report(a, {slow, running(first[0])});
    CHECK(f.take_paces().size() == 1);

    const std::vector<start_command> second = f.run_job("second", 1, 2000, make_backfill);
    REQUIRE(second.size() == 1);
    const std::vector<pace_command> at_once = f.take_paces();
    REQUIRE(at_once.size() == 1);
    CHECK(at_once[0].task == second[0].order.task);
    CHECK(at_once[0].percent == 0);

    // The next one waits until the target works as ordered, and other tasks don't wait with it.
    f.add_job("third", 1, 2000, make_backfill);
    f.add_job("other", 1);
    const std::vector<start_command> others = f.plan_and_store();
    REQUIRE(others.size() == 1);
    CHECK(others[0].order.task.job == job_id{"other"});
    f.advance(700ms);
    CHECK(f.plan_and_store().size() == 1);
}
