#include "core/random_source.h"
#include "fake_transaction_store.h"
#include "fleet_simulation.h"
#include "jobs/prefix_watch.h"
#include "jobs/revision_history.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <new>
#include <set>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// A watch of entries that change all the time beside other calls to the store, and a record of when each
/// change was made.
class watched_entries {
public:
    explicit watched_entries(std::uint64_t seed) : random{seed}, link{loop, store}
    {
        prefix_watch::handler h;
        h.on_snapshot = [this](const std::vector<kv_entry>& entries) {
            for (const kv_entry& e : entries)
                reported_[e.key] = e.revision;
        };
        h.on_change = [this](const store_change& change) {
            reported_[change.entry.key] = change.entry.revision;
        };
        watch = std::make_unique<prefix_watch>(link, loop.time(), prefix_watch_settings{"p/", 300ms}, h);
    }

    /// Changes `per_step` of the entries every 20 ms, and checks the view at each step.
    void run_for(duration d, std::size_t per_step)
    {
        loop.run_for(d, [&] {
            if (loop.time().now() >= next_change_) {
                next_change_ = loop.time().now() + 20ms;
                for (std::size_t i = 0; i < per_step; ++i)
                    change("p/" + std::to_string(random.below(540)));
            }
            if (loop.time().now() >= next_other_call_) {
                next_other_call_ = loop.time().now() + 250ms;
                link.list("other/", {}, [](const tl::expected<store_page, store_errc>&) {});
            }
            watch->tick();
            check();
        });
    }
    void change(const std::string& key)
    {
        store.put(key, "value");
        changes_.push_back({loop.time().now(), key, store.revision()});
    }
    [[nodiscard]] duration view_age() const { return loop.time().now() - watch->view_time(); }

    virtual_loop loop;
    seeded_random random;
    fake_transaction_store store{loop};
    fake_store_link link;
    std::unique_ptr<prefix_watch> watch;

private:
    struct made_change {
        timestamp at;
        std::string key;
        store_revision revision = 0;
    };

    void check()
    {
        const timestamp known = watch->view_time();
        for (; checked_ < changes_.size() && changes_[checked_].at < known; ++checked_) {
            const made_change& c = changes_[checked_];
            CAPTURE(c.key, to_ms(known - c.at), to_ms(view_age()));
            const auto reported = reported_.find(c.key);
            REQUIRE(reported != reported_.end());
            REQUIRE(reported->second >= c.revision);
        }
    }

    std::vector<made_change> changes_;
    std::size_t checked_ = 0;
    std::map<std::string, store_revision> reported_;
    timestamp next_change_;
    timestamp next_other_call_;
};

} // namespace

// Guards against orders that rest on a view that lacks changes from before the time that it is told to have.
TEST_CASE("a watch whose answers are cut does not count its view as newer than the changes that it lacks")
{
    watched_entries f{1};
    f.link.most_changes = 500;
    f.run_for(2s, 7);
    CHECK(f.view_age() < 1s);
    f.link.watch_delay = 1600ms; // At 350 changes per second, more than one answer holds.
    f.run_for(20s, 7);
    f.link.watch_delay = 0ms;
    f.run_for(5s, 7);
    CHECK(f.view_age() < 1s);
}

TEST_CASE("random cuts, delays and losses of the history do not make a view count as newer than it is",
          "[random]")
{
    const std::uint64_t first_seed = environment_number("MJM_FIRST_SEED", 1);
    const std::uint64_t seeds = environment_number("MJM_SEEDS", 30);
    for (std::uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        CAPTURE(seed);
        watched_entries f{seed};
        for (int round = 0; round < 20; ++round) {
            f.link.most_changes = 1 + f.random.below(60);
            f.link.answer_delay = std::chrono::milliseconds{f.random.chance(0.5) ? f.random.below(800) : 0};
            f.link.watch_delay =
                std::max<duration>(f.link.answer_delay, std::chrono::milliseconds{f.random.below(1500)});
            f.link.reachable = !f.random.chance(0.1);
            if (f.random.chance(0.2))
                f.store.forget_history();
            if (f.random.chance(0.2))
                f.watch->reload();
            f.run_for(500ms, f.random.below(4));
        }
        f.link.reachable = true;
        f.link.answer_delay = f.link.watch_delay = 0ms;
        f.link.most_changes = 500;
        f.run_for(20s, 1);
        CHECK(f.view_age() < 1s);
    }
}

TEST_CASE("a reload within a listing does not report entries without those of the first pages")
{
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    for (char c = 'a'; c < 'k'; ++c)
        store.put(std::string{"p/"} + c, "1");
    std::vector<std::size_t> sizes;
    prefix_watch::handler h;
    h.on_snapshot = [&](const std::vector<kv_entry>& entries) { sizes.push_back(entries.size()); };
    prefix_watch watch{link, loop.time(), {"p/"}, h};
    watch.tick();
    loop.run_for(6ms); // The second page is on its way.
    watch.reload();
    loop.run_for(100ms, [&] { watch.tick(); });
    CHECK(sizes == std::vector<std::size_t>{10});
}

// Guards against a leader that spends its processor time on answers with a heartbeat or two.
TEST_CASE("a watch with a shortest interval reads frequent changes together")
{
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    link.most_changes = 500;
    std::size_t changes = 0;
    prefix_watch::handler h;
    h.on_snapshot = [](const std::vector<kv_entry>&) {};
    h.on_change = [&](const store_change&) { ++changes; };
    prefix_watch_settings settings{"p/", 300ms};
    settings.min_interval = 100ms;
    prefix_watch watch{link, loop.time(), settings, h};
    int n = 0;
    loop.run_for(2s, [&] {
        store.put("p/" + std::to_string(n++ % 50), "1");
        watch.tick();
    });
    CHECK(link.watches <= 21);
    CHECK(changes > static_cast<std::size_t>(n) - 20);
}

// Guards against a new leader that starts nothing until a call that waits for changes has ended.
TEST_CASE("a refresh tells that a view is recent without waiting for the call in flight")
{
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    store.put("p/a", "1");
    std::vector<std::string> seen;
    prefix_watch::handler h;
    h.on_snapshot = [&](const std::vector<kv_entry>& entries) { seen.push_back(entries.front().value); };
    h.on_change = [&](const store_change& change) { seen.push_back(change.entry.value); };
    prefix_watch watch{link, loop.time(), {"p/", 5s}, h};
    const auto run_for = [&](duration d) { loop.run_for(d, [&] { watch.tick(); }); };
    run_for(2s);
    CHECK(loop.time().now() - watch.view_time() > 1s);
    watch.refresh();
    run_for(100ms);
    CHECK(loop.time().now() - watch.view_time() <= 100ms);
    store.put("p/a", "2");
    run_for(5s); // The answer to the former call has arrived as well.
    CHECK(seen == std::vector<std::string>{"1", "2"});
}

TEST_CASE("a history of revisions tells until when the changes up to a revision are complete")
{
    const timestamp start{1h};
    revision_history history;
    CHECK(history.complete_until(100) == timestamp{});
    history.add(start + 10ms, 100);
    history.add(start + 30ms, 120);
    CHECK(history.complete_until(99) == timestamp{});
    CHECK(history.complete_until(100) == start + 10ms);
    CHECK(history.complete_until(119) == start + 10ms);
    CHECK(history.complete_until(120) == start + 30ms);
    CHECK(history.complete_until(500) == start + 30ms);
    // Answers that overtook each other, and one that does not tell the revision.
    history.add(start + 20ms, 130);
    CHECK(history.complete_until(120) == start + 30ms);
    history.add(start + 40ms, 110);
    CHECK(history.complete_until(110) == start + 40ms);
    CHECK(history.complete_until(109) == start + 10ms);
    history.add(start + 50ms, 0);
    CHECK(history.complete_until(500) == start + 40ms);
}

// Guards against starts on targets that have said that they leave (rule DRAIN).
TEST_CASE("a leader that falls behind the store's changes starts no run on a draining target")
{
    fleet_simulation sim{51, 0, discovery::in_store};
    sim.registrations.other_entries = 300;
    for (const std::unique_ptr<entry_host>& h : sim.hosts)
        h->link.most_changes = 100;
    sim.run_for(5s);
    entry_host* leader = sim.leader();
    REQUIRE(leader != nullptr);
    int jobs = 0;
    const auto run_with_jobs = [&](int rounds) {
        for (int i = 0; i < rounds; ++i) {
            sim.submit("j" + std::to_string(jobs++), 3);
            sim.run_for(250ms);
        }
    };
    run_with_jobs(8);
    CHECK(sim.fleet.starts > 0);
    leader->set_delays({}, 700ms); // At 200 changes per second, more than one answer holds.
    run_with_jobs(24);
    for (const char* host : {"h0", "h3"})
        sim.fleet.drain(host, 15s, restart_kind::new_address);
    run_with_jobs(40);
    for (const std::string& violation : sim.fleet.violations)
        UNSCOPED_INFO(violation);
    CHECK(sim.fleet.violations.empty());

    leader->set_delays({}, {});
    sim.run_for(40s);
    for (const std::string& id : sim.accepted) {
        CAPTURE(id);
        CHECK(sim.completed(id));
    }
    CHECK(sim.fleet.violations.empty());
}

// Guards against a change that is lost because the handler of it, or of one before it, has failed.
TEST_CASE("changes are reported again after a handler has thrown an exception")
{
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    std::set<std::string> reported;
    int failures = 0;
    const auto note = [&](const std::string& key) {
        if (key == "p/bad" && ++failures <= 2)
            throw std::bad_alloc();
        reported.insert(key);
    };
    prefix_watch::handler h;
    h.on_snapshot = [&](const std::vector<kv_entry>& entries) {
        for (const kv_entry& e : entries)
            note(e.key);
    };
    h.on_change = [&](const store_change& change) { note(change.entry.key); };
    prefix_watch watch{link, loop.time(), prefix_watch_settings{"p/", 300ms}, h};
    const auto run_for = [&](duration d) {
        const timestamp until = loop.time().now() + d;
        while (loop.time().now() < until) {
            // As the thread that the watch runs on does.
            try {
                loop.run_for(10ms, [&] { watch.tick(); });
            } catch (const std::bad_alloc&) {
                continue;
            }
        }
    };
    run_for(1s);
    store.put("p/bad", "1");
    store.put("p/next", "1");
    run_for(3s);
    CHECK(failures >= 3);
    CHECK(reported == std::set<std::string>{"p/bad", "p/next"});
    CHECK(loop.time().now() - watch.view_time() < 1s);
}
