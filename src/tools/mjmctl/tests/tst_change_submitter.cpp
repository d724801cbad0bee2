#include "change_submitter.h"
#include "fake_admin_client.h"
#include "fake_wait_clock.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace mjm::test;
using nlohmann::json;

namespace {

constexpr std::chrono::seconds limit{10};

json error(const std::string& code)
{
    return {{"outcome", "not_applied"}, {"error", {{"code", code}, {"detail", ""}, {"current_version", 5}}}};
}

struct submit_fixture {
    explicit submit_fixture(std::size_t servers = 1) : client{servers} {}

    change_outcome submit(change_kind kind)
    {
        change c;
        c.kind = kind;
        c.id = "p1";
        c.call.method = "POST";
        c.call.path = "/change";
        return change_submitter{session, time, limit}.submit(c);
    }

    fake_admin_client client;
    fake_wait_clock time;
    admin_session session{client};
};

} // namespace

TEST_CASE("guards against a lost answer reported as failed though the change was accepted")
{
    submit_fixture f;
    f.client.fail(send_failure::lost);
    f.client.answer(200, {{"outcome", "accepted"}, {"version", 6}});
    const change_outcome outcome = f.submit(change_kind::accept);
    CHECK(outcome.code == ctl_exit::done);
    CHECK(outcome.answer.version == 6);
    REQUIRE(f.client.calls.size() == 2);
    CHECK(f.client.call_line(1) == "GET /admin/v1/proposals/p1");
}

TEST_CASE("guards against a proposal that was lost on its way and is not repeated")
{
    submit_fixture f;
    f.client.fail(send_failure::lost);
    f.client.answer(404, error("unknown_proposal"));
    f.client.answer(201, {{"outcome", "open"}});
    CHECK(f.submit(change_kind::propose).code == ctl_exit::done);
    REQUIRE(f.client.calls.size() == 3);
    CHECK(f.client.call_line(2) == f.client.call_line(0));
    CHECK(f.client.calls[2].second.body == f.client.calls[0].second.body);
}

TEST_CASE("guards against an open proposal taken for an accepted one after a lost answer")
{
    submit_fixture f;
    f.client.fail(send_failure::lost);
    f.client.answer(200, {{"outcome", "open"}});
    f.client.answer(200, {{"outcome", "rejected"}});
    CHECK(f.submit(change_kind::accept).code == ctl_exit::refused);
}

TEST_CASE("guards against an outcome guessed while no server can tell it")
{
    submit_fixture f;
    f.client.fail(send_failure::lost);
    CHECK(f.submit(change_kind::accept).code == ctl_exit::outcome_unknown);
}

TEST_CASE("guards against a refusal of the repeat that hides the first attempt's outcome")
{
    submit_fixture f;
    f.client.fail(send_failure::lost);
    f.client.answer(503, error("store_unavailable"));
    f.client.answer(409, error("version_moved"));
    f.client.answer(200, {{"outcome", "accepted"}, {"version", 6}});
    CHECK(f.submit(change_kind::accept).code == ctl_exit::done);
}

TEST_CASE("guards against a refusal after a lost answer reported as not applied")
{
    submit_fixture f;
    f.client.fail(send_failure::lost);
    for (int i = 0; i < 100; ++i)
        f.client.answer(401, error("not_authenticated"));
    CHECK(f.submit(change_kind::propose).code == ctl_exit::outcome_unknown);
}

TEST_CASE("guards against a pending call reported as done or as failed")
{
    submit_fixture f;
    f.client.answer(202, {{"outcome", "pending"}});
    f.client.answer(200, {{"outcome", "accepted"}, {"version", 2}});
    CHECK(f.submit(change_kind::accept).code == ctl_exit::done);

    submit_fixture g;
    for (int i = 0; i < 100; ++i)
        g.client.answer(202, {{"outcome", "pending"}});
    CHECK(g.submit(change_kind::bootstrap).code == ctl_exit::outcome_unknown);
}

TEST_CASE("guards against a failed handler reported as not applied")
{
    submit_fixture f;
    f.client.answer(500, {{"error", {{"code", "internal_error"}, {"detail", ""}}}});
    f.client.answer(200, {{"outcome", "accepted"}, {"version", 2}});
    CHECK(f.submit(change_kind::accept).code == ctl_exit::done);

    submit_fixture g;
    g.client.answer(500, error("damaged"));
    CHECK(g.submit(change_kind::accept).code == ctl_exit::failed);
    CHECK(g.client.calls.size() == 1);
}

TEST_CASE("guards against a known refusal or an unreachable fleet reported as unknown")
{
    submit_fixture f;
    f.client.answer(403, error("not_authority"));
    const change_outcome outcome = f.submit(change_kind::accept);
    CHECK(outcome.code == ctl_exit::refused);
    CHECK(outcome.answer.error_code == "not_authority");
    CHECK(f.client.calls.size() == 1);

    submit_fixture g{3};
    CHECK(g.submit(change_kind::accept).code == ctl_exit::failed);
    CHECK(g.client.calls.size() == 3);
}

TEST_CASE("guards against success reported for the opposite decision")
{
    submit_fixture f;
    f.client.answer(200, {{"outcome", "accepted"}, {"version", 2}});
    CHECK(f.submit(change_kind::reject).code == ctl_exit::refused);
    f.client.answer(200, {{"outcome", "rejected"}});
    CHECK(f.submit(change_kind::reject).code == ctl_exit::done);
}

TEST_CASE("guards against a change sent to a second server after a lost answer")
{
    submit_fixture f{2};
    f.client.fail(send_failure::lost);
    f.client.answer(200, {{"outcome", "open"}});
    CHECK(f.submit(change_kind::propose).code == ctl_exit::done);
    REQUIRE(f.client.calls.size() == 2);
    CHECK(f.client.calls[1].second.method == "GET");
    CHECK(f.client.calls[1].first == 1);
}

TEST_CASE("guards against giving up at the first server that does not answer")
{
    submit_fixture f{3};
    f.client.fail(send_failure::not_sent);
    f.client.answer(503, error("no_configuration"));
    f.client.answer(201, {{"outcome", "open"}});
    CHECK(f.submit(change_kind::propose).code == ctl_exit::done);
}
