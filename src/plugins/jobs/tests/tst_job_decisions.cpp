#include "jobs/job_codec.h"
#include "jobs/placement.h"
#include "jobs/pool_plan.h"
#include "jobs/work_order.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

job make_job(const std::string& name, duration estimate, std::uint32_t tasks, bool permanent = false)
{
    job_record record;
    record.id = job_id{name};
    step_spec step;
    step.tasks = tasks;
    step.need = {1000, 1024, 0, 0};
    step.estimate = estimate;
    step.permanent = permanent;
    record.spec.steps.push_back(step);
    return job{std::move(record)};
}

target_status make_target(const std::string& name, std::int64_t used_milli_cpu)
{
    target_status t;
    t.info.id = target_id{name};
    t.info.capacity = {32'000, 131'072, 0, 0};
    t.synced = true;
    t.used.milli_cpu = used_milli_cpu;
    return t;
}

pool_state make_pool(const std::string& service, std::size_t hosts, double needed, std::size_t idle,
                     duration idle_for = 10s)
{
    pool_state p;
    p.service = service_id{service};
    p.hosts = hosts;
    p.needed = needed;
    for (std::size_t i = 0; i < idle; ++i)
        p.idle.push_back({service + std::to_string(i), idle_for});
    return p;
}

} // namespace

TEST_CASE("the order of two jobs of one urgency stays until the time at which a rank changes")
{
    // Guards against a queue that keeps ranks which have become wrong, for example of jobs that are late by
    // now.
    const job first = make_job("first", 1s, 4);
    const job second = make_job("second", 2s, 1);
    const job_objective due_first = objective_of(first, 0, 1.6, 600ms);
    const job_objective due_second = objective_of(second, 0, 1.6, 600ms);
    for (const job* j : {&first, &second}) {
        const job_objective& due = j == &first ? due_first : due_second;
        const std::int64_t until = rank_valid_until(*j, due, 0);
        CHECK(rank_job(*j, 0, due, 0).level == urgency::in_time);
        CHECK(rank_job(*j, 0, due, until).level == urgency::in_time);
        CHECK(rank_job(*j, 0, due, until + 1).level == urgency::late);
        const std::int64_t late_until = rank_valid_until(*j, due, until + 1);
        CHECK(rank_job(*j, 0, due, late_until).level == urgency::late);
        CHECK(rank_job(*j, 0, due, late_until + 1).level == urgency::useless);
        CHECK(rank_valid_until(*j, due, late_until + 1) == std::numeric_limits<std::int64_t>::max());
    }
    const bool before = rank_job(first, 0, due_first, 0) < rank_job(second, 0, due_second, 0);
    CHECK(before == (rank_job(first, 0, due_first, 500) < rank_job(second, 0, due_second, 500)));
    const job serving = make_job("serving", 0s, 1, true);
    CHECK(rank_valid_until(serving, due_first, 0) == std::numeric_limits<std::int64_t>::max());
}

TEST_CASE("jobs that can be in time rank before jobs that can't, and permanent jobs before both")
{
    const job serving = make_job("serving", 0s, 1, true);
    const job quick = make_job("quick", 1s, 4);
    const job_objective open = objective_of(quick, 0, 1.6, 600ms);
    CHECK(open.due_ms == 2200);
    CHECK(open.useless_after_ms == 6600);
    const work_rank first = rank_job(serving, 0, open, 0);
    const work_rank in_time = rank_job(quick, 0, open, 1000);
    const work_rank late = rank_job(quick, 0, open, 1500);
    const work_rank useless = rank_job(quick, 0, open, 6000);
    CHECK(first < in_time);
    CHECK(in_time < late);
    CHECK(late < useless);
    CHECK(rank_job(quick, 0, open, 6000) < rank_job(quick, 1, open, 0));
}

TEST_CASE("the fullest target with enough free capacity is chosen")
{
    target_status empty = make_target("empty", 0);
    target_status half = make_target("half", 16'000);
    target_status full = make_target("full", 31'500);
    const std::vector<target_status*> pool{&empty, &half, &full};
    step_spec step;
    step.need = {1000, 1024, 0, 0};
    const placement_request request{&step, nullptr, {}, {}};
    CHECK(choose_target(request, pool, timestamp{}) == &half);
    half.cordon = host_cordon::ordered;
    CHECK(choose_target(request, pool, timestamp{}) == &empty);
    empty.info.state = target_state::draining;
    CHECK(choose_target(request, pool, timestamp{}) == nullptr);
}

TEST_CASE("a failed task is placed on another target if there is one")
{
    target_status a = make_target("a", 16'000);
    target_status b = make_target("b", 0);
    step_spec step;
    step.need = {1000, 1024, 0, 0};
    const placement_request request{&step, nullptr, target_id{"a"}, {}};
    CHECK(choose_target(request, {&a, &b}, timestamp{}) == &b);
    CHECK(choose_target(request, {&a}, timestamp{}) == &a);
}

// One pool needs more than its capacity while the others have little work.
TEST_CASE("hosts move to the pool with demand, standby ones first, and return to standby when idle")
{
    pool_plan_settings settings;
    pool_state asks = make_pool("fit", 8, 12.0, 0);
    asks.waiting = 4.0;
    pool_state quiet = make_pool("sort", 8, 0.5, 6);
    pool_state off = make_pool("off", 2, 0.0, 2);
    off.standby = true;
    const std::vector<host_move> moves = plan_moves({quiet, asks, off}, settings);
    std::size_t from_off = 0;
    std::size_t from_quiet = 0;
    for (const host_move& m : moves) {
        CHECK(m.to == service_id{"fit"});
        ++(m.from == service_id{"off"} ? from_off : from_quiet);
    }
    CHECK(from_off == 2);
    CHECK(from_quiet >= 1);
    CHECK(from_quiet <= 5);

    const std::vector<host_move> back = plan_moves({quiet, off}, settings);
    REQUIRE_FALSE(back.empty());
    for (const host_move& m : back)
        CHECK(m.to == service_id{"off"});
    CHECK(plan_moves({make_pool("sort", 8, 0.5, 6, 100ms), off}, settings).empty());
}

TEST_CASE("a job and its progress are restored from their stored text")
{
    job_record record;
    record.id = job_id{"j"};
    record.queue = queue_id{"q"};
    record.service = service_id{"s"};
    record.team = team_id{"t"};
    record.accepted_ms = 42;
    record.max_attempts = 4;
    record.spec.payload = "text \"quoted\"";
    record.spec.scheduled = true;
    record.spec.occurrences = 3;
    record.spec.interval_ms = 500;
    step_spec step;
    step.tasks = 2;
    step.need = {1500, 512, 1, 0};
    step.required_label = "k80";
    step.max_unavailable = 1;
    step.saves_progress = true;
    record.spec.steps.push_back(step);
    const std::optional<job_record> back = decode_job(record.id, encode_job(record));
    REQUIRE(back);
    CHECK(back->spec.payload == record.spec.payload);
    CHECK(back->spec.occurrences == 3);
    CHECK(back->max_attempts == 4);
    const std::optional<job_record> earlier_version = decode_job(
        record.id, R"({"queue":"q","service":"s","team":"t","accepted_ms":1,"payload":"","steps":[]})");
    REQUIRE(earlier_version);
    CHECK(earlier_version->max_attempts == 0);
    CHECK(back->spec.steps.at(0).need == step.need);
    CHECK(back->spec.steps.at(0).required_label == "k80");

    job j{record};
    task& t = j.at({1, 0, 1});
    t.last_run = 4;
    t.failures = 1;
    t.checkpoint = "abc";
    t.run = task_run{};
    t.run->number = 4;
    t.run->target = target_id{"w"};
    t.run->incarnation = 17;
    j.mark_started();
    j.finish_task({0, 0, 0});
    j.at({0, 0, 0}).last_run = 1;
    job restored{record};
    REQUIRE(restore_progress(restored, encode_progress(j)));
    CHECK(restored.state() == job_state::running);
    CHECK(restored.at({0, 0, 0}).done);
    CHECK(restored.open_tasks() == 5);
    REQUIRE(restored.at({1, 0, 1}).run);
    CHECK(restored.at({1, 0, 1}).run->phase == run_phase::unconfirmed);
    CHECK(restored.at({1, 0, 1}).checkpoint == "abc");
    CHECK_FALSE(restore_progress(restored, "{\"state\":\"nonsense\"}"));
    CHECK_FALSE(decode_job(record.id, "not json"));
}

// Guards against progress that a next leader can't read, since a target's text isn't plain.
TEST_CASE("checkpoints with any characters are restored from the stored progress")
{
    job_record record;
    record.id = job_id{"j"};
    step_spec step;
    step.tasks = 3;
    record.spec.steps.push_back(step);
    job j{record};
    const std::vector<std::string> checkpoints{"a\"b\\c", "line\n\x01", "caf\xc3\xa9"};
    for (std::uint32_t n = 0; n < 3; ++n) {
        j.at({0, 0, n}).last_run = 1;
        j.at({0, 0, n}).checkpoint = checkpoints[n];
    }
    j.at({0, 0, 2}).crashes.crashes = 2;
    job restored{record};
    REQUIRE(restore_progress(restored, encode_progress(j)));
    for (std::uint32_t n = 0; n < 3; ++n)
        CHECK(restored.at({0, 0, n}).checkpoint == checkpoints[n]);
    CHECK(restored.at({0, 0, 2}).crashes.crashes == 2);
    // A target's text may not be UTF-8; the progress stays readable even so.
    j.at({0, 0, 1}).checkpoint = "\xff";
    CHECK(restore_progress(restored, encode_progress(j)));
}

TEST_CASE("task keys are parsed from their end")
{
    const task_key key{job_id{"a.b"}, {1, 2, 3}};
    CHECK(to_string(key) == "a.b.1.2.3");
    CHECK(parse_task_key("a.b.1.2.3") == key);
    for (const char* text : {"", "a", "a.1.2", "a.1.x.3", ".1.2.3", "a.1..3"})
        CHECK_FALSE(parse_task_key(text));
}

// Guards against a new leader that takes the sizes of pools whose hosts are on standby for their usual sizes,
// and so keeps too few hosts in them.
TEST_CASE("pools get their share of all hosts, however small they are at present")
{
    pool_state off = make_pool("off", 24, 0.0, 24);
    off.standby = true;
    pool_state small = make_pool("fit", 2, 0.1, 0);
    pool_state other = make_pool("sort", 6, 0.1, 0);
    const std::vector<host_move> moves = plan_moves({small, other, off}, pool_plan_settings{});
    // There are 32 hosts for two pools; 0.42 of 16 is 7 hosts each.
    CHECK(moves.size() == 5 + 1);
}

// Guards against idle hosts beside waiting work: pools kept hosts for their reserve and for steps that could
// not run yet, so that 10 of 49 hosts were idle while another pool had work for 55 hosts.
TEST_CASE("while work waits in one pool, the others lend every host that their present work does not need")
{
    const pool_plan_settings settings;
    pool_state asks = make_pool("fit", 6, 60.0, 0);
    asks.present = 60.0;
    asks.waiting = 50.0;
    pool_state reserve = make_pool("sort", 8, 0.5, 6);
    reserve.present = 0.5;
    pool_state later = make_pool("sign", 30, 28.0, 18);
    later.present = 2.0;
    const std::vector<host_move> moves = plan_moves({reserve, asks, later}, settings);
    std::map<std::string, int> lent;
    for (const host_move& m : moves) {
        CHECK(m.to == service_id{"fit"});
        ++lent[m.from.str()];
    }
    CHECK(lent["sort"] == 5); // a pool keeps at least 3 hosts
    CHECK(lent["sign"] == 18);

    // Without waiting work, a pool keeps the hosts that its next steps and its reserve need.
    asks.waiting = 0.0;
    for (const host_move& m : plan_moves({reserve, asks, later}, settings))
        CHECK(m.from != service_id{"sign"});
}

// The demand grows by 9 hosts per second, and a host needs 2 s to join.
TEST_CASE("a pool with growing demand gets the hosts that it will need by the time they have joined")
{
    pool_state off = make_pool("off", 40, 0.0, 40);
    off.standby = true;
    pool_state grows = make_pool("fit", 6, 12.0, 0);
    grows.present = 12.0;
    const std::size_t without = plan_moves({grows, off}, pool_plan_settings{}).size();
    grows.growth = 9.0;
    const std::size_t with = plan_moves({grows, off}, pool_plan_settings{}).size();
    // The need is 12 hosts now and 18 more by then, which is 38 with the headroom and spare hosts of the
    // settings; the pool has 6.
    CHECK(with == 32);
    CHECK(without < with);
}

// Guards against one team's overload that takes the hosts of other pools. On a large deployment, one pool
// needed three times the fleet and had nearly all of it, while another had work for 70 hosts but only 10
// hosts; only 6% of the value of that pool's work was earned.
TEST_CASE("an overloaded pool leaves the others an equal share of the hosts")
{
    pool_state flood = make_pool("sort", 300, 700.0, 0);
    flood.present = 700.0;
    flood.waiting = 450.0;
    for (int i = 0; i < 200; ++i)
        flood.busy.push_back("b" + std::to_string(i));
    pool_state other = make_pool("fit", 10, 80.0, 0);
    other.present = 80.0;
    other.waiting = 70.0;
    pool_state quiet = make_pool("sign", 60, 10.0, 0);
    quiet.present = 10.0;
    const std::vector<host_move> moves = plan_moves({flood, other, quiet}, pool_plan_settings{});
    // There are 370 hosts for three pools; the other pool needs 98 with the headroom.
    CHECK(moves.size() == 88);
    for (const host_move& m : moves) {
        CHECK(m.from == service_id{"sort"});
        CHECK(m.to == service_id{"fit"});
    }

    // If all its work is running, busy hosts stay where they are.
    other.waiting = 0.0;
    CHECK(plan_moves({flood, other, quiet}, pool_plan_settings{}).empty());
}

// Guards against switching off the hosts of which only one kind can do the work that waits.
TEST_CASE("a pool keeps its idle hosts while some of its waiting work can't use every host")
{
    pool_state p = make_pool("fit", 8, 0.5, 6, 10s);
    pool_state off = make_pool("off", 0, 0.0, 0);
    off.standby = true;
    REQUIRE_FALSE(plan_moves({p, off}, pool_plan_settings{}).empty());
    p.restricted = true;
    CHECK(plan_moves({p, off}, pool_plan_settings{}).empty());
}
