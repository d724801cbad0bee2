#include "fleet_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

// Time for which service discovery keeps the entry of a target that has crashed: three heartbeats.
constexpr std::chrono::milliseconds entry_lifetime{4500};

/// Faults that a random run plays besides those of entry hosts, store and links.
struct fault_switches {
    bool deadly_tasks = false;
    bool failing_tasks = false;
    bool draining_targets = false;
    bool permanent_tasks = false;
    /// Half of the targets don't guard their capacity, which shrinks and grows; stops take time.
    bool capacities = false;
    bool cancellations = false; ///< Also entry hosts that handle answers or changes late.
};

/// Plays random faults for 20 s of virtual time, repairs everything, and checks the end of all jobs.
class random_faults {
public:
    random_faults(std::uint64_t seed, fault_switches switches)
        : sim_{seed, 3}, random_{sim_.random}, switches_{switches}
    {
        sim_.fleet.entry_lifetime = entry_lifetime;
        sim_.fleet.restart_after_crash = random_restart();
        sim_.fleet.restart_delay = random_.chance(0.3) ? 6s : 3s;
        if (switches_.deadly_tasks)
            sim_.fleet.deadly = is_deadly;
        if (switches_.capacities) {
            sim_.fleet.check_capacity = true;
            sim_.fleet.stop_time = 200ms;
            for (int i = 3; i < 6; ++i)
                sim_.fleet.set_guard("h" + std::to_string(i), true);
        }
        for (const std::unique_ptr<entry_host>& h : sim_.hosts)
            h->link.most_changes = 4;
        sim_.fleet.run_time = [this](const task_key& key) { return run_time(key); };
        sim_.fleet.outcome = [this](const task_key& key) { return outcome(key); };
    }

    void play()
    {
        sim_.fleet.late_orders = 0.02;
        sim_.fleet.lost_answers = 0.03;
        sim_.run_for(1s);
        for (int round = 0; round < 40; ++round) {
            submit_job(round);
            disturb();
            if (switches_.cancellations)
                cancel_jobs();
            if (switches_.capacities && random_.chance(0.4))
                change_capacity();
            sim_.run_for(500ms);
            repair_some();
        }
        repair_all();
        sim_.run_for(60s);
        check();
    }

    /// Returns the state in which a job that is not cancelled must end.
    static job_state expected_state(const std::string& id)
    {
        return id.starts_with("deadly") || id.starts_with("failing") ? job_state::failed
                                                                     : job_state::completed;
    }
    static bool is_permanent(const std::string& id)
    {
        return id.starts_with("serving") || id.starts_with("unstable");
    }
    /// The first task of a job with such a name crashes each target that starts it.
    static bool is_deadly(const task_key& key)
    {
        return key.job.str().starts_with("deadly") && key.position.step == 0 && key.position.index == 0;
    }

private:
    restart_kind random_restart()
    {
        return std::array{restart_kind::new_address, restart_kind::same_address,
                          restart_kind::same_id}[random_.below(3)];
    }
    std::optional<duration> run_time(const task_key& key)
    {
        if (key.job.str().starts_with("serving"))
            return std::nullopt;
        // Some tasks run for longer than a cancellation may take.
        const bool is_long = switches_.cancellations && random_.chance(0.2);
        return std::chrono::milliseconds{200 + random_.below(is_long ? 10'000 : 1500)};
    }
    run_end outcome(const task_key& key)
    {
        const std::string& id = key.job.str();
        const bool fails = id.starts_with("unstable") ||
                           (id.starts_with("failing") && key.position.index == 0) ||
                           (id.starts_with("flaky") && sim_.fleet.failed_runs[key] < 2);
        return fails ? run_end::failed : run_end::done;
    }
    [[nodiscard]] std::string kind_of_job(int round) const
    {
        if (switches_.deadly_tasks && round % 8 == 5)
            return "deadly";
        if (switches_.failing_tasks && round % 8 == 2)
            return "failing";
        if (switches_.failing_tasks && round % 4 == 3)
            return "flaky";
        if (switches_.permanent_tasks && round % 16 == 4)
            return "serving";
        if (switches_.permanent_tasks && round % 16 == 8)
            return "unstable";
        return "j";
    }
    void submit_job(int round)
    {
        const std::string kind = kind_of_job(round);
        const std::uint32_t tasks = 1 + static_cast<std::uint32_t>(random_.below(6));
        sim_.submit(kind + std::to_string(round), is_permanent(kind) ? 3 : tasks, is_permanent(kind));
    }
    void cancel_jobs()
    {
        for (const std::string& id : sim_.accepted) {
            if (!sim_.completed(id) && random_.chance(0.08))
                sim_.cancel(id, *sim_.hosts[random_.below(sim_.hosts.size())]);
        }
        entry_host& late = *sim_.hosts[random_.below(sim_.hosts.size())];
        if (random_.chance(0.15))
            late.set_delays(std::chrono::milliseconds{random_.below(1500)},
                            std::chrono::milliseconds{random_.below(8000)});
    }
    void change_capacity()
    {
        const resources capacity{static_cast<std::int64_t>(random_.below(8'001)), 32'768, 0, 0};
        sim_.fleet.set_capacity("h" + std::to_string(random_.below(6)), capacity,
                                std::chrono::milliseconds{random_.below(1500)});
    }
    void disturb()
    {
        entry_host& entry = *sim_.hosts[random_.below(sim_.hosts.size())];
        const std::string host = "h" + std::to_string(random_.below(6));
        switch (random_.below(14)) {
        case 0:
            entry.kill();
            break;
        case 1:
            entry.link.reachable = false;
            break;
        case 2:
            entry.link.lost_commits = 2;
            break;
        case 3:
            entry.link.late_commits = 1;
            break;
        case 4:
            sim_.fleet.crash_for(host, random_restart(),
                                 std::chrono::milliseconds{500 + random_.below(6000)});
            break;
        case 5:
            sim_.fleet.set_cut(host, true);
            break;
        case 6:
            sim_.store.forget_history();
            break;
        case 7:
        case 8:
            if (switches_.draining_targets)
                sim_.fleet.drain(host, std::chrono::milliseconds{2000 + random_.below(6000)},
                                 random_restart());
            break;
        default:
            break;
        }
    }
    void repair_some()
    {
        for (const std::unique_ptr<entry_host>& h : sim_.hosts) {
            if (!h->node && random_.chance(0.5))
                h->start(sim_.config, sim_.waves);
            if (random_.chance(0.3))
                h->link.reachable = true;
            if (random_.chance(0.2))
                h->set_delays({}, {});
        }
        for (const host_info& h : sim_.fleet.hosts()) {
            if (random_.chance(0.1))
                sim_.fleet.set_cut(h.id, false);
        }
    }
    void repair_all()
    {
        sim_.fleet.late_orders = 0.0;
        sim_.fleet.lost_answers = 0.0;
        for (const std::unique_ptr<entry_host>& h : sim_.hosts) {
            h->link.reachable = true;
            h->set_delays({}, {});
            if (!h->node)
                h->start(sim_.config, sim_.waves);
        }
        for (const host_info& h : sim_.fleet.hosts()) {
            sim_.fleet.set_cut(h.id, false);
            sim_.fleet.set_capacity(h.id, {8'000, 32'768, 0, 0}, 1s);
        }
    }
    void check()
    {
        UNSCOPED_INFO("targets return as kind " << static_cast<int>(sim_.fleet.restart_after_crash)
                                                << " after " << to_ms(sim_.fleet.restart_delay) << " ms");
        for (const auto& [task, history] : sim_.fleet.deadly_tasks)
            UNSCOPED_INFO(to_string(task) << " started " << history.starts << " times");
        for (const std::string& violation : sim_.fleet.violations)
            UNSCOPED_INFO(violation);
        CHECK(sim_.fleet.violations.empty());
        for (const std::string& id : sim_.accepted) {
            int crashes = 0; // The most under any of its tasks.
            for (const auto& [task, n] : sim_.fleet.crashes_under) {
                if (task.job.str() == id)
                    crashes = std::max(crashes, n);
            }
            CAPTURE(id, crashes);
            const job_state state = sim_.stored_state(id);
            // A job that ends before its cancellation takes effect keeps its state.
            if (sim_.cancel_requested.contains(id) && state != expected_state(id))
                CHECK(state == job_state::cancelled);
            else if (is_permanent(id))
                CHECK_FALSE(is_final(state));
            else
                CHECK(state == expected_state(id));
            if (id.starts_with("serving") && !sim_.cancel_requested.contains(id))
                CHECK(sim_.fleet.running(job_id{id}) == 3);
        }
    }

    fleet_simulation sim_;
    seeded_random& random_;
    const fault_switches switches_;
};

void play_seeds(fault_switches switches, std::uint64_t default_seeds)
{
    const std::uint64_t first_seed = environment_number("MJM_FIRST_SEED", 1);
    const std::uint64_t seeds = environment_number("MJM_SEEDS", default_seeds);
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        CAPTURE(seed);
        random_faults run{seed, switches};
        run.play();
    }
}

/// A simulation in which crashed targets stay listed and all tasks take 0.8 s.
void prepare(fleet_simulation& sim)
{
    sim.fleet.entry_lifetime = entry_lifetime;
    sim.fleet.deadly = random_faults::is_deadly;
    sim.fleet.run_time = [](const task_key&) { return duration{800ms}; };
    sim.run_for(3s);
}

void submit_others(fleet_simulation& sim)
{
    for (int i = 0; i < 8; ++i)
        sim.submit("j" + std::to_string(i), 4);
}

/// Checks that the deadly tasks were given up in time, and that no other job has failed.
void check_deadly_ends(fleet_simulation& sim)
{
    for (const auto& [task, history] : sim.fleet.deadly_tasks) {
        CAPTURE(to_string(task), history.crashes, history.starts);
        CHECK(history.starts_after_limit < 3);
    }
    for (const std::string& id : sim.accepted) {
        CAPTURE(id);
        CHECK(sim.stored_state(id) == random_faults::expected_state(id));
    }
    for (const std::string& violation : sim.fleet.violations)
        UNSCOPED_INFO(violation);
    CHECK(sim.fleet.violations.empty());
}

/// Submits more work than the fleet's targets have capacity for, all of which start what they are told to.
void fill_unguarded_targets(fleet_simulation& sim, int jobs)
{
    sim.fleet.check_capacity = true;
    sim.fleet.stop_time = 200ms;
    for (int i = 0; i < jobs; ++i)
        sim.submit("j" + std::to_string(i), 6);
}

} // namespace

// Guards against a task that is started without end although it crashes each target.
TEST_CASE("a task that crashes its targets is given up when they return under a new id")
{
    fleet_simulation sim{41};
    prepare(sim);
    sim.submit("deadly", 2);
    submit_others(sim);
    sim.run_for(50s);
    check_deadly_ends(sim);
}

// Guards against a count of crashes that only sees targets with a new id.
TEST_CASE("a task that crashes its targets is given up when they return under the same id")
{
    fleet_simulation sim{42};
    sim.fleet.restart_after_crash = restart_kind::same_id;
    prepare(sim);
    sim.submit("deadly", 2);
    submit_others(sim);
    sim.run_for(50s);
    check_deadly_ends(sim);
}

// Guards against a count of crashes that only sees targets that are back before their lease has ended.
TEST_CASE("a task that crashes its targets is given up when they return after their lease")
{
    fleet_simulation sim{43};
    sim.fleet.restart_delay = 6s;
    sim.fleet.restart_after_crash =
        GENERATE(restart_kind::new_address, restart_kind::same_address, restart_kind::same_id);
    CAPTURE(static_cast<int>(sim.fleet.restart_after_crash));
    prepare(sim);
    sim.submit("deadly", 2);
    submit_others(sim);
    sim.run_for(70s);
    check_deadly_ends(sim);
}

// Guards against a count of crashes that ends with the leader's term.
TEST_CASE("a change of leader does not forget the crashes of a task")
{
    fleet_simulation sim{44};
    prepare(sim);
    sim.submit("deadly", 1);
    submit_others(sim);
    int killed = 0;
    for (int i = 0; i < 700; ++i) {
        sim.run_for(100ms);
        entry_host* leader = sim.leader();
        const int crashes =
            sim.fleet.deadly_tasks.empty() ? 0 : sim.fleet.deadly_tasks.begin()->second.crashes;
        if (leader == nullptr || crashes <= killed || killed == 4)
            continue;
        ++killed;
        leader->kill();
        leader->start(sim.config, sim.waves);
    }
    check_deadly_ends(sim);
}

// Guards against jobs that are failed because their tasks were beside those that crash their targets.
TEST_CASE("several tasks that crash their targets do not fail the jobs beside them")
{
    fleet_simulation sim{45};
    prepare(sim);
    for (int i = 0; i < 3; ++i)
        sim.submit("deadly" + std::to_string(i), 3);
    submit_others(sim);
    sim.run_for(90s);
    check_deadly_ends(sim);
}

// Guards against a job that is failed for crashes and silences of targets that are not its fault.
TEST_CASE("a job whose targets crash twice and are silent for long is not failed")
{
    fleet_simulation sim{46};
    prepare(sim);
    sim.fleet.run_time = [](const task_key&) { return duration{5s}; };
    sim.submit("j", 1);
    const task_key task{job_id{"j"}, {0, 0, 0}};
    for (int fault = 0; fault < 5; ++fault) {
        for (int i = 0; i < 200 && sim.fleet.host_of(task).empty(); ++i)
            sim.run_for(100ms);
        const std::string host = sim.fleet.host_of(task);
        REQUIRE_FALSE(host.empty());
        sim.run_for(300ms);
        if (fault % 2 == 0) {
            sim.fleet.set_cut(host, true);
            sim.run_for(7s);
            sim.fleet.set_cut(host, false);
        } else {
            sim.fleet.crash_for(host, restart_kind::same_address, 3s);
            sim.run_for(200ms);
        }
    }
    sim.run_for(20s);
    CHECK(sim.completed("j"));
    CHECK(sim.fleet.violations.empty());
}

TEST_CASE("under random faults a task that crashes its targets is given up and no other job fails",
          "[random]")
{
    play_seeds({.deadly_tasks = true}, 5);
}

// Plays targets that return under their former address or id, which the runs of tst_job_node.cpp do not.
TEST_CASE("all accepted jobs complete although targets return under their former address or id", "[random]")
{
    play_seeds({}, 3);
}

// Guards against a cancellation that does not reach the tasks that run.
TEST_CASE("the tasks of a cancelled job are stopped and none of its steps starts")
{
    fleet_simulation sim{51};
    prepare(sim);
    sim.fleet.run_time = [](const task_key&) { return duration{5s}; };
    sim.submit("cancelled", 6);
    sim.submit("kept", 3);
    sim.run_for(1s);
    REQUIRE(sim.fleet.running(job_id{"cancelled"}) == 6);
    sim.cancel("cancelled", *sim.hosts[2]);
    sim.run_for(1s);
    CHECK(sim.fleet.running(job_id{"cancelled"}) == 0);
    sim.run_for(15s);
    CHECK(sim.stored_state("cancelled") == job_state::cancelled);
    CHECK(sim.completed("kept"));
    CHECK(sim.fleet.violations.empty());
}

// Guards against a next leader that starts the tasks of a job whose cancellation the former one never
// handled.
TEST_CASE("a cancellation is not forgotten when the leader is lost before it has handled it")
{
    const bool killed = GENERATE(true, false);
    CAPTURE(killed);
    fleet_simulation sim{52};
    prepare(sim);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    entry_host& other = *sim.hosts[leader == sim.hosts[0].get() ? 1 : 0];
    sim.fleet.run_time = [](const task_key&) { return duration{3s}; };
    sim.submit("j", 6);
    sim.run_for(1s);
    leader->link.watches_stuck = true;
    sim.cancel("j", other);
    sim.run_for(100ms);
    REQUIRE(sim.fleet.cancelled.contains(job_id{"j"}));
    if (killed)
        leader->kill();
    else
        leader->link.reachable = false;
    sim.run_for(15s);
    CHECK(sim.stored_state("j") == job_state::cancelled);
    CHECK(sim.fleet.violations.empty());
}

// Guards against a cancellation that is lost with the store's answer, and against one that takes effect
// twice.
TEST_CASE("a cancellation that the store executes late or without an answer takes effect")
{
    const bool late = GENERATE(true, false);
    CAPTURE(late);
    fleet_simulation sim{53};
    prepare(sim);
    sim.fleet.run_time = [](const task_key&) { return duration{6s}; };
    sim.submit("j", 4);
    sim.run_for(1s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    entry_host& other = *sim.hosts[leader == sim.hosts[0].get() ? 1 : 0];
    (late ? other.link.late_commits : other.link.lost_commits) = 1;
    sim.cancel("j", other);
    sim.run_for(10s);
    CHECK(sim.fleet.cancelled.contains(job_id{"j"}));
    CHECK(sim.stored_state("j") == job_state::cancelled);
    CHECK(sim.fleet.violations.empty());
}

// Guards against the report of the users: a leader that handled changes seconds late started tasks of jobs
// whose cancellations had been acknowledged.
TEST_CASE("a leader that hears of cancellations late starts no task of a cancelled job")
{
    fleet_simulation sim{54};
    prepare(sim);
    for (const std::unique_ptr<entry_host>& h : sim.hosts)
        h->set_delays({}, 6s);
    for (int i = 0; i < 20; ++i) {
        const std::string id = "j" + std::to_string(i);
        sim.submit(id, 4);
        sim.run_for(200ms);
        sim.cancel(id, *sim.hosts[2]);
        sim.run_for(200ms);
    }
    CHECK(sim.fleet.cancelled.size() == 20);
    sim.run_for(20s);
    for (const std::string& id : sim.accepted)
        CHECK(sim.stored_state(id) == job_state::cancelled);
    CHECK(sim.fleet.violations.empty());
}

TEST_CASE("under random faults cancelled jobs end in time and all others complete", "[random]")
{
    play_seeds({.cancellations = true}, 4);
}

// Guards against starts beyond the attempts of a task, also by a leader that has just taken over.
TEST_CASE("a task that fails each time is started as often as its queue allows")
{
    fleet_simulation sim{61};
    prepare(sim);
    sim.fleet.outcome = [](const task_key& key) {
        return key.job.str() == "failing" && key.position.index == 1 ? run_end::failed : run_end::done;
    };
    sim.submit("failing", 3);
    sim.submit("j", 4);
    const task_key task{job_id{"failing"}, {0, 0, 1}};
    for (int i = 0; i < 100 && sim.fleet.failed_runs[task] < 2; ++i)
        sim.run_for(50ms);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    leader->kill();
    sim.run_for(15s);
    CHECK(sim.fleet.failed_runs[task] == 3);
    CHECK(sim.stored_state("failing") == job_state::failed);
    CHECK(sim.completed("j"));
    CHECK(sim.fleet.violations.empty());
}

// Guards against failures of a task that are counted twice, or counted for the job's other tasks.
TEST_CASE("a job whose tasks all fail twice completes")
{
    fleet_simulation sim{62};
    prepare(sim);
    sim.fleet.outcome = [&sim](const task_key& key) {
        return sim.fleet.failed_runs[key] < 2 ? run_end::failed : run_end::done;
    };
    sim.fleet.lost_answers = 0.2;
    sim.submit("j", 6);
    sim.run_for(40s);
    CHECK(sim.completed("j"));
    CHECK(sim.fleet.violations.empty());
}

// Guards against starts on a target that is about to leave, and against a permanent task that ends with it.
TEST_CASE("targets that drain get no work and their permanent tasks move before they leave")
{
    fleet_simulation sim{63};
    prepare(sim);
    sim.fleet.run_time = [](const task_key& key) -> std::optional<duration> {
        return key.job.str() == "serving" ? std::nullopt : std::optional<duration>{600ms};
    };
    sim.submit("serving", 4, true);
    sim.run_for(2s);
    REQUIRE(sim.fleet.running(job_id{"serving"}) == 4);
    for (int i = 0; i < 6; ++i) {
        const std::string host = "h" + std::to_string(i);
        sim.fleet.drain(host, 4s, restart_kind::same_id);
        sim.submit("j" + std::to_string(i), 6);
        sim.run_for(3900ms);
        CHECK(sim.fleet.running_on(host).empty());
        CHECK(sim.fleet.running(job_id{"serving"}) == 4);
        sim.run_for(2500ms);
    }
    sim.run_for(5s);
    for (const std::string& id : sim.accepted)
        CHECK((id == "serving" || sim.completed(id)));
    CHECK(sim.fleet.violations.empty());
}

// Guards against a limit of attempts for tasks that run until their job is cancelled.
TEST_CASE("a permanent task that fails again and again is started again")
{
    fleet_simulation sim{64};
    prepare(sim);
    sim.fleet.outcome = [](const task_key&) { return run_end::failed; };
    sim.submit("unstable", 1, true);
    sim.run_for(40s);
    CHECK(sim.fleet.failed_runs[{job_id{"unstable"}, {0, 0, 0}}] >= 8);
    sim.cancel("unstable", *sim.hosts[0]);
    sim.run_for(5s);
    CHECK(sim.stored_state("unstable") == job_state::cancelled);
    CHECK(sim.fleet.running(job_id{"unstable"}) == 0);
}

TEST_CASE("under random faults failing tasks end their job in time and permanent tasks are kept", "[random]")
{
    play_seeds({.failing_tasks = true, .draining_targets = true, .permanent_tasks = true}, 4);
}

// Guards against starts by the capacity that a target had before it shrank, also by the next leader.
TEST_CASE("no start brings a target over the capacity to which it has shrunk")
{
    const bool leader_lost = GENERATE(false, true);
    CAPTURE(leader_lost);
    fleet_simulation sim{71};
    prepare(sim);
    fill_unguarded_targets(sim, 60);
    sim.run_for(1s);
    CHECK(sim.fleet.running_on("h0").size() == 5);
    for (const char* host : {"h0", "h1", "h2"})
        sim.fleet.set_capacity(host, {3'100, 32'768, 0, 0}, 1500ms);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    if (leader_lost)
        leader->kill();
    sim.run_for(6s);
    CHECK(sim.fleet.running_on("h0").size() == 2);
    for (const char* host : {"h0", "h1", "h2"})
        sim.fleet.set_capacity(host, {8'000, 32'768, 0, 0}, 1500ms);
    sim.run_for(2500ms);
    CHECK(sim.fleet.running_on("h0").size() > 2);
    sim.run_for(20s);
    for (const std::string& id : sim.accepted)
        CHECK(sim.completed(id));
    CHECK(sim.fleet.violations.empty());
}

// Guards against a start in the place of a run that has been told to stop and still works.
TEST_CASE("a run that is being stopped counts until its target lists its end")
{
    fleet_simulation sim{72};
    prepare(sim);
    sim.fleet.run_time = [](const task_key& key) {
        return duration{key.job.str() == "cancelled" ? 20s : 800ms};
    };
    sim.submit("cancelled", 30);
    sim.run_for(500ms);
    REQUIRE(sim.fleet.running(job_id{"cancelled"}) == 30);
    fill_unguarded_targets(sim, 10);
    sim.fleet.lost_answers = 0.2;
    sim.cancel("cancelled", *sim.hosts[1]);
    sim.run_for(20s);
    CHECK(sim.stored_state("cancelled") == job_state::cancelled);
    for (int i = 0; i < 10; ++i)
        CHECK(sim.completed("j" + std::to_string(i)));
    CHECK(sim.fleet.violations.empty());
}

TEST_CASE("under random faults no target that does not guard its capacity is overloaded", "[random]")
{
    play_seeds({.draining_targets = true, .capacities = true, .cancellations = true}, 4);
}
