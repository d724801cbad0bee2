#include "fake_transaction_store.h"
#include "jobs/host_manager.h"
#include "jobs/job_keys.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// A host service whose answers the test gives.
class answered_host_operations final : public host_operations {
public:
    void list(list_callback done) override { lists.push_back(std::move(done)); }
    void move(const std::string& /*host*/, const service_id& /*pool*/, fencing_token /*token*/,
              timestamp send_until, done_callback done) override
    {
        orders.push_back(std::move(done));
        send_limits.push_back(send_until);
    }
    void maintain(const std::string& /*host*/, std::uint64_t /*wave*/, fencing_token /*token*/,
                  timestamp send_until, done_callback done) override
    {
        orders.push_back(std::move(done));
        send_limits.push_back(send_until);
    }
    void report_wave(const maintenance_wave& /*wave*/, bool /*completed*/, const std::string& /*record*/,
                     fencing_token /*token*/, done_callback done) override
    {
        done({});
    }

    std::deque<list_callback> lists; ///< Calls that wait for their answers.
    std::deque<done_callback> orders;
    std::vector<timestamp> send_limits; ///< Of all orders, when they must not be sent any more.
};

store_revision put_leader_key(fake_transaction_store& store)
{
    store.put(std::string{job_keys::leader}, "");
    return store.find(std::string{job_keys::leader})->revision;
}

/// The manager is about to maintain a host on which a task runs.
class maintained_host {
public:
    /// The store's answers are handled `store_delay` late.
    explicit maintained_host(bool permanent, duration store_delay = 0ms)
    {
        link_.answer_delay = store_delay;
        f.add_target("a");
        const std::vector<start_command> starts =
            f.run_job("j", 1, 2000, [permanent](step_spec& s) { s.permanent = permanent; });
        REQUIRE(starts.size() == 1);
        f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
        f.report(target_id{"a"}, {running(starts[0])});
        std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
        config->services.emplace(service_id{"fit"}, service_config{service_id{"fit"}, true, false});
        manager.set_config(config);
        manager.restore({}, host_order_record{}, 0);
        manager.set_waves({{"1", maintenance_wave{"1", "", 1, {host_}, 20s, 1}}});
        manager.tick();
        answer_list(host_state::up);
    }
    /// Answers the oldest list that waits for its answer.
    void answer_list(host_state state)
    {
        REQUIRE_FALSE(operations.lists.empty());
        operations.lists.front()(std::vector<host_info>{
            {host_, service_id{"fit"}, state, {32'000, 131'072, 0, 0}, target_id{"a"}, {}}});
        operations.lists.pop_front();
    }
    void run_for(duration d)
    {
        loop.run_for(d, [this] { manager.tick(); });
    }
    [[nodiscard]] std::size_t runs() const { return f.scheduler.find_job(job_id{"j"})->active_runs(); }

    scheduler_fixture f;
    virtual_loop loop;
    answered_host_operations operations;

private:
    const std::string host_ = "host-a";
    fake_transaction_store store_{loop};
    fake_store_link link_{loop, store_};
    log_sink sink_{log_settings{}, loop.time(), [](const std::string&) {}};

public:
    host_manager manager{{},
                         {f.scheduler, operations, link_, loop.time(), logger{sink_, "test"}},
                         put_leader_key(store_),
                         [this] { return loop.time().now() + 1s; }};
};

} // namespace

// Guards against hosts of an evacuated zone that are counted as capacity or moved for work, and against moves
// of all of them at once when the zone is given back.
TEST_CASE("hosts of an evacuated zone are neither capacity nor moved, and return one after the other")
{
    scheduler_fixture f;
    virtual_loop loop;
    answered_host_operations operations;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    log_sink sink{log_settings{}, loop.time(), [](const std::string&) {}};
    host_manager manager{{},
                         {f.scheduler, operations, link, loop.time(), logger{sink, "test"}},
                         put_leader_key(store),
                         [&loop] { return loop.time().now() + 1s; }};
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
    const service_id fit{"fit"};
    const service_id off{"off"};
    config->services.emplace(fit, service_config{fit, true, false});
    config->services.emplace(off, service_config{off, true, true});
    manager.set_config(config);
    manager.restore({}, host_order_record{}, 0);
    const zone_id zone{"z"};
    std::vector<host_info> hosts;
    for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        f.add_target(name);
        hosts.push_back({std::string{"host-"} + name,
                         fit,
                         host_state::up,
                         {32'000, 131'072, 0, 0},
                         target_id{name},
                         zone});
    }
    for (const char* name : {"x", "y"})
        hosts.push_back({name, off, host_state::up, {32'000, 131'072, 0, 0}, target_id{}, zone});
    const auto run = [&](duration d) {
        loop.run_for(d, [&] {
            manager.tick();
            while (!operations.lists.empty()) {
                operations.lists.front()(hosts);
                operations.lists.pop_front();
            }
        });
    };
    f.scheduler.set_evacuated_zones({zone}, f.now());
    run(6s);
    CHECK(operations.orders.empty());

    hosts.back().zone = zone_id{"other"};
    run(1s);
    CHECK(operations.orders.size() == 1); // The only host that is any capacity.
    f.scheduler.set_evacuated_zones({}, f.now());
    run(3s);
    const std::size_t first = operations.orders.size();
    CHECK(first < 4);
    run(3s);
    CHECK(operations.orders.size() > first);
}

// Guards against a task that is started elsewhere because a list is older than the target that runs it.
TEST_CASE("a host that is listed as down before it was ordered down loses no run")
{
    maintained_host t{false};
    t.run_for(800ms);
    REQUIRE(t.operations.orders.empty()); // The task that runs there delays the order.
    t.answer_list(host_state::maintained);
    CHECK(t.runs() == 1);
}

TEST_CASE("only a list that was requested after an order shows that the order has taken its host down")
{
    maintained_host t{true, 900ms};
    t.run_for(800ms);
    REQUIRE(t.operations.lists.size() == 1);
    REQUIRE(t.operations.orders.empty());
    t.run_for(400ms);
    REQUIRE(t.operations.orders.size() == 1);
    t.answer_list(host_state::maintained);
    CHECK(t.runs() == 1);
    t.run_for(800ms);
    t.answer_list(host_state::maintained);
    CHECK(t.runs() == 0);
}

// Guards against an order that is sent after another entry host may lead, because it has waited on this one.
TEST_CASE("an order for a host is not to be sent after the lease or the views under which it was decided")
{
    maintained_host t{true};
    t.run_for(10s);
    REQUIRE_FALSE(t.operations.send_limits.empty());
    CHECK(t.operations.send_limits.front() <= t.f.scheduler.views_recent_until());
    CHECK(t.operations.send_limits.front() <= t.loop.time().now() + 1s);
}

// Guards against idle hosts that take no work because moves that the platform refuses are chosen again at
// once.
TEST_CASE("hosts whose moves are refused take work until the moves are chosen again")
{
    scheduler_fixture f;
    virtual_loop loop;
    answered_host_operations operations;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    log_sink sink{log_settings{}, loop.time(), [](const std::string&) {}};
    host_manager manager{{},
                         {f.scheduler, operations, link, loop.time(), logger{sink, "test"}},
                         put_leader_key(store),
                         [&loop] { return loop.time().now() + 1s; }};
    std::vector<host_info> hosts;
    for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
        const target_id target = f.add_target(name);
        hosts.push_back(
            {f.info_of(name).host, service_id{"fit"}, host_state::up, {32'000, 131'072, 0, 0}, target, {}});
    }
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
    config->services.emplace(service_id{"fit"}, service_config{service_id{"fit"}, true, false});
    config->services.emplace(service_id{"off"}, service_config{service_id{"off"}, true, true});
    manager.set_config(config);
    manager.restore({}, host_order_record{}, 0);
    std::size_t refused = 0;
    const auto play = [&] {
        manager.tick();
        for (; !operations.lists.empty(); operations.lists.pop_front())
            operations.lists.front()(hosts);
        for (; !operations.orders.empty(); operations.orders.pop_front(), ++refused)
            operations.orders.front()(tl::unexpected{host_errc::no_such_host});
    };
    loop.run_for(6s, play);
    REQUIRE(refused > 0);
    const std::size_t before = refused;
    loop.run_for(5s, play);
    CHECK(refused == before);
    CHECK(std::none_of(f.scheduler.targets().begin(), f.scheduler.targets().end(),
                       [](const auto& entry) { return entry.second.cordon != host_cordon::none; }));
    loop.run_for(10s, play);
    CHECK(refused > before);
}

namespace {

/// Hosts a, b and so on with a target each, of which some are due for maintenance. All that is started runs,
/// and all targets report it.
class hosts_in_wave {
public:
    explicit hosts_in_wave(std::string names) : names_{std::move(names)}
    {
        for (const char name : names_)
            f.add_target(std::string{name});
        std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
        config->services.emplace(service_id{"fit"}, service_config{service_id{"fit"}, true, false});
        manager.set_config(config);
        manager.restore({}, host_order_record{}, 0);
    }
    void add_lasting_job(const std::string& name, std::uint32_t tasks, std::uint32_t max_per_target)
    {
        f.add_job(name, tasks, 2000, [max_per_target](step_spec& s) {
            s.permanent = true;
            s.max_per_target = max_per_target;
            s.max_unavailable = 1;
        });
    }
    void begin_wave(const std::vector<std::string>& due)
    {
        manager.set_waves({{"1", {"1", "", 1, due, 60s, static_cast<std::uint32_t>(due.size())}}});
    }
    /// The target and all that runs on it are gone.
    void lose(const std::string& name)
    {
        f.scheduler.on_host_taken_down(target_id{name}, f.now());
        std::erase_if(running_, [&name](const auto& s) { return s.target.id.str() == name; });
        names_.erase(names_.find(name), 1);
    }
    void run_for(duration d)
    {
        loop.run_for(
            d,
            [this] {
                f.advance(20ms);
                manager.tick();
                play();
                for (; !operations.lists.empty(); operations.lists.pop_front())
                    operations.lists.front()(listed());
                for (; !operations.orders.empty(); operations.orders.pop_front(), ++orders)
                    operations.orders.front()(answer);
            },
            20ms);
    }
    [[nodiscard]] std::size_t runs_of(const std::string& job, const std::string& target = {}) const
    {
        return static_cast<std::size_t>(std::count_if(running_.begin(), running_.end(), [&](const auto& s) {
            return s.order.task.job.str() == job && (target.empty() || s.target.id.str() == target);
        }));
    }

    scheduler_fixture f;
    virtual_loop loop;
    answered_host_operations operations;
    tl::expected<void, host_errc> answer; ///< To orders.
    std::size_t orders = 0;
    std::size_t stops = 0;

private:
    [[nodiscard]] std::vector<host_info> listed() const
    {
        std::vector<host_info> out;
        for (const char name : names_)
            out.push_back({std::string{"host-"} + name,
                           service_id{"fit"},
                           host_state::up,
                           {32'000, 131'072, 0, 0},
                           target_id{std::string{name}},
                           {}});
        return out;
    }
    void play()
    {
        for (const start_command& s : f.plan_and_store()) {
            f.confirm(s);
            running_.push_back(s);
        }
        std::map<target_id, std::vector<listed_end>> ends;
        for (const stop_command& stop : f.take_stops()) {
            const auto it = std::find_if(running_.begin(), running_.end(), [&stop](const start_command& s) {
                return s.order.task == stop.task && s.order.run == stop.run;
            });
            if (it == running_.end())
                continue;
            ends[it->target.id].push_back(ended(*it, ++stops, run_end::stopped));
            running_.erase(it);
        }
        for (const char name : names_) {
            const target_id id{std::string{name}};
            std::vector<listed_run> runs;
            for (const start_command& s : running_) {
                if (s.target.id == id)
                    runs.push_back(running(s));
            }
            f.report(id, runs, ends[id]);
        }
    }

    std::string names_;
    std::vector<start_command> running_;
    fake_transaction_store store_{loop};
    fake_store_link link_{loop, store_};
    log_sink sink_{log_settings{}, loop.time(), [](const std::string&) {}};

public:
    host_manager manager{{},
                         {f.scheduler, operations, link_, loop.time(), logger{sink_, "test"}},
                         put_leader_key(store_),
                         [this] { return loop.time().now() + 1s; }};
};

} // namespace

// Guards against a host whose maintenance waits for a task that could run on this host alone, and that is
// kept from it for the maintenance: neither ever went on.
TEST_CASE("a host takes work while its maintenance waits for tasks that have no place elsewhere")
{
    hosts_in_wave t{"ab"};
    t.add_lasting_job("wide", 2, 1);
    t.add_lasting_job("narrow", 1, 1);
    t.run_for(100ms);
    REQUIRE(t.runs_of("wide") == 2);
    const std::string lost = t.runs_of("narrow", "a") == 1 ? "a" : "b";
    const std::string left = lost == "a" ? "b" : "a";
    t.lose(lost);
    t.begin_wave({"host-" + left});
    t.loop.run_for(200ms, [&t] { t.manager.tick(); }); // Chooses hosts before the loss is handled.
    t.run_for(1s);
    CHECK(t.runs_of("narrow", left) == 1);
    t.f.add_job("short", 1);
    t.run_for(1s);
    CHECK(t.runs_of("short", left) == 1);
    CHECK(t.orders == 0);
    CHECK(t.runs_of("wide") == 1);
}

// Guards against a task with no other place that waits until the work on a host has ended and its maintenance
// is over.
TEST_CASE("a permanent task without another place is started on a host that is to be maintained")
{
    hosts_in_wave t{"a"};
    t.f.add_job("short", 1);
    t.run_for(100ms);
    REQUIRE(t.runs_of("short") == 1);
    t.begin_wave({"host-a"});
    t.run_for(1s);
    t.f.add_job("late", 1);
    t.add_lasting_job("lasting", 1, 1);
    t.run_for(1s);
    CHECK(t.orders == 0); // Waits for the task that ends by itself.
    CHECK(t.runs_of("lasting") == 1);
    CHECK(t.runs_of("late") == 0);
}

// Guards against tasks that are stopped to make way for maintenance and come back to the same host.
TEST_CASE("a task is moved off a host for maintenance only if another host takes it")
{
    hosts_in_wave t{"a"};
    t.add_lasting_job("pair", 2, 0);
    t.run_for(100ms);
    REQUIRE(t.runs_of("pair", "a") == 2);
    t.begin_wave({"host-a"});
    t.run_for(10s);
    CHECK(t.stops == 0);
    CHECK(t.orders == 0);
    CHECK(t.f.scheduler.targets().at(target_id{"a"}).cordon == host_cordon::none);
}

// Guards against a host that takes no work for as long as the platform refuses its maintenance.
TEST_CASE("a host whose maintenance is refused takes work until it is chosen again")
{
    hosts_in_wave t{"a"};
    t.answer = tl::unexpected{host_errc::overloaded};
    t.begin_wave({"host-a"});
    t.run_for(1s);
    t.f.add_job("short", 1);
    t.run_for(4s);
    CHECK(t.runs_of("short") == 1);
    const std::size_t refused = t.orders;
    t.answer = {};
    t.run_for(20s);
    CHECK(t.orders > refused);
}

// Guards against a start that was planned before an order for its host and is sent after it.
TEST_CASE("a planned run is not started once an order for its host has been sent")
{
    scheduler_fixture f;
    const target_id a = f.add_target("a");
    f.add_job("j", 1);
    f.scheduler.plan(f.now());
    f.scheduler.set_leaving(a, true);
    f.scheduler.on_stored(f.scheduler.unstored(10), f.now());
    CHECK(f.take_starts().empty());
    f.scheduler.set_leaving(a, false);
    CHECK(f.plan_and_store().size() == 1);
}
