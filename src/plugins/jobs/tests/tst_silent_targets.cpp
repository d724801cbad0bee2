#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

constexpr duration call_timeout = 400ms;
constexpr duration time_step = 10ms;

/// Answers the scheduler's observations as targets do: an answer waits for an end as long as it is asked to.
/// Answers can be late, lost, or missing.
class answering_targets {
public:
    explicit answering_targets(scheduler_fixture& f) : fixture_{f} {}

    /// Adds a target that answers this leader's first observation at once.
    target_id add(const std::string& name)
    {
        targets_.emplace(name, state{});
        return fixture_.add_target(name);
    }
    /// Starts the run. It ends as done after `run_time`, or never if that is zero.
    void start(const start_command& s, duration run_time)
    {
        fixture_.confirm(s);
        targets_.at(s.target.id.str())
            .running.push_back({s, run_time == 0s ? timestamp::max() : fixture_.now().now + run_time});
    }
    void silence(const std::string& name) { targets_.at(name).silent = true; }

    /// Runs until the time is over or a stop is sent, whichever is first.
    void run_for(duration d)
    {
        const timestamp until = fixture_.now().now + d;
        while (fixture_.now().now < until && stops.empty()) {
            fixture_.advance(time_step);
            for (auto& [name, t] : targets_)
                step(target_id{name}, t);
            for (const target_id& id : fixture_.scheduler.due_observations(fixture_.now().now))
                observe(id, targets_.at(id.str()));
            stops = fixture_.take_stops();
        }
    }

    duration delay{0};              ///< Time that an answer is on its way.
    bool lose_every_second = false; ///< Whether every second answer of a target is lost.
    std::vector<stop_command> stops;
    std::size_t observations = 0;

private:
    struct active_run {
        start_command start;
        timestamp ends;
    };
    struct observation {
        timestamp sent_at;
        timestamp answers_at;
        timestamp arrives_at = timestamp::max();
        target_report report;
        bool lost = false;
    };
    struct state {
        std::vector<active_run> running;
        std::vector<listed_end> ended;
        std::optional<observation> pending;
        std::uint64_t last_end = 0;
        std::size_t observed = 0;
        bool silent = false;
    };

    void observe(const target_id& id, state& t)
    {
        const timestamp at = fixture_.now().now;
        const lease_request request = fixture_.scheduler.begin_observation(id, at);
        std::erase_if(t.ended, [&](const listed_end& e) { return e.sequence <= request.ends_acknowledged; });
        observation o;
        o.sent_at = at;
        o.answers_at = t.ended.empty() ? at + request.wait : at;
        o.lost = lose_every_second && ++t.observed % 2 == 0;
        t.pending = o;
        ++observations;
    }
    void step(const target_id& id, state& t)
    {
        const timestamp at = fixture_.now().now;
        bool has_new_end = false;
        std::erase_if(t.running, [&](const active_run& r) {
            if (at < r.ends)
                return false;
            t.ended.push_back(ended(r.start, ++t.last_end, run_end::done));
            has_new_end = true;
            return true;
        });
        if (!t.pending)
            return;
        observation& o = *t.pending;
        if (o.arrives_at == timestamp::max() && (has_new_end || at >= o.answers_at)) {
            o.report.clock_ms = fixture_.clock_ms();
            o.report.incarnation = 1;
            o.report.ended = t.ended;
            for (const active_run& r : t.running)
                o.report.running.push_back(running(r.start));
            o.lost = o.lost || t.silent;
            o.arrives_at = at + (o.lost ? call_timeout : delay);
        }
        if (at < o.arrives_at)
            return;
        const observation arrived = std::exchange(t.pending, std::nullopt).value();
        tl::expected<target_report, order_errc> answer = arrived.report;
        if (arrived.lost)
            answer = tl::unexpected{order_errc::no_answer};
        fixture_.scheduler.on_report(id, answer, arrived.sent_at, fixture_.now());
    }

    scheduler_fixture& fixture_;
    std::map<std::string, state> targets_;
};

/// A job whose first task does not end, or ends after `first_time`; its three others take `run_time`. Each
/// runs on a target of its own, the first one on `first`, and a further target is free.
struct late_task {
    explicit late_task(duration run_time, duration first_time = 0s)
    {
        for (const char* name : {"a", "b", "c", "d", "free"})
            targets.add(name);
        f.add_job("j", 4, 2000, [](step_spec& s) { s.max_per_target = 1; });
        starts = f.plan_and_store();
        REQUIRE(starts.size() == 4);
        targets.start(starts[0], first_time);
        for (std::size_t i = 1; i < starts.size(); ++i)
            targets.start(starts[i], run_time);
        started_at = f.now().now;
        first = starts[0].target.id;
    }
    [[nodiscard]] duration age() const { return f.now().now - started_at; }
    [[nodiscard]] bool first_is_accused() const
    {
        const target_status& t = f.scheduler.targets().at(first);
        return t.avoid_until != timestamp{} || t.suspect_until != timestamp{};
    }

    scheduler_fixture f;
    answering_targets targets{f};
    std::vector<start_command> starts;
    timestamp started_at;
    target_id first;
};

/// Age above which a run is a straggler if the step's other tasks take this time.
duration bound_of(duration run_time)
{
    const straggler_settings settings;
    return duration{static_cast<std::int64_t>(static_cast<double>(run_time.count()) * settings.factor)} +
           settings.margin;
}

// The interval at which runs were checked on the leader's clock, and one round trip.
constexpr duration allowed_delay = 100ms + 5 * time_step;

} // namespace

// Guards against running work that a leader gives up because it hears nothing of it. In an incident, a leader
// that was cut off stopped 87 runs as stalled within 2 s.
TEST_CASE("a task on a target that is silent is not stopped as stalled")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_target("b", "other");
    f.add_job("j", 4);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 4);
    for (const start_command& s : starts)
        f.confirm(s);
    f.add_target("c");
    f.advance(2s);
    std::vector<listed_end> ends;
    ends.reserve(3);
    for (std::size_t i = 0; i < 3; ++i)
        ends.push_back(ended(starts[i], i + 1, run_end::done));
    f.report(a, {running(starts[3])}, ends);
    // Longer than a target may delay its answer, so that at least one observation is overdue.
    for (int i = 0; i < 16; ++i)
        f.advance(100ms);
    CHECK(f.take_stops().empty());
}

// Guards against a stalled task that is noticed only when a long wait for an end is over.
TEST_CASE("a stalled task on an answering target is moved soon after its bound")
{
    for (const duration run_time : {duration{400ms}, duration{900ms}, duration{2s}}) {
        late_task it{run_time};
        it.targets.run_for(10s);
        REQUIRE(it.targets.stops.size() == 1);
        CHECK(it.targets.stops[0].task == it.starts[0].order.task);
        CHECK(it.age() > bound_of(run_time));
        CHECK(it.age() < bound_of(run_time) + allowed_delay);
        CHECK(it.first_is_accused());
    }
}

// Guards against an accusation of a target of which the leader only hears nothing.
TEST_CASE("a target that falls silent is not accused of stalling its run")
{
    late_task it{900ms};
    it.targets.silence(it.first.str());
    it.targets.run_for(4s);
    CHECK(it.age() >= 4s);
    CHECK(it.targets.stops.empty());
    CHECK_FALSE(it.first_is_accused());
}

// Guards against a run that is stopped although it had ended in time, because the report was on its way.
TEST_CASE("a run whose target answers late is judged by the age that the report shows")
{
    // The other tasks' run times include the delay of the reports of their ends.
    const duration bound = bound_of(1350ms);
    late_task in_time{1s, bound - 150ms};
    in_time.targets.delay = 350ms;
    in_time.targets.run_for(5s);
    CHECK(in_time.targets.stops.empty());
    CHECK_FALSE(in_time.first_is_accused());
    CHECK(in_time.f.scheduler.find_job(job_id{"j"})->state() == job_state::completed);

    late_task stalled{1s};
    stalled.targets.delay = 350ms;
    stalled.targets.run_for(5s);
    REQUIRE(stalled.targets.stops.size() == 1);
    CHECK(stalled.age() < bound + 350ms + allowed_delay);
}

// Guards against a run that is stopped although it ended in time, because the report of its end was lost.
TEST_CASE("a run of which half of the reports are lost is stopped only if a report shows that it is stalled")
{
    for (const duration first_time : {duration{1s}, duration{1400ms}, duration{1700ms}, duration{1850ms}}) {
        late_task in_time{1s, first_time};
        in_time.targets.lose_every_second = true;
        in_time.targets.run_for(6s);
        CHECK(in_time.targets.stops.empty());
        CHECK_FALSE(in_time.first_is_accused());
    }
    late_task stalled{1s};
    stalled.targets.lose_every_second = true;
    stalled.targets.run_for(8s);
    REQUIRE(stalled.targets.stops.size() == 1);
    // An answer can be lost for the ends of the other tasks, and another one for the report that shows the
    // age.
    CHECK(stalled.age() < bound_of(1s + call_timeout + allowed_delay) + call_timeout + 200ms + allowed_delay);
}

// Guards against a leader that gives up half of the fleet's work because it is cut off from half of the
// targets. The runs on them are old, and those on the others are new and short.
TEST_CASE("a leader that is cut off from half of the targets gives up no run on them")
{
    for (const duration run_time : {duration{200ms}, duration{600ms}, duration{1500ms}}) {
        scheduler_fixture f;
        answering_targets targets{f};
        for (const char* name : {"a", "b", "c", "d"})
            targets.add(name);
        f.add_job("j", 12, 8000, [](step_spec& s) { s.max_per_target = 3; });
        const std::vector<start_command> starts = f.plan_and_store();
        REQUIRE(starts.size() == 12);
        const auto cut = [](const start_command& s) {
            return s.target.id == target_id{"a"} || s.target.id == target_id{"b"};
        };
        for (const start_command& s : starts) {
            if (cut(s))
                targets.start(s, 0s);
        }
        targets.run_for(1500ms);
        for (const char* name : {"a", "b"})
            targets.silence(name);
        for (const start_command& s : starts) {
            if (!cut(s))
                targets.start(s, run_time);
        }
        targets.run_for(3500ms);
        CHECK(targets.stops.empty());
        for (const char* name : {"a", "b"}) {
            const target_status& t = f.scheduler.targets().at(target_id{name});
            CHECK(t.runs.size() == 3);
            CHECK(t.avoid_until == timestamp{});
            CHECK(t.suspect_until == timestamp{});
        }
    }
}

// Guards against busy polling of a target whose task is stalled and has no other target to move to.
TEST_CASE("a target with a stalled task that can't be moved is observed at intervals")
{
    scheduler_fixture f;
    answering_targets targets{f};
    targets.add("only");
    f.add_job("j", 4);
    const std::vector<start_command> starts = f.plan_and_store();
    REQUIRE(starts.size() == 4);
    targets.start(starts[0], 0s);
    for (std::size_t i = 1; i < starts.size(); ++i)
        targets.start(starts[i], 500ms);
    targets.run_for(2s);
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    targets.observations = 0;
    targets.run_for(10s);
    CHECK(targets.stops.empty());
    CHECK(targets.observations <= 50);
}

// Guards against a leader that repeats stops that can't be sent for as long as it is cut off, and writes a
// line for each: in an incident 778 in 5 s.
TEST_CASE("a stop that can't be sent is repeated at growing intervals, and its error is new only once")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    const std::vector<start_command> starts = f.run_job("j", 1);
    REQUIRE(starts.size() == 1);
    const task_key key = starts[0].order.task;
    f.scheduler.cancel_job(job_id{"j"}, f.now());
    std::vector<timestamp> sent;
    std::size_t changes = 0;
    for (int i = 0; i < 600; ++i) {
        for (const stop_command& s : f.take_stops()) {
            sent.push_back(f.now().now);
            if (f.scheduler.on_stop_answer(a, s.task, s.run, tl::unexpected{order_errc::not_sent}, f.now()))
                ++changes;
        }
        f.advance(10ms);
    }
    CHECK(sent.size() <= 5);
    CHECK(changes == 1);
    REQUIRE(sent.size() >= 2);
    for (std::size_t i = 1; i < sent.size(); ++i)
        CHECK(sent[i] - sent[i - 1] <= 2600ms);
    f.advance(3s);
    REQUIRE(f.take_stops().size() == 1);
    CHECK(f.scheduler.on_stop_answer(a, key, 1, tl::unexpected{order_errc::no_answer}, f.now()));
    f.advance(3s);
    REQUIRE(f.take_stops().size() == 1);
    CHECK(f.scheduler.on_stop_answer(a, key, 1, order_answer{f.clock_ms()}, f.now()));
    f.advance(10ms);
    f.report(a, {}, {ended(starts[0], 1, run_end::stopped)});
    CHECK(f.scheduler.find_job(job_id{"j"})->state() == job_state::cancelled);
}

// Guards against a cancelled run that works on after the link to its target is back, because the next attempt
// of its stop is seconds away.
TEST_CASE("a stop that could not be sent is repeated soon after its target reports again")
{
    for (const bool listed : {true, false}) {
        scheduler_fixture f;
        const target_id a = f.add_target("a");
        const std::vector<start_command> starts = f.run_job("j", 1);
        REQUIRE(starts.size() == 1);
        f.scheduler.cancel_job(job_id{"j"}, f.now());
        for (int i = 0; i < 40; ++i) {
            for (const stop_command& s : f.take_stops())
                static_cast<void>(f.scheduler.on_stop_answer(a, s.task, s.run,
                                                             tl::unexpected{order_errc::not_sent}, f.now()));
            f.advance(100ms);
        }
        // An observation waits no longer than the first attempts are apart.
        CHECK(f.scheduler.begin_observation(a, f.now().now).wait <= 300ms);
        std::vector<listed_run> runs;
        if (listed)
            runs.push_back(running(starts[0]));
        f.report(a, runs);
        CHECK(f.take_stops().size() == 1);
    }
}
