#include "fleet_simulation.h"
#include "jobs/job_codec.h"
#include "jobs/job_keys.h"
#include "jobs/peer_jobs.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

maintenance_wave wave_of_all()
{
    maintenance_wave wave;
    wave.name = "1";
    wave.number = 1;
    wave.time_limit = 30s;
    wave.max_down = 2;
    for (int i = 0; i < 6; ++i)
        wave.hosts.push_back("h" + std::to_string(i));
    return wave;
}

} // namespace

TEST_CASE("jobs complete when the leader is killed between their steps")
{
    fleet_simulation f{1};
    // The tasks of a step take the same time, so that none of them is considered stalled.
    f.fleet.run_time = [](const task_key& key) { return duration{key.position.step == 0 ? 1300ms : 700ms}; };
    f.run_for(1s);
    for (int i = 0; i < 8; ++i)
        f.submit("j" + std::to_string(i), 4);
    f.run_for(1s);
    REQUIRE(f.accepted.size() == 8);
    entry_host* first = f.leader();
    REQUIRE(first != nullptr);
    first->kill();
    f.run_for(15s);
    for (const std::string& id : f.accepted)
        CHECK(f.completed(id));
    CHECK(f.fleet.violations.empty());
    // Each task ran once, since a change of leader ends no runs.
    CHECK(f.fleet.starts == std::size_t{8} * 5);
}

TEST_CASE("a leader tells other hosts a job's owner beside the state that earlier versions read")
{
    fleet_simulation f{2};
    f.run_for(1s);
    f.submit("j", 2);
    f.run_for(500ms);
    REQUIRE(f.leader() != nullptr);
    http_request request;
    request.path = "/jobs/j";
    http_response answer = answer_peer(request, f.leader()->node->leader());
    CHECK(answer.body == "running");
    const std::optional<job_status> status = read_job_status(answer);
    REQUIRE(status);
    CHECK(status->state == job_state::running);
    REQUIRE(status->owner);
    CHECK(status->owner->queue == queue_id{"q"});
    answer.headers.clear();
    CHECK_FALSE(read_job_status(answer)->owner);
    CHECK(decode_owner(encode_owner({queue_id{"q"}, team_id{"a\r\n\u00e4"}}))->team ==
          team_id{"a\r\n\u00e4"});
    CHECK(encode_owner({queue_id{"q"}, team_id{"a\r\n\u00e4"}}) == R"({"queue":"q","team":"a\r\n\u00e4"})");
}

// Guards against a leader that goes on with what an exception has left inconsistent, or that never leads
// again.
TEST_CASE("a host that recovers from a failed decision ends its term, and jobs complete under the next one")
{
    fleet_simulation f{4};
    f.run_for(1s);
    for (int i = 0; i < 4; ++i)
        f.submit("j" + std::to_string(i), 4);
    f.run_for(300ms);
    entry_host* first = f.leader();
    REQUIRE(first != nullptr);
    first->node->recover("a decision has failed");
    first->node->tick();
    CHECK(first->node->leader() == nullptr);
    f.run_for(15s);
    CHECK(f.leader() != nullptr);
    for (const std::string& id : f.accepted)
        CHECK(f.completed(id));
    CHECK(f.fleet.violations.empty());
    // Also a host that doesn't lead, and one that is about to, remains a candidate.
    for (int i = 0; i < 3; ++i) {
        entry_host* leader = f.leader();
        REQUIRE(leader != nullptr);
        leader->node->recover("a decision has failed");
        f.run_for(200ms);
        leader->node->recover("a decision has failed");
        f.run_for(6s);
    }
    REQUIRE(f.leader() != nullptr);
    f.submit("last", 2);
    f.run_for(10s);
    CHECK(f.completed("last"));
    CHECK(f.fleet.violations.empty());
}

// Guards against a job that was reported as completed and is unknown as such to the next leader. A leader
// that had lost the store reported the completion from memory, and then the targets crashed, so that the last
// tasks ran twice (rule TWICE).
TEST_CASE("a job is reported as completed only when the store has its end")
{
    fleet_simulation f{3};
    f.fleet.run_time = [](const task_key&) { return duration{600ms}; };
    f.run_for(1s);
    f.submit("j", 2);
    f.run_for(900ms);
    REQUIRE(f.accepted.size() == 1);
    entry_host* first = f.leader();
    REQUIRE(first != nullptr);
    first->link.reachable = false; // The last step is running and ends before another host can lead.
    f.run_for(800ms);
    for (const host_info& h : f.fleet.hosts())
        f.fleet.crash(h.id);
    f.run_for(1s);
    for (const host_info& h : f.fleet.hosts())
        f.fleet.restart(h.id);
    f.run_for(15s);
    CHECK(f.completed("j"));
    CHECK(f.fleet.violations.empty());
}

// Guards against a wave that stops with the term of its leader, which once left 12 of 21 hosts without
// maintenance.
TEST_CASE("a wave continues under the next leader and maintains each host once")
{
    fleet_simulation f{2};
    f.run_for(1s);
    f.submit("serving", 3, true);
    f.run_for(4s);
    f.start_wave(wave_of_all());
    f.run_for(2s);
    entry_host* first = f.leader();
    REQUIRE(first != nullptr);
    first->kill();
    f.run_for(28s);
    CHECK(f.fleet.maintained.size() == 6);
    REQUIRE(f.leader() != nullptr);
    CHECK(f.leader()->operations().reported["1"]);
    CHECK(f.fleet.running(job_id{"serving"}) == 3);
    CHECK(f.fleet.violations.empty());
}

// Guards against records that are lost to the next leader because the store lists them in several pages.
TEST_CASE("a new leader reads the records of all waves, however many pages the store lists them in")
{
    fleet_simulation f{11};
    wave_record done;
    for (const host_info& h : f.fleet.hosts())
        done.done.insert(h.id);
    for (const char* name : {"1", "2", "3", "4", "5", "6", "7"})
        f.store.put(std::string{job_keys::waves} + name, encode_wave_record(done));
    maintenance_wave last = wave_of_all();
    last.name = "7";
    f.start_wave(last);
    f.run_for(5s);
    REQUIRE(f.leader() != nullptr);
    CHECK(f.leader()->operations().reported["7"]);
    CHECK(f.fleet.maintained.empty());
}

// Guards against a wave that is reported as completed though an order without an answer had no effect, since
// a crash has given the host a new target.
TEST_CASE("an unanswered order for maintenance is sent again though its host has a new target")
{
    fleet_simulation f{5};
    f.run_for(3s);
    entry_host* leader = f.leader();
    REQUIRE(leader != nullptr);
    f.start_wave(wave_of_all());
    leader->operations().calls_lost = true;
    f.run_for(2s);
    for (const host_info& h : f.fleet.hosts())
        f.fleet.crash_for(h.id, restart_kind::new_address, 500ms);
    f.run_for(2s);
    leader->operations().calls_lost = false;
    f.run_for(22s);
    CHECK(f.fleet.maintained.size() == 6);
    CHECK(leader->operations().reported["1"]);
    CHECK(f.fleet.violations.empty());
}

// Guards against targets that take no work any more because their hosts' maintenance is confirmed for a
// second time.
TEST_CASE("a host takes work again after an order that only confirms earlier maintenance")
{
    fleet_simulation f{6};
    f.run_for(3s);
    entry_host* leader = f.leader();
    REQUIRE(leader != nullptr);
    f.start_wave(wave_of_all());
    leader->operations().answers_lost = true;
    f.run_for(4s);
    leader->operations().answers_lost = false;
    f.run_for(20s);
    CHECK(f.fleet.maintained.size() == 6);
    CHECK(leader->operations().reported["1"]);
    f.submit("serving", 30, true); // as many tasks as fit on all hosts
    f.run_for(3s);
    CHECK(f.fleet.running(job_id{"serving"}) == 30);
    CHECK(f.fleet.violations.empty());
}

// Guards against orders to hosts whose targets the new leader does not know yet, which end more tasks than
// may be unavailable.
TEST_CASE("a new leader takes no host down before the entries of targets that have lapsed are back")
{
    fleet_simulation f{7};
    f.run_for(1s);
    f.submit("serving", 3, true);
    f.run_for(4s);
    REQUIRE(f.fleet.running(job_id{"serving"}) == 3);
    f.set_registrations_lapsed(true);
    f.leader()->kill();
    f.start_wave(wave_of_all());
    std::size_t fewest = 3;
    const auto run_for = [&](duration d) {
        for (timestamp end = f.loop.time().now() + d; f.loop.time().now() < end;) {
            f.run_for(50ms);
            fewest = std::min(fewest, f.fleet.running(job_id{"serving"}));
        }
    };
    for (int i = 0; i < 100 && f.leader() == nullptr; ++i)
        run_for(50ms);
    run_for(2s);
    CHECK(fewest == 3);
    f.set_registrations_lapsed(false);
    run_for(26s);
    CHECK(fewest >= 2);
    CHECK(f.fleet.maintained.size() == 6);
    CHECK(f.fleet.violations.empty());
}

// Guards against a host that is never maintained, since its target can't register itself.
TEST_CASE("a host whose target does not register itself again is maintained")
{
    fleet_simulation f{8};
    f.run_for(1s);
    f.submit("serving", 3, true);
    f.run_for(4s);
    f.set_registrations_lapsed(true);
    f.leader()->kill();
    f.start_wave(wave_of_all());
    f.run_for(28s);
    CHECK(f.fleet.maintained.size() == 6);
    CHECK(f.fleet.violations.empty());
}

// Guards against an order that is checked against the former target of its host.
TEST_CASE("a host is not taken down because its former target, whose entry remains, has no tasks")
{
    fleet_simulation f{9};
    f.run_for(1s);
    for (const char* host : {"h0", "h1", "h2", "h5"}) {
        f.fleet.entry_lifetime = host == std::string{"h5"} ? 16s : 0s;
        f.fleet.crash(host);
        f.fleet.restart(host);
    }
    f.submit("serving", 27, true);
    f.run_for(10s); // Tasks that were placed on the former target are started again.
    REQUIRE(f.fleet.running_on("h5").size() >= 2);
    maintenance_wave wave = wave_of_all();
    wave.hosts = {"h5"};
    f.start_wave(wave);
    std::size_t fewest = 27;
    for (int i = 0; i < 300; ++i) {
        f.run_for(50ms);
        fewest = std::min(fewest, f.fleet.running(job_id{"serving"}));
    }
    CHECK(fewest >= 26);
    CHECK(f.fleet.maintained.empty()); // Other hosts have no room for the tasks.
    CHECK(f.fleet.violations.empty());
}

// Guards against a new leader that provides no hosts for a burst until the handover has ended, and against
// one that sends orders to hosts to which the previous leader has just sent orders.
TEST_CASE("a new leader sends orders at once to hosts without an order of the previous leader, and to the "
          "others later")
{
    fleet_simulation f{4, 8};
    f.run_for(1s);
    entry_host* first = f.leader();
    REQUIRE(first != nullptr);
    first->kill();
    for (int i = 0; i < 100 && f.leader() == nullptr; ++i)
        f.run_for(50ms);
    REQUIRE(f.leader() != nullptr);
    f.submit("wide", 50);
    f.run_for(1500ms);
    CHECK(f.fleet.moves > 0);

    f.submit("wider", 60);
    f.run_for(300ms);
    f.leader()->kill();
    f.run_for(20s);
    CHECK(f.completed("wide"));
    CHECK(f.completed("wider"));
    for (const std::string& violation : f.fleet.violations)
        UNSCOPED_INFO(violation);
    CHECK(f.fleet.violations.empty());
}

// Injects random faults in virtual time: entry hosts that are killed or lose the store, a store that loses
// the answers of transactions, executes them late or drops its history, and targets that crash, become
// unreachable, lose answers or carry out orders late. The environment variables MJM_FIRST_SEED and MJM_SEEDS
// set the first seed and the number of seeds.
TEST_CASE("under random faults no task runs twice and all accepted jobs complete", "[random]")
{
    const std::uint64_t first_seed = environment_number("MJM_FIRST_SEED", 1);
    const std::uint64_t seeds = environment_number("MJM_SEEDS", 25);
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        CAPTURE(seed);
        fleet_simulation f{seed, 3};
        for (const std::unique_ptr<entry_host>& h : f.hosts)
            h->link.most_changes = 4;
        f.fleet.late_orders = 0.02;
        f.fleet.lost_answers = 0.03;
        f.run_for(1s);
        int next = 0;
        for (int round = 0; round < 40; ++round) {
            f.submit("j" + std::to_string(next++), 1 + static_cast<std::uint32_t>(f.random.below(6)));
            entry_host& entry = *f.hosts[f.random.below(f.hosts.size())];
            const std::string host = "h" + std::to_string(f.random.below(6));
            switch (f.random.below(12)) {
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
                f.fleet.crash(host);
                break;
            case 5:
                f.fleet.set_cut(host, true);
                break;
            case 6:
                f.store.forget_history();
                break;
            default:
                break;
            }
            f.run_for(500ms);
            for (const std::unique_ptr<entry_host>& h : f.hosts) {
                if (!h->node && f.random.chance(0.5))
                    h->start(f.config, f.waves);
                if (f.random.chance(0.3))
                    h->link.reachable = true;
            }
            if (f.random.chance(0.3))
                f.fleet.set_cut(host, false);
            if (f.random.chance(0.5)) {
                for (const host_info& h : f.fleet.hosts()) {
                    if (h.state != host_state::up)
                        f.fleet.restart(h.id);
                }
            }
        }
        f.fleet.late_orders = 0.0;
        f.fleet.lost_answers = 0.0;
        for (const std::unique_ptr<entry_host>& h : f.hosts) {
            h->link.reachable = true;
            if (!h->node)
                h->start(f.config, f.waves);
        }
        for (const host_info& h : f.fleet.hosts()) {
            f.fleet.set_cut(h.id, false);
            if (h.state != host_state::up)
                f.fleet.restart(h.id);
        }
        f.run_for(60s);
        for (const std::string& violation : f.fleet.violations)
            UNSCOPED_INFO(violation);
        CHECK(f.fleet.violations.empty());
        for (const std::string& id : f.accepted) {
            CAPTURE(id);
            CHECK(f.completed(id));
        }
    }
}

TEST_CASE("a leader whose view of the targets is old starts no run")
{
    // Guards against a start on a target whose leaving the leader has not heard of.
    fleet_simulation sim{31};
    sim.run_for(3s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    sim.submit("first", 2);
    sim.run_for(1s);
    CHECK(sim.fleet.starts > 0);

    leader->directory().frozen = true;
    sim.run_for(2s);
    const std::size_t before = sim.fleet.starts;
    sim.submit("second", 4);
    sim.run_for(3s);
    CHECK(sim.leader() == leader);
    CHECK(sim.fleet.starts == before);

    leader->directory().frozen = false;
    sim.run_for(6s);
    CHECK(sim.completed("second"));
    CHECK(sim.fleet.violations.empty());
}

TEST_CASE("a leader whose view of the targets is old takes no host with tasks down for maintenance")
{
    fleet_simulation sim{33};
    sim.run_for(1s);
    sim.submit("serving", 3, true);
    sim.run_for(4s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    leader->directory().frozen = true;
    sim.run_for(2s);
    sim.waves["1"] = wave_of_all();
    for (const std::unique_ptr<entry_host>& h : sim.hosts)
        h->node->set_waves(sim.waves);
    sim.run_for(6s);
    CHECK(sim.leader() == leader);
    CHECK(sim.fleet.running(job_id{"serving"}) == 3);
    const std::size_t before = sim.fleet.maintained.size();
    CHECK(before < 6);

    leader->directory().frozen = false;
    sim.run_for(26s);
    CHECK(sim.fleet.maintained.size() == 6);
    CHECK(sim.fleet.violations.empty());
}

TEST_CASE("a leader that does not hear of the inbox starts no run and tells no number of waiting jobs")
{
    // Guards against starts of cancelled jobs, and against a number that leaves accepted jobs out.
    fleet_simulation sim{32};
    sim.run_for(3s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    // The second step gets its turn when the view is too old.
    sim.fleet.run_time = [](const task_key&) -> std::optional<duration> { return 4s; };
    sim.submit("steps", 4);
    sim.run_for(200ms);
    REQUIRE(sim.fleet.starts == 4);
    CHECK(leader->node->leader()->waiting_jobs(queue_id{"q"}).has_value());

    leader->link.watches_stuck = true;
    sim.run_for(3s);
    REQUIRE(sim.leader() == leader);
    const std::size_t before = sim.fleet.starts;
    const tl::expected<std::size_t, leader_errc> count = leader->node->leader()->waiting_jobs(queue_id{"q"});
    REQUIRE_FALSE(count.has_value());
    CHECK(count.error() == leader_errc::falls_behind);
    sim.run_for(3s);
    CHECK(sim.fleet.starts == before);

    leader->link.watches_stuck = false;
    sim.run_for(8s);
    CHECK(sim.completed("steps"));
    CHECK(sim.fleet.violations.empty());
}

// Guards against a start on a target that has said that it leaves while the order waited to be sent.
TEST_CASE("a start that waits on its entry host is not sent once its permission has ended")
{
    fleet_simulation sim{34};
    sim.run_for(3s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    leader->orders().send_delay = 2500ms;
    sim.submit("j", 4);
    sim.run_for(200ms);
    for (const host_info& h : sim.fleet.hosts())
        sim.fleet.drain(h.id, 8s, restart_kind::new_address);
    sim.run_for(6s);
    for (const std::string& violation : sim.fleet.violations)
        UNSCOPED_INFO(violation);
    CHECK(sim.fleet.violations.empty());
    CHECK(sim.fleet.starts == 0);

    leader->orders().send_delay = 0ms;
    sim.run_for(20s);
    CHECK(sim.completed("j"));
    CHECK(sim.fleet.violations.empty());
}

// Guards against starts that only a former configuration allows.
TEST_CASE("a leader whose configuration may be out of date starts no run")
{
    fleet_simulation sim{35};
    sim.run_for(3s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    leader->config_frozen_at = sim.loop.time().now();
    sim.run_for(2s);
    sim.submit("j", 4);
    sim.run_for(3s);
    CHECK(sim.leader() == leader);
    CHECK(sim.fleet.starts == 0);
    leader->config_frozen_at.reset();
    sim.run_for(6s);
    CHECK(sim.completed("j"));
}
