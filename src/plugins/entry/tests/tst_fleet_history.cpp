#include "faulty_targets.h"
#include "random_fleet.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

// Each case breaks one rule on purpose, so that a check which no longer finds anything is noticed.

namespace {

const timestamp t0{1h};

timestamp at(double seconds)
{
    return t0 + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

outcome of(outcome_kind kind, std::string body = {})
{
    return outcome{kind, reason::none, duration{0}, std::move(body)};
}

/// Records one ticketed submission with one start.
struct one_run {
    fleet_history history;
    std::size_t submission = 0;
    request_id id{"r1"};

    one_run()
    {
        history.limit_in_force("t1", 2, at(0));
        submission = history.submitted("h1", "w1", "key-t1", false, at(0));
        start("a1", 1.0);
    }
    void start(const std::string& task, double when, std::int64_t running = 1)
    {
        history.start_sent(task_id{task}, "w1", "h1", "x1", at(when));
        history.started(task_id{task}, id, "x1", "t1", running, at(when));
    }
    std::size_t resubmitted(double when) { return history.submitted("h2", "w1", "key-t1", false, at(when)); }
};

template <typename Targets>
random_fleet_settings broken(std::uint64_t seed)
{
    random_fleet_settings settings;
    settings.seed = seed;
    settings.wrap_targets = [](target_client& inner) { return std::make_unique<Targets>(inner); };
    return settings;
}

/// Whether any of the rules is reported within a few seeds.
bool found(const std::function<random_fleet_settings(std::uint64_t)>& settings,
           const std::vector<history_rule>& rules)
{
    constexpr std::uint64_t most = 12;
    for (std::uint64_t seed = 1; seed <= most; ++seed) {
        random_fleet run{settings(seed)};
        run.run();
        for (const history_rule rule : rules) {
            if (run.history().violated(rule))
                return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("a history that keeps the rules has no violations")
{
    one_run run;
    run.history.answered(run.submission, run.id, of(outcome_kind::unknown), at(2));
    run.history.answered(run.resubmitted(3), run.id, of(outcome_kind::completed, "done r1"), at(4));
    run.history.expect_all_answered(at(5));
    run.history.check_outcomes();
    CHECK(run.history.violations().empty());
}

TEST_CASE("single_start fires on a second start of a request that is not idempotent")
{
    one_run run;
    run.start("a2", 2);
    CHECK(run.history.violated(history_rule::single_start));
}

TEST_CASE("not_run_is_true fires on a start before or after the statement, not on a later submission's")
{
    SECTION("before")
    {
        one_run run;
        run.history.answered(run.submission, run.id, of(outcome_kind::cancelled_not_run), at(2));
        run.history.check_outcomes();
        CHECK(run.history.violated(history_rule::not_run_is_true));
    }
    SECTION("after")
    {
        one_run run;
        run.history.answered(run.submission, run.id, of(outcome_kind::refused_not_run), at(0.5));
        run.history.check_outcomes();
        CHECK(run.history.violated(history_rule::not_run_is_true));
    }
    SECTION("by a later submission of the same ticket")
    {
        one_run run;
        run.history.answered(run.submission, run.id, of(outcome_kind::refused_not_run), at(0.5));
        run.history.answered(run.resubmitted(0.7), run.id, of(outcome_kind::completed, "done r1"), at(2));
        run.history.check_outcomes();
        CHECK(run.history.violations().empty());
    }
}

TEST_CASE("one_answer fires on a second answer to one submission")
{
    one_run run;
    for (int i = 0; i < 2; ++i)
        run.history.answered(run.submission, run.id, of(outcome_kind::completed, "done r1"), at(2));
    CHECK(run.history.violated(history_rule::one_answer));
}

TEST_CASE("consistent_answers fires on two definite outcomes of one ticket")
{
    one_run run;
    run.history.answered(run.submission, run.id, of(outcome_kind::completed, "done r1"), at(2));
    run.history.answered(run.resubmitted(3), run.id, of(outcome_kind::failed), at(4));
    run.history.check_outcomes();
    CHECK(run.history.violated(history_rule::consistent_answers));
}

TEST_CASE("own_answer fires on another request's body and on another work's request")
{
    one_run run;
    SECTION("body")
    {
        run.history.answered(run.submission, run.id, of(outcome_kind::completed, "done r2"), at(2));
    }
    SECTION("request")
    {
        const std::size_t other = run.history.submitted("h1", "w2", "key-t1", false, at(1));
        run.history.answered(other, run.id, of(outcome_kind::completed, "done r1"), at(2));
    }
    CHECK(run.history.violated(history_rule::own_answer));
}

TEST_CASE("team_limit fires above the largest limit of the last seconds")
{
    one_run run;
    run.history.limit_in_force("t1", 5, at(2));
    run.history.limit_in_force("t1", 1, at(3));
    run.start("a2", 4, 5);
    CHECK_FALSE(run.history.violated(history_rule::team_limit));
    run.start("a3", 14, 2);
    CHECK(run.history.violated(history_rule::team_limit));
}

TEST_CASE("target_slots fires on a ninth task")
{
    fleet_history history;
    history.target_running("x1", 8, at(1));
    CHECK(history.violations().empty());
    history.target_running("x1", 9, at(1));
    CHECK(history.violated(history_rule::target_slots));
}

TEST_CASE("withdrawn_key fires on work that is accepted after the bound, not on work within it")
{
    fleet_history history;
    history.key_withdrawn("key-t1", at(0));
    const std::size_t early = history.submitted("h1", "w1", "key-t1", true, at(6.9));
    history.answered(early, request_id{"r1"}, of(outcome_kind::unknown), at(20));
    const std::size_t refused = history.submitted("h1", "w2", "key-t1", true, at(7.1));
    history.answered(refused, {}, of(outcome_kind::refused_not_run), at(8));
    CHECK(history.violations().empty());
    const std::size_t late = history.submitted("h1", "w3", "key-t1", true, at(7.1));
    history.answered(late, request_id{"r3"}, of(outcome_kind::unknown), at(8));
    CHECK(history.violated(history_rule::withdrawn_key));
}

TEST_CASE("config_monotonic fires when a host goes back, not when a new process begins lower")
{
    fleet_history history;
    history.config_in_force("h1", 1, 5, at(1));
    history.config_in_force("h1", 2, 4, at(2));
    CHECK(history.violations().empty());
    history.config_in_force("h1", 2, 3, at(3));
    CHECK(history.violated(history_rule::config_monotonic));
}

TEST_CASE("leaving_target fires on a start well after the host was told")
{
    one_run run;
    run.history.told_leaving("h1", "x1", true, at(2));
    run.history.start_sent(task_id{"a2"}, "w1", "h1", "x1", at(4));
    CHECK_FALSE(run.history.violated(history_rule::leaving_target));
    run.history.start_sent(task_id{"a3"}, "w1", "h1", "x1", at(5.1));
    CHECK(run.history.violated(history_rule::leaving_target));
}

TEST_CASE("answered_in_time and completes_after_faults fire on what stays open, but not after a crash")
{
    one_run run;
    run.history.host_crashed("h1");
    run.history.expect_all_answered(at(9));
    CHECK(run.history.violations().empty());
    const std::size_t open = run.resubmitted(3);
    run.history.expect_all_answered(at(9));
    run.history.expect_completed(open, at(9));
    CHECK(run.history.violated(history_rule::answered_in_time));
    CHECK(run.history.violated(history_rule::completes_after_faults));
}

TEST_CASE("targets without fencing are found")
{
    CHECK(found(broken<unfenced_targets>, {history_rule::single_start, history_rule::not_run_is_true}));
}

TEST_CASE("a new owner that does not learn what the earlier one started is found")
{
    CHECK(found(broken<forgetful_targets>, {history_rule::single_start, history_rule::not_run_is_true}));
}

TEST_CASE("answers that are passed on to other requests are found")
{
    CHECK(found(broken<crossed_body_targets>, {history_rule::own_answer}));
}

TEST_CASE("targets that deny what they started are found")
{
    CHECK(found(broken<denying_targets>, {history_rule::single_start, history_rule::not_run_is_true}));
}

TEST_CASE("a front that turns unknown into not run is found")
{
    const auto settings = [](std::uint64_t seed) {
        random_fleet_settings result;
        result.seed = seed;
        result.alter_answer = [](caller_answer& answer) {
            if (answer.result.kind == outcome_kind::unknown)
                answer.result.kind = outcome_kind::refused_not_run;
        };
        return result;
    };
    CHECK(found(settings, {history_rule::not_run_is_true}));
}
