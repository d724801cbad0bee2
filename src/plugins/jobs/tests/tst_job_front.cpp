#include "fake_transaction_store.h"
#include "jobs/job_codec.h"
#include "jobs/job_front.h"
#include "jobs/job_keys.h"
#include "no_leader.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

struct front_fixture {
    virtual_loop loop;
    fake_transaction_store store{loop};
    fake_store_link link{loop, store};
    no_leader leader;
    log_sink sink{log_settings{}, loop.time(), [](const std::string&) {}};
    job_front front{{}, link, leader, loop.time(), logger{sink, "front"}};
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();

    front_fixture()
    {
        queue_config q;
        q.id = queue_id{"q"};
        q.host = "h.example";
        q.prefix = "/q/";
        q.service = service_id{"s"};
        config->queues.push_back(q);
        config->teams_by_key.emplace("key", team_id{"t"});
        front.set_config(config);
    }
    static job_spec spec()
    {
        job_spec out;
        out.steps.emplace_back();
        return out;
    }
    tl::expected<void, front_errc> submit(const std::string& id, duration wait = 5s)
    {
        // Shared with the callback, which may be called after this function has returned.
        const std::shared_ptr<tl::expected<void, front_errc>> result =
            std::make_shared<tl::expected<void, front_errc>>(tl::unexpected{front_errc::no_config});
        front.submit({"h.example", "/q/" + id, "key"}, spec(),
                     [result](const tl::expected<void, front_errc>& r) { *result = r; });
        loop.run_for(wait);
        return *result;
    }
    tl::expected<job_state, front_errc> state(const std::string& id)
    {
        tl::expected<job_state, front_errc> result{tl::unexpected{front_errc::no_config}};
        front.state_of({"h.example", "/q/" + id, "key"},
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
