#include "config_fixture.h"
#include "configuration/config_progress.h"
#include "configuration/config_replica.h"
#include "configuration/key_freshness.h"

#include <catch2/catch.hpp>

#include <set>

using namespace mjm;
using namespace mjm::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int host_count = 6;
constexpr int zone_count = 3;

/// Limits the head to few entries, so that decisions move to the history many times in a run.
config_commit_settings small_heads()
{
    config_commit_settings settings;
    settings.max_entries = 8;
    return settings;
}

struct member_record {
    std::uint64_t version = 0;
    timestamp written;
};

struct simulated_fleet;

/// The parts of an entry host that deal with the configuration.
struct simulated_host {
    simulated_host(simulated_fleet& f, int index);
    void tick();
    void answer_status(simulated_host& from, timestamp asked, std::uint64_t version);
    void resume();
    void submit(const std::string& name, std::uint64_t base, const std::string& patch);
    void check_keys();

    simulated_fleet& fleet;
    int n;
    host_id id;
    test_store store;
    commit_promise promise;
    config_commit commit;
    config_replica replica;
    key_freshness freshness{key_freshness_settings{}};
    config_progress progress{config_progress_settings{}};
    bool paused = false;
    std::vector<std::function<void()>> deferred_answers;
    timestamp next_status;
    timestamp next_record;
};

struct submission {
    std::vector<change_result> results;
    int outstanding = 0;
};

struct simulated_fleet {
    explicit simulated_fleet(std::uint64_t seed) : random{seed}
    {
        state.on_write = [this](const kv_write& write) {
            if (write.key != config_head_key)
                return;
            const config_head head = decode_head(write.value).value();
            // Each write of the head keeps the version or increments it.
            CHECK((head.version == newest || head.version == newest + 1));
            if (head.version > newest)
                committed_at[head.version] = loop.now();
            newest = head.version;
        };
        for (int i = 0; i < host_count; ++i)
            hosts.push_back(std::make_unique<simulated_host>(*this, i));
    }

    [[nodiscard]] bool connected(const simulated_host& a, const simulated_host& b) const
    {
        return a.n % zone_count == b.n % zone_count ||
               (!isolated_zones.contains(a.n % zone_count) && !isolated_zones.contains(b.n % zone_count));
    }
    void run(duration d)
    {
        for (const timestamp end = loop.now() + d; loop.now() < end;) {
            loop.run_for(milliseconds{50});
            for (const std::unique_ptr<simulated_host>& h : hosts) {
                if (!h->paused)
                    h->tick();
            }
        }
    }

    event_loop loop;
    store_state state;
    seeded_random random;
    std::uint64_t newest = 0;
    std::map<std::uint64_t, timestamp> committed_at; ///< When each version was committed.
    std::map<std::uint64_t, timestamp> in_force;
    std::map<int, member_record> records;
    std::set<int> isolated_zones; ///< Zones that cannot reach other zones.
    std::map<std::string, submission> submissions;
    std::vector<std::unique_ptr<simulated_host>> hosts;
    int keyed_work_in_outage = 0;
    int withdrawn_refused = 0;
};

simulated_host::simulated_host(simulated_fleet& f, int index)
    : fleet{f}, n{index}, id{"h" + std::to_string(index)}, store{f.loop, f.state, f.random},
      commit{store, promise, small_heads()}, replica{store, {}}, next_status{f.loop.now()}, next_record{
                                                                                                f.loop.now()}
{
    store.deliver = [this](std::function<void()> run) {
        if (paused)
            deferred_answers.push_back(std::move(run));
        else
            run();
    };
    std::map<host_id, zone_id> committers;
    for (int i = 0; i < host_count; ++i)
        committers[host_id{"h" + std::to_string(i)}] = zone_id{"z" + std::to_string(i % zone_count)};
    freshness.set_committers(committers, id);
    commit.on_commit([this](std::uint64_t version, const std::string& text, timestamp when) {
        replica.offer(version, text, when);
        progress.committed(version, fleet.loop.now());
    });
    replica.on_install([this, last = std::uint64_t{0}](const std::shared_ptr<const fleet_config>& c) mutable {
        CHECK(c->version > last);
        CHECK(c->version <= fleet.newest);
        last = c->version;
    });
}

void simulated_host::resume()
{
    paused = false;
    for (const std::function<void()>& run : std::exchange(deferred_answers, {}))
        run();
}

void simulated_host::tick()
{
    const timestamp now = fleet.loop.now();
    commit.tick(now);
    replica.tick(now);
    const std::optional<timestamp> last_answer = replica.last_store_contact();
    const bool unreachable = !last_answer || now - *last_answer > milliseconds{1500};
    freshness.set_self_unreachable(unreachable);
    freshness.set_commit_outstanding(promise.outstanding_since());
    freshness.set_version(replica.current() ? replica.current()->version : 0);
    if (replica.last_confirmed())
        freshness.confirmed_at(*replica.last_confirmed());
    if (now >= next_record && store.reachable) {
        next_record = now + seconds{2};
        fleet.records[n] = {replica.current() ? replica.current()->version : 0, now};
        std::map<host_id, std::uint64_t> live;
        for (const auto& [member, record] : fleet.records) {
            if (now - record.written <= seconds{6})
                live[host_id{"h" + std::to_string(member)}] = record.version;
        }
        progress.observe(live, now);
        for (std::uint64_t v = 1; v <= fleet.newest; ++v) {
            if (!fleet.in_force.contains(v) && progress.progress(v, now).in_force_everywhere)
                fleet.in_force[v] = now;
        }
    }
    if (now >= next_status) {
        next_status = now + milliseconds{500};
        for (const std::unique_ptr<simulated_host>& peer : fleet.hosts) {
            if (peer.get() == this || !fleet.connected(*this, *peer))
                continue;
            const duration delay{1000 + static_cast<std::int64_t>(fleet.random.below(400'000))};
            simulated_host* const to = peer.get();
            fleet.loop.after(delay, [this, to, now] {
                if (fleet.connected(*this, *to))
                    to->store.deliver([this, to, now] { to->answer_status(*this, now, 0); });
            });
        }
    }
    check_keys();
}

void simulated_host::answer_status(simulated_host& from, timestamp asked, std::uint64_t)
{
    const timestamp now = fleet.loop.now();
    const std::optional<timestamp> last_answer = replica.last_store_contact();
    const bool unreachable = !last_answer || now - *last_answer > milliseconds{1500};
    const std::shared_ptr<const fleet_config> held = replica.current();
    const std::uint64_t version = held ? held->version : 0;
    const bool promised = unreachable && promise.give(now).has_value();
    const std::optional<timestamp> confirmed = replica.last_confirmed();
    const std::string text = replica.current_text();
    const duration delay{1000 + static_cast<std::int64_t>(fleet.random.below(400'000))};
    fleet.loop.after(delay, [this, &from, asked, now, promised, version, confirmed, text] {
        if (!fleet.connected(*this, from))
            return;
        from.store.deliver([this, &from, asked, now, promised, version, confirmed, text] {
            if (confirmed) {
                from.replica.offer(version, text, asked - (now - *confirmed));
                from.replica.confirm(version, asked - (now - *confirmed));
            }
            if (promised)
                from.freshness.store_unreachable_reported(id, asked, version);
            else
                from.freshness.store_reachable_reported(id);
        });
    });
}

void simulated_host::submit(const std::string& name, std::uint64_t base, const std::string& patch)
{
    submission& s = fleet.submissions[name];
    ++s.outstanding;
    const auto finished = [this, name](const change_result& result) {
        --fleet.submissions[name].outstanding;
        fleet.submissions[name].results.push_back(result);
    };
    commit.propose({name, base, patch, "operator:olga", ""},
                   [this, name, finished](const tl::expected<void, commit_refusal>& proposed) {
                       if (proposed && fleet.random.chance(0.2))
                           commit.reject(name, "ann-key", "", december, finished);
                       else if (proposed)
                           commit.accept(name, "ann-key", std::nullopt, december, finished);
                       else
                           finished({verdict::not_applied, 0, proposed.error()});
                   });
}

/// Checks that keyed work is not accepted under an outdated version for too long. Version v + 1 withdraws the
/// key of version v.
void simulated_host::check_keys()
{
    const timestamp now = fleet.loop.now();
    const std::shared_ptr<const fleet_config> held = replica.current();
    if (!held)
        return;
    const key_policy policy = freshness.policy(now);
    if (policy == key_policy::refusing) {
        if (held->version < fleet.newest)
            ++fleet.withdrawn_refused;
        return;
    }
    if (policy == key_policy::outage_confirmed)
        ++fleet.keyed_work_in_outage;
    if (held->version == fleet.newest)
        return;
    const timestamp withdrawn_at = fleet.committed_at.at(held->version + 1);
    INFO("host " << id << " version " << held->version << " newest " << fleet.newest << " policy "
                 << name_of(policy));
    CHECK(now - withdrawn_at <= seconds{7});
    const auto in_force_since = fleet.in_force.find(held->version + 1);
    CHECK((in_force_since == fleet.in_force.end() || in_force_since->second > now));
}

void check_history(simulated_fleet& f)
{
    std::optional<std::vector<config_decision>> history;
    f.hosts[0]->commit.history(10'000, [&](const auto& found) { history = found.value(); });
    f.run(seconds{2});
    REQUIRE(history);
    std::map<std::string, std::uint64_t> applied;
    std::set<std::string> rejected;
    std::uint64_t version = 0;
    for (auto it = history->rbegin(); it != history->rend(); ++it) {
        if (it->kind == decision::rejected) {
            CHECK(it->version == version);
            CHECK(rejected.insert(it->proposal).second);
            continue;
        }
        CHECK(it->version == ++version);
        CHECK(applied.emplace(it->proposal, it->version).second); // Each proposal is applied at most once.
    }
    CHECK(version == f.newest);
    for (const auto& [name, s] : f.submissions) {
        INFO(name);
        CHECK(s.outstanding == 0);
        bool accepted = false;
        CHECK_FALSE((applied.contains(name) && rejected.contains(name)));
        for (const change_result& result : s.results) {
            accepted = accepted || result.outcome == verdict::accepted;
            if (result.outcome == verdict::accepted)
                CHECK((applied.contains(name) && applied.at(name) == result.version));
            if (result.outcome == verdict::rejected)
                CHECK(rejected.contains(name));
        }
        CHECK(accepted == applied.contains(name));
    }
}

} // namespace

TEST_CASE("random outages, isolated zones, pauses and lost answers violate no guarantee of the configuration")
{
    const std::uint64_t seed = GENERATE(range(1, 41));
    CAPTURE(seed);
    simulated_fleet f{seed};
    std::optional<change_result> first;
    f.hosts[0]->commit.bootstrap("first", first_document().dump(), december,
                                 [&](const change_result& r) { first = r; });
    f.run(seconds{3});
    REQUIRE(first.value().version == 1);
    for (const std::unique_ptr<simulated_host>& h : f.hosts)
        h->store.fault_rate = 0.1;
    for (int step = 0; step < 400; ++step) {
        const std::unique_ptr<simulated_host>& h = f.hosts[f.random.below(host_count)];
        switch (f.random.below(10)) {
        case 0:
            for (const std::unique_ptr<simulated_host>& each : f.hosts)
                each->store.reachable = false;
            break;
        case 1: // The outage ends for a random part of the hosts.
            for (const std::unique_ptr<simulated_host>& each : f.hosts)
                each->store.reachable = f.random.chance(0.6);
            break;
        case 2:
            f.isolated_zones.insert(static_cast<int>(f.random.below(zone_count)));
            break;
        case 3:
            f.isolated_zones.clear();
            break;
        case 4:
            h->paused = true;
            break;
        case 5:
            for (const std::unique_ptr<simulated_host>& each : f.hosts)
                each->resume();
            break;
        default: {
            const std::uint64_t base = f.newest;
            const std::string name = "p" + std::to_string(step);
            const std::string patch = replace("/teams/red/keys/k", key(name));
            h->submit(name, base, patch);
            if (f.random.chance(0.4))
                f.hosts[f.random.below(host_count)]->submit(name, base, patch);
            break;
        }
        }
        f.run(milliseconds{static_cast<std::int64_t>(200 + f.random.below(2500))});
    }
    f.isolated_zones.clear();
    for (const std::unique_ptr<simulated_host>& h : f.hosts) {
        h->resume();
        h->store.reachable = true;
        h->store.fault_rate = 0;
    }
    f.run(seconds{30});
    check_history(f);
    for (const std::unique_ptr<simulated_host>& h : f.hosts) {
        REQUIRE(h->replica.current());
        CHECK(h->replica.current()->version == f.newest);
        CHECK(h->freshness.policy(f.loop.now()) == key_policy::fresh);
    }
    // The run must have covered the states under test.
    CHECK(f.newest > 10);
    CHECK(f.in_force.contains(f.newest));
    CHECK(f.keyed_work_in_outage > 0);
    CHECK(f.withdrawn_refused > 0);
}
