#include "fake_transaction_store.h"
#include "jobs/job_keys.h"
#include "jobs/leadership.h"
#include "jobs/prefix_watch.h"
#include "jobs/progress_journal.h"
#include "scheduler_fixture.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

struct journal_fixture {
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    std::vector<std::uint64_t> stored;
    std::string superseded;
    fencing_token token = 0;
    std::unique_ptr<progress_journal> journal;

    journal_fixture()
    {
        store.put(std::string{job_keys::leader}, "me");
        token = store.find(std::string{job_keys::leader})->revision;
        journal = std::make_unique<progress_journal>(
            link, loop.time(), token,
            progress_journal::handler{[this](const journal_batch& batch) {
                                          for (const progress_write& w : batch.progress)
                                              stored.push_back(w.change);
                                      },
                                      [this](const std::string& why) { superseded = why; },
                                      [](const tl::expected<void, store_errc>&) {}});
        journal->open([](const tl::expected<void, store_errc>&) {});
        loop.run_for(50ms);
    }
    void write(std::uint64_t change)
    {
        REQUIRE(journal->idle());
        journal->write({{{job_id{"j"}, change, "change " + std::to_string(change)}}, {}, {}});
    }
    [[nodiscard]] std::string value()
    {
        const fake_transaction_store::record* r = store.find("mjm/progress/j");
        return r == nullptr ? std::string{} : r->value;
    }
};

struct candidate {
    fake_store_link link;
    seeded_random random;
    std::vector<leadership_event> events;
    leadership election;

    candidate(virtual_loop& loop, fake_transaction_store& store, const std::string& name, std::uint64_t seed,
              duration handicap = duration{0})
        : link{loop, store}, random{seed}, election{link, loop.time(), random, settings(name, handicap),
                                                    [this](leadership_event event, const std::string&) {
                                                        events.push_back(event);
                                                    }}
    {
    }
    static leadership_settings settings(const std::string& name, duration handicap)
    {
        leadership_settings s;
        s.self = name;
        s.handicap = handicap;
        return s;
    }
};

} // namespace

TEST_CASE("a transaction whose answer is lost is reported as stored once the journal shows it")
{
    journal_fixture f;
    f.link.lost_commits = 1;
    f.write(1);
    f.loop.run_for(2s);
    CHECK(f.stored.empty());
    f.write(2);
    f.loop.run_for(2s);
    CHECK(f.stored == std::vector<std::uint64_t>{1});
    f.write(2);
    f.loop.run_for(2s);
    CHECK(f.stored == std::vector<std::uint64_t>{1, 2});
    CHECK(f.value() == "change 2");
    CHECK(f.superseded.empty());
}

// Guards against older progress that overwrites newer progress when the store executes a transaction late.
TEST_CASE("a transaction that is executed late does not overwrite newer progress")
{
    journal_fixture f;
    f.link.late_commits = 1;
    f.write(1);
    f.loop.run_for(1s);
    f.write(2);
    f.loop.run_for(10s);
    CHECK(f.value() == "change 2");
    CHECK(f.stored == std::vector<std::uint64_t>{2});
    CHECK(f.superseded.empty());
}

TEST_CASE("a former leader can't write progress")
{
    journal_fixture f;
    f.store.put(std::string{job_keys::leader}, "another");
    f.write(1);
    f.loop.run_for(1s);
    CHECK(f.stored.empty());
    CHECK_FALSE(f.superseded.empty());
    CHECK(f.value().empty());
}

TEST_CASE("a watch reports a snapshot of several pages and each later change once")
{
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    for (const char* key : {"p/a", "p/b", "p/c", "p/d", "q/x"})
        store.put(key, "1");
    std::vector<std::string> seen;
    std::size_t snapshots = 0;
    prefix_watch::handler h;
    h.on_snapshot = [&](const std::vector<kv_entry>& entries) {
        ++snapshots;
        seen.clear();
        for (const kv_entry& e : entries)
            seen.push_back(e.key);
    };
    h.on_change = [&](const store_change& c) { seen.push_back((c.removed ? "-" : "+") + c.entry.key); };
    prefix_watch watch{link, loop.time(), {"p/"}, h};
    const auto tick = [&] { watch.tick(); };
    loop.run_for(100ms, tick);
    CHECK(seen == std::vector<std::string>{"p/a", "p/b", "p/c", "p/d"});
    store.put("p/e", "1");
    store.remove("p/a");
    loop.run_for(100ms, tick);
    CHECK(seen == std::vector<std::string>{"p/a", "p/b", "p/c", "p/d", "+p/e", "-p/a"});

    link.reachable = false;
    loop.run_for(3s, tick);
    store.put("p/f", "1");
    store.forget_history();
    store.put("p/g", "1");
    link.reachable = true;
    loop.run_for(3s, tick);
    CHECK(snapshots == 2);
    CHECK(seen == std::vector<std::string>{"p/b", "p/c", "p/d", "p/e", "p/f", "p/g"});
}

TEST_CASE("late answers to renewals confirm the lease from when the renewals were sent")
{
    virtual_loop loop;
    fake_transaction_store store{loop};
    candidate c{loop, store, "a", 1};
    loop.run_for(1s, [&] { c.election.tick(); });
    REQUIRE(c.election.leading());
    const leadership_settings settings;
    const duration late = 1100ms;
    c.link.answer_delay = late;
    loop.run_for(2s, [&] { c.election.tick(); });
    loop.run_for(10s, [&] {
        c.election.tick();
        const duration left = c.election.lease_until() - loop.time().now();
        REQUIRE(left <= settings.ttl - settings.margin - late);
        REQUIRE(left > duration{0});
    });
    CHECK(c.election.leading());
}

TEST_CASE("one candidate leads at a time, and another takes over when it is cut off or resigns")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        virtual_loop loop;
        fake_transaction_store store{loop};
        candidate a{loop, store, "a", seed};
        candidate b{loop, store, "b", seed + 100};
        candidate c{loop, store, "c", seed + 200};
        std::vector<candidate*> all{&a, &b, &c};
        fencing_token highest = 0;
        const auto tick = [&] {
            std::size_t leaders = 0;
            for (candidate* it : all) {
                it->election.tick();
                leaders += loop.time().now() < it->election.lease_until() ? 1 : 0;
            }
            REQUIRE(leaders <= 1);
        };
        const auto leader = [&]() -> candidate* {
            for (candidate* it : all) {
                if (loop.time().now() < it->election.lease_until())
                    return it;
            }
            return nullptr;
        };
        loop.run_for(1s, tick);
        candidate* first = leader();
        REQUIRE(first != nullptr);
        highest = first->election.token();
        for (const candidate* it : all)
            CHECK(it->election.leader() == first->election.leader());

        first->link.reachable = false;
        loop.run_for(4s, tick);
        candidate* second = leader();
        REQUIRE(second != nullptr);
        CHECK(second != first);
        CHECK(second->election.token() > highest);
        highest = second->election.token();
        first->link.reachable = true;
        loop.run_for(4s, tick);
        CHECK_FALSE(first->election.leading());
        CHECK(leader() == second);

        second->election.resign();
        loop.run_for(1s, tick);
        REQUIRE(leader() != nullptr);
        CHECK(leader() != second);
        CHECK(leader()->election.token() > highest);
    }
}

// Guards against a host with little processor time that is elected although hosts with more are available.
TEST_CASE("a candidate without a handicap is elected before one with a handicap")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        virtual_loop loop;
        fake_transaction_store store{loop};
        candidate small{loop, store, "small", seed, 200ms};
        candidate large{loop, store, "large", seed + 100};
        loop.run_for(1s, [&] {
            small.election.tick();
            large.election.tick();
        });
        CHECK(large.election.lease_until() > loop.time().now());
        CHECK_FALSE(small.election.leading());
    }
}

// Guards against runs that are never stored, and so never started, while other jobs change all the time.
TEST_CASE("changes of jobs are stored in turn when there are more than a transaction can hold")
{
    scheduler_fixture f;
    f.add_target("a");
    for (char c = 'a'; c < 'm'; ++c)
        f.add_job(std::string{c}, 1, 500);
    f.scheduler.plan(f.now());
    REQUIRE(f.scheduler.unstored(100).size() == 12);
    std::set<job_id> stored;
    for (int i = 0; i < 3; ++i) {
        const std::vector<progress_write> writes = f.scheduler.unstored(4);
        f.scheduler.on_stored(writes, f.now());
        for (const progress_write& w : writes) {
            stored.insert(w.job);
            f.scheduler.cancel_job(w.job, f.now());
        }
    }
    CHECK(stored.size() == 12);
}
