#include "load_checks.h"

#include "platform/body_digest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace mjm;

namespace {

using nlohmann::json;

/// One team, one target, and one completed request with its run: nothing is wrong with it.
class history_fixture {
public:
    history_fixture()
    {
        history.plan.teams.push_back(plan_team{team_id{"ann"}, "key-ann", 1.0, 2});
        history.targets.push_back(target_record_state{target_id{"t0"}, 1, 3});
        add_request("lens@z1~ann~1", outcome_kind::completed);
        add_run("lens@z1~ann~1", "1", 0, 100);
    }

    request_record& add_request(const std::string& id, std::optional<outcome_kind> kind)
    {
        request_record request;
        request.number = history.requests.size();
        request.team = team_id{"ann"};
        request.payload = json{{"answer_bytes", 3}, {"echo", request.number}}.dump();
        request.ids.insert(request_id{id});
        request.answered_id = request_id{id};
        request.kind = kind;
        if (kind == outcome_kind::completed)
            request.result = json{
                {"request", id},
                {"team", "ann"},
                {"digest", body_digest(request.payload)},
                {"echo", request.number},
                {"padding",
                 "xxx"}}.dump();
        history.requests.push_back(request);
        return history.requests.back();
    }

    void add_run(const std::string& id, const std::string& attempt, std::int64_t from, std::int64_t to,
                 const std::string& target = "t0")
    {
        history.runs.push_back(
            run_record{target_id{target}, id + "." + attempt, request_id{id}, team_id{"ann"}, from, to});
    }

    /// Names of the checks that fail, each once.
    [[nodiscard]] std::vector<load_check> failing() const
    {
        std::vector<load_check> checks;
        for (const violation& it : check_load(history)) {
            if (std::find(checks.begin(), checks.end(), it.check) == checks.end())
                checks.push_back(it.check);
        }
        return checks;
    }

    load_history history;
};

using checks = std::vector<load_check>;

} // namespace

TEST_CASE_METHOD(history_fixture, "a true history has no violation")
{
    // Guards against a check that fires on what is allowed.
    add_request("lens@z1~ann~2", outcome_kind::unknown);
    add_run("lens@z1~ann~2", "1", 100, 200);
    request_record& repeated = add_request("lens@z1~ann~3", outcome_kind::completed);
    repeated.idempotent = true;
    add_run("lens@z1~ann~3", "1", 100, 200);
    add_run("lens@z1~ann~3", "2", 200, 300);
    request_record& refused = add_request("lens@z1~ann~4", outcome_kind::refused_not_run);
    refused.not_run.insert(refused.answered_id);
    add_request("lens@z1~ann~5", outcome_kind::failed);
    CHECK(failing().empty());
}

TEST_CASE_METHOD(history_fixture, "a second run of a non-idempotent request is found")
{
    // Guards against a duplicated checkout, also when the attempts ran on two targets.
    add_run("lens@z1~ann~1", "2", 500, 600, "t1");
    CHECK(failing() == checks{load_check::at_most_once});
}

TEST_CASE_METHOD(history_fixture, "runs under two tickets of one request are found")
{
    // Guards against a refusal that lets the caller send its work again although the first one ran.
    history.requests[0].ids.insert(request_id{"lens@z1~ann~0"});
    add_run("lens@z1~ann~0", "1", 500, 600);
    CHECK(failing() == checks{load_check::at_most_once});
}

TEST_CASE_METHOD(history_fixture, "a run of a request answered as not run is found")
{
    // Guards against an untrue refusal; being idempotent does not excuse it.
    request_record& refused = add_request("lens@z1~ann~2", outcome_kind::refused_not_run);
    refused.idempotent = true;
    refused.not_run.insert(refused.answered_id);
    add_run("lens@z1~ann~2", "1", 500, 600);
    CHECK(failing() == checks{load_check::true_refusal});
}

TEST_CASE_METHOD(history_fixture, "an answer that differs in any part is found")
{
    // Guards against answers that are cut, mixed up, or of another request.
    json answer = json::parse(history.requests[0].result);
    SECTION("another echo")
    {
        answer["echo"] = 99;
    }
    SECTION("another body")
    {
        answer["digest"] = "0000000000000000";
    }
    SECTION("another request")
    {
        answer["request"] = "lens@z1~ann~9";
    }
    SECTION("another team")
    {
        answer["team"] = "bob";
    }
    SECTION("shorter padding")
    {
        answer["padding"] = "xx";
    }
    SECTION("no echo")
    {
        answer.erase("echo");
    }
    history.requests[0].result = answer.dump();
    CHECK(failing() == checks{load_check::whole_answer});
}

TEST_CASE_METHOD(history_fixture, "a truncated answer is found")
{
    // Guards against a completed outcome whose body broke off, or is missing.
    history.requests[0].result.resize(GENERATE(0U, 10U));
    CHECK(failing() == checks{load_check::whole_answer});
}

TEST_CASE_METHOD(history_fixture, "a completed request without a run is found")
{
    // Guards against an answer that no target gave.
    history.runs.clear();
    CHECK(failing() == checks{load_check::completed_ran});
}

TEST_CASE_METHOD(history_fixture, "a team above its limit is found")
{
    // Guards against one task too many over all targets; tasks that only touch do not overlap.
    add_request("lens@z1~ann~2", outcome_kind::unknown);
    add_request("lens@z1~ann~3", outcome_kind::unknown);
    add_run("lens@z1~ann~2", "1", 50, 150, "t1");
    add_run("lens@z1~ann~3", "1", 100, 200, "t2");
    CHECK(failing().empty());
    history.runs.back().started_us = 99;
    CHECK(failing() == checks{load_check::team_limit});
}

TEST_CASE_METHOD(history_fixture, "a target above its slots is found")
{
    // Guards against an overfull target, seen in the log or in the target's own high-water mark.
    history.limits.slots = 1;
    SECTION("in the log")
    {
        add_request("lens@z1~ann~2", outcome_kind::unknown);
        add_run("lens@z1~ann~2", "1", 50, 150);
    }
    SECTION("in the high-water mark")
    {
        history.targets[0].running_high_water = 2;
    }
    CHECK(failing() == checks{load_check::target_slots});
}

TEST_CASE_METHOD(history_fixture, "a target above its connections is found")
{
    // Guards against a connection opened for each request.
    history.targets[0].connections_high_water = 64;
    CHECK(failing().empty());
    history.targets[0].connections_high_water = 65;
    CHECK(failing() == checks{load_check::target_connections});
}

TEST_CASE_METHOD(history_fixture, "a request without an outcome is found")
{
    // Guards against a caller that is never told what became of its work.
    add_request("lens@z1~ann~2", std::nullopt);
    CHECK(failing() == checks{load_check::every_outcome});
}

TEST_CASE_METHOD(history_fixture, "an unreadable run log is found")
{
    // Guards against a pass that only comes from missing evidence.
    history.unreadable.emplace_back("t0");
    CHECK(failing() == checks{load_check::logs_readable});
}

TEST_CASE("the identifier of a ticket is that of its request")
{
    // Guards against runs of a request whose answers were all lost going unnoticed.
    CHECK(id_of_ticket("t1~lens@z1~4~ann~1700000000000~abcd~ffff") == request_id{"lens@z1~ann~abcd"});
    CHECK_FALSE(id_of_ticket(""));
    CHECK_FALSE(id_of_ticket("t1~lens~4~ann~1~abcd~ffff"));
}

TEST_CASE("a plan is read back as it was written")
{
    // Guards against checks that compare with other limits than those in the configuration.
    fleet_plan plan;
    plan.teams.push_back(plan_team{team_id{"ann"}, "key-ann", 1.5, 12});
    plan.services.emplace_back("lens");
    plan.targets.push_back(
        plan_target{{target_id{"t0"}, "127.0.0.1", 9000}, zone_id{"z1"}, service_id{"lens"}});
    const std::optional<fleet_plan> read = decode_plan(encode_plan(plan));
    REQUIRE(read);
    CHECK(encode_plan(*read) == encode_plan(plan));
    CHECK_FALSE(decode_plan("{}"));
    CHECK_FALSE(decode_plan("not a plan"));
}

TEST_CASE("a team is read from name, share and limit")
{
    // Guards against a mistyped limit that silently becomes another one.
    const std::optional<plan_team> team = parse_plan_team("ann:2:24");
    REQUIRE(team);
    CHECK(team->id == team_id{"ann"});
    CHECK(team->share == 2.0);
    CHECK(team->limit == 24);
    CHECK(team->key == "key-ann");
    for (const char* text : {"", "ann", "ann:1", "ann:1:x", "ann:1:2:3", "ann:1:2x", "-:1:2"})
        CHECK_FALSE(parse_plan_team(text));
}
