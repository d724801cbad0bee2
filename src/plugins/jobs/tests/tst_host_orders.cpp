#include "fake_transaction_store.h"
#include "jobs/host_manager.h"
#include "jobs/job_keys.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

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
                       [](const auto& entry) { return entry.second.cordoned; }));
    loop.run_for(10s, play);
    CHECK(refused > before);
}
