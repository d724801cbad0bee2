#include "fake_transaction_store.h"
#include "jobs/job_codec.h"
#include "jobs/job_front.h"
#include "jobs/job_keys.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

/// A leader that tells one status of all jobs, or does not answer.
class told_leader final : public leader_link {
public:
    std::optional<job_status> status;

    void state_of(const job_id& /*id*/, state_callback done) override
    {
        if (status)
            done(*status);
        else
            done(tl::unexpected{front_errc::leader_unavailable});
    }
    void waiting_jobs(const queue_id& /*queue*/, count_callback done) override
    {
        done(tl::unexpected{front_errc::leader_unavailable});
    }
};

struct front_fixture {
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    told_leader leader;
    log_sink sink{log_settings{}, loop.time(), [](const std::string&) {}};
    metric_registry metrics;
    job_front front{{}, link, leader, loop.time(), logger{sink, "front"}, metrics};
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();

    front_fixture()
    {
        queue_config q;
        q.id = queue_id{"q"};
        q.host = "h.example";
        q.prefix = "/q/";
        q.service = service_id{"s"};
        config->queues.push_back(q);
        for (const auto& [key, team] : {std::pair{"key", "t"}, std::pair{"other key", "u"}}) {
            config->teams_by_key.emplace(key, team_id{team});
            config->teams[team_id{team}].id = team_id{team};
        }
        front.set_config(config);
    }
    static job_spec spec()
    {
        job_spec out;
        out.steps.emplace_back();
        return out;
    }
    tl::expected<void, front_errc> submit(const std::string& id, duration wait = 5s,
                                          const std::string& key = "key")
    {
        // Shared with the callback, which may be called after this function has returned.
        const std::shared_ptr<tl::expected<void, front_errc>> result =
            std::make_shared<tl::expected<void, front_errc>>(tl::unexpected{front_errc::no_config});
        front.submit({"h.example", "/q/" + id, key}, spec(),
                     [result](const tl::expected<void, front_errc>& r) { *result = r; });
        loop.run_for(wait);
        return *result;
    }
    tl::expected<void, front_errc> cancel(const std::string& id, const std::string& key)
    {
        tl::expected<void, front_errc> result{tl::unexpected{front_errc::no_config}};
        front.cancel({"h.example", "/q/" + id, key},
                     [&result](const tl::expected<void, front_errc>& r) { result = r; });
        loop.run_for(1s);
        return result;
    }
    [[nodiscard]] bool cancelled(const std::string& id)
    {
        return store.find(job_keys::of(job_keys::cancelled, job_id{id})) != nullptr;
    }
    tl::expected<job_state, front_errc> state(const std::string& id, const std::string& key = "key")
    {
        tl::expected<job_state, front_errc> result{tl::unexpected{front_errc::no_config}};
        front.state_of({"h.example", "/q/" + id, key},
                       [&result](const tl::expected<job_state, front_errc>& r) { result = r; });
        loop.run_for(1s);
        return result;
    }
};

} // namespace

TEST_CASE("a job is accepted once, however often it is submitted")
{
    front_fixture f;
    CHECK(f.submit("a"));
    CHECK(f.submit("a"));
    CHECK(f.store.list(std::string{job_keys::accepted}).size() == 1);
    CHECK(f.state("a") == job_state::pending);
    CHECK(f.state("b").error() == front_errc::unknown_job);
}

TEST_CASE("a job is stored with the number of attempts that its queue has")
{
    front_fixture f;
    f.config->queues.front().max_attempts = 4;
    REQUIRE(f.submit("a"));
    const std::optional<job_record> record =
        decode_job(job_id{"a"}, f.store.find(job_keys::of(job_keys::accepted, job_id{"a"}))->value);
    REQUIRE(record);
    CHECK(record->max_attempts == 4);
}

// Guards against a job that is reported as not run although the store has it and only its answer was lost.
TEST_CASE("an unknown outcome is resolved by another write before the caller is answered")
{
    front_fixture f;
    f.link.lost_commits = 1;
    CHECK(f.submit("a"));
    CHECK(f.store.list(std::string{job_keys::accepted}).size() == 1);
}

TEST_CASE("an outcome that remains unknown is not reported as a refusal")
{
    front_fixture f;
    f.link.reachable = false;
    CHECK(f.submit("a").error() == front_errc::outcome_unknown);
}

// Guards against callers that wait until their deadline although the store is known to be unreachable.
TEST_CASE("while the store is unreachable, one job per interval is tried and all others are refused at once")
{
    front_fixture f;
    f.link.reachable = false;
    CHECK(f.submit("a").error() == front_errc::outcome_unknown);
    const std::size_t tried = f.link.commits;
    // The first job is written as a probe. The second one follows within the interval.
    static_cast<void>(f.submit("b", 10ms));
    CHECK(f.submit("c", 10ms).error() == front_errc::store_unavailable);
    CHECK(f.link.commits == tried + 1);
    f.link.reachable = true;
    f.loop.run_for(1s);
    CHECK(f.submit("d"));
    CHECK(f.submit("e"));
    CHECK(f.store.find("mjm/inbox/job/c") == nullptr);
}

TEST_CASE("each reason to refuse a job has its own error code")
{
    front_fixture f;
    f.config->queues.front().anonymous = false;
    tl::expected<void, front_errc> result;
    const auto submit = [&](const caller_address& caller, job_spec spec) {
        f.front.submit(caller, std::move(spec),
                       [&result](const tl::expected<void, front_errc>& r) { result = r; });
        f.loop.run_for(100ms);
        return result ? front_errc::no_config : result.error();
    };
    CHECK(submit({"h.example", "/other/a", "key"}, f.spec()) == front_errc::no_such_queue);
    CHECK(submit({"h.example", "/q/a", "stolen"}, f.spec()) == front_errc::unknown_key);
    CHECK(submit({"h.example", "/q/", "key"}, f.spec()) == front_errc::invalid_job);
    job_spec cyclic = f.spec();
    cyclic.steps[0].after = {0};
    CHECK(submit({"h.example", "/q/a", "key"}, cyclic) == front_errc::invalid_job);
    job_spec gang = f.spec();
    gang.steps[0].gang = true;
    CHECK(submit({"h.example", "/q/a", "key"}, gang) == front_errc::unsupported_job);
    CHECK(f.store.list(std::string{job_keys::accepted}).empty());
}

// Guards against a key that reads or cancels the jobs of another team.
TEST_CASE("a job of another team is answered like one that does not exist")
{
    front_fixture f;
    REQUIRE(f.submit("a"));
    CHECK(f.state("a", "other key").error() == front_errc::unknown_job);
    CHECK(f.cancel("a", "other key").error() == front_errc::unknown_job);
    CHECK_FALSE(f.cancelled("a"));
    CHECK(f.state("a") == job_state::pending);

    f.leader.status = job_status{job_state::running, job_owner{queue_id{"q"}, team_id{"t"}}};
    f.link.reachable = false; // The leader's answer suffices.
    CHECK(f.state("a", "other key").error() == front_errc::unknown_job);
    CHECK(f.state("a") == job_state::running);
    f.link.reachable = true;
    CHECK(f.cancel("a", "key"));
    CHECK(f.cancelled("a"));
    CHECK(f.metrics.text().find("mjm_foreign_job_calls_total{call=\"state\"} 2") != std::string::npos);
    CHECK(f.metrics.text().find("mjm_foreign_job_calls_total{call=\"cancel\"} 1") != std::string::npos);
}

TEST_CASE("a leader of an earlier version, which tells no owner, reveals no job of another team")
{
    front_fixture f;
    REQUIRE(f.submit("a"));
    f.leader.status = job_status{job_state::running, std::nullopt};
    CHECK(f.state("a", "other key").error() == front_errc::unknown_job);
    CHECK(f.state("a") == job_state::running);
}

TEST_CASE("a name that another team uses is refused and remains its job")
{
    front_fixture f;
    REQUIRE(f.submit("a"));
    const std::string stored = f.store.find(job_keys::of(job_keys::accepted, job_id{"a"}))->value;
    CHECK(f.submit("a", 5s, "other key").error() == front_errc::invalid_job);
    CHECK(f.store.find(job_keys::of(job_keys::accepted, job_id{"a"}))->value == stored);
    CHECK(f.submit("a"));
}

// Guards against a team that loses its jobs with the key under which they were accepted.
TEST_CASE("a team keeps its jobs when its key is withdrawn, and a removed team leaves them to no other")
{
    front_fixture f;
    REQUIRE(f.submit("a"));
    f.config->teams_by_key.erase("key");
    f.config->teams_by_key.emplace("new key", team_id{"t"});
    CHECK(f.state("a", "new key") == job_state::pending);
    CHECK(f.state("a", "other key").error() == front_errc::unknown_job);

    f.config->teams_by_key.erase("new key");
    f.config->teams.erase(team_id{"t"});
    CHECK(f.state("a", "other key").error() == front_errc::unknown_job);
    CHECK(f.cancel("a", "other key").error() == front_errc::unknown_job);
}

TEST_CASE("a job of an anonymous queue is seen through this queue without a key, and one of a team is not")
{
    front_fixture f;
    REQUIRE(f.submit("c"));
    queue_config open = f.config->queues.front();
    open.id = queue_id{"open"};
    open.prefix = "/open/";
    open.anonymous = true;
    f.config->queues.push_back(open);
    const auto state = [&f](const std::string& path, const std::string& key) {
        tl::expected<job_state, front_errc> result{tl::unexpected{front_errc::no_config}};
        f.front.state_of({"h.example", path, key},
                         [&result](const tl::expected<job_state, front_errc>& r) { result = r; });
        f.loop.run_for(1s);
        return result;
    };
    const auto submit = [&f](const std::string& path, const std::string& key) {
        bool accepted = false;
        f.front.submit({"h.example", path, key}, front_fixture::spec(),
                       [&accepted](const tl::expected<void, front_errc>& r) { accepted = r.has_value(); });
        f.loop.run_for(1s);
        return accepted;
    };
    REQUIRE(submit("/open/a", ""));
    REQUIRE(submit("/open/b", "key"));
    CHECK(state("/open/a", "") == job_state::pending);
    CHECK(state("/open/b", "") == job_state::pending);
    CHECK(state("/open/c", "").error() == front_errc::unknown_job);
}
