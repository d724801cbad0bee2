#include "admin/admin_api.h"

#include "config_fixture.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace mjm::test;
using std::chrono::seconds;

namespace {

struct world {
    world()
    {
        freshness.confirmed_at(loop.now());
        api = std::make_unique<admin_api>(node.commit, replica, progress, freshness,
                                          admin_settings{"let-me-start", seconds{10}, 100});
        node.commit.on_commit([this](std::uint64_t version, const std::string& text, timestamp when) {
            replica.offer(version, text, when);
            progress.committed(version, loop.now());
        });
    }

    http_response call(const std::string& method, const std::string& path, const std::string& key,
                       const json& body = json::object(), std::map<std::string, std::string> query = {})
    {
        http_request request{
            method, path, std::move(query), {{"authorization", "Bearer " + key}}, body.dump()};
        std::optional<http_response> answer;
        int answers = 0;
        api->handle(request, loop.now(), december, [&](http_response response) {
            answer = std::move(response);
            ++answers;
        });
        for (int i = 0; i < 110 && !answer; ++i) {
            node.run(std::chrono::milliseconds{100});
            api->tick(loop.now());
        }
        freshness.confirmed_at(loop.now());
        CHECK(answers == 1);
        return answer.value_or(http_response{});
    }
    json bootstrap()
    {
        return json::parse(call("POST", "/admin/v1/bootstrap", "let-me-start",
                                {{"id", "first"}, {"document", first_document()}})
                               .body);
    }

    event_loop loop;
    store_state state;
    seeded_random random{3};
    committer node{loop, state, random};
    config_replica replica{node.store, {}};
    config_progress progress{config_progress_settings{}};
    key_freshness freshness{key_freshness_settings{}};
    std::unique_ptr<admin_api> api;
};

std::string code(const http_response& response)
{
    return json::parse(response.body).at("error").at("code").get<std::string>();
}

} // namespace

TEST_CASE("the first configuration needs the token and is created once")
{
    world w;
    CHECK(w.call("GET", "/admin/v1/config", "ann-key").status == 503);
    CHECK(w.call("POST", "/admin/v1/bootstrap", "wrong", {{"id", "x"}}).status == 403);
    CHECK(w.bootstrap().at("version") == 1);
    const http_response again = w.call("POST", "/admin/v1/bootstrap", "let-me-start",
                                       {{"id", "second"}, {"document", first_document()}});
    CHECK(again.status == 409);
    CHECK(code(again) == "already_bootstrapped");
}

TEST_CASE("an operator proposes, only the authority accepts, and secrets are not shown")
{
    world w;
    w.bootstrap();
    CHECK(w.call("GET", "/admin/v1/config", "nobody").status == 401);
    const http_response shown = w.call("GET", "/admin/v1/config", "olga-key");
    CHECK(shown.status == 200);
    CHECK(shown.body.find("secret") == std::string::npos);
    CHECK(shown.body.find("hash") == std::string::npos);
    CHECK(w.call("GET", "/admin/v1/history", "olga-key").body.find("secret") == std::string::npos);
    const json change{{"id", "p1"}, {"base", 1}, {"limit", 12}};
    CHECK(w.call("PATCH", "/admin/v1/teams/red", "olga-key", change).status == 201);
    CHECK(w.call("PATCH", "/admin/v1/teams/red", "olga-key", change).status == 201);
    CHECK(json::parse(w.call("GET", "/admin/v1/proposals", "olga-key").body).at("proposals").size() == 1);
    CHECK(code(w.call("POST", "/admin/v1/proposals/p1/accept", "olga-key")) == "not_authority");
    const json accepted = json::parse(w.call("POST", "/admin/v1/proposals/p1/accept", "ann-key").body);
    CHECK(accepted == json{{"outcome", "accepted"}, {"version", 2}});
    CHECK(w.replica.current()->teams.at(team_id{"red"}).limit == 12);
    CHECK(json::parse(w.call("GET", "/admin/v1/proposals/p1", "olga-key").body) == accepted);
    const json before = json::parse(w.call("GET", "/admin/v1/versions/2", "olga-key").body);
    CHECK(before.at("in_force_everywhere") == false);
    w.node.run(seconds{5});
    w.freshness.confirmed_at(w.loop.now());
    const json after = json::parse(w.call("GET", "/admin/v1/versions/2", "olga-key").body);
    CHECK(after.at("in_force_everywhere") == true);
}

TEST_CASE("server-made patches: each verb changes what it names, and a dry run changes nothing")
{
    world w;
    w.bootstrap();
    const http_response dry = w.call("POST", "/admin/v1/targets/w1/move", "olga-key",
                                     {{"base", 1}, {"pool", "spare"}}, {{"dry_run", "true"}});
    CHECK(json::parse(dry.body).at("would_be_version") == 2);
    CHECK(json::parse(w.call("GET", "/admin/v1/proposals", "olga-key").body).at("proposals").empty());
    std::uint64_t base = 1;
    const auto apply = [&](const std::string& method, const std::string& path, json body) {
        const std::string id = "p" + std::to_string(base);
        body["id"] = id;
        body["base"] = base;
        INFO(path);
        CHECK(w.call(method, "/admin/v1" + path, "olga-key", body).status == 201);
        CHECK(w.call("POST", "/admin/v1/proposals/" + id + "/accept", "ann-key").status == 200);
        ++base;
    };
    apply("POST", "/targets/w1/move", {{"pool", "spare"}});
    apply("POST", "/targets/w2/cordon", {});
    const json k = key("red-1");
    apply("PUT", "/teams/red/keys/second", {{"salt", k.at("salt")}, {"hash", k.at("hash")}});
    apply("DELETE", "/teams/red/keys/k", {});
    const fleet_config& config = *w.replica.current();
    CHECK(config.targets.at(target_id{"w1"}).pool == pool_id{"spare"});
    CHECK(config.targets.at(target_id{"w2"}).cordoned);
    CHECK(config.authenticate("red-1") == team_id{"red"});
    CHECK_FALSE(config.authenticate("red-0"));
    const http_response budget =
        w.call("POST", "/admin/v1/targets/w3/cordon", "olga-key", {{"id", "x"}, {"base", base}});
    CHECK(budget.status == 422);
    CHECK(json::parse(budget.body).at("error").at("errors").at(0).at("rule") == "budget");
}

TEST_CASE("malformed calls have their own typed answers")
{
    world w;
    w.bootstrap();
    CHECK(code(w.call("GET", "/admin/v2/config", "ann-key")) == "unknown_path");
    CHECK(code(w.call("DELETE", "/admin/v1/config", "ann-key")) == "method_not_allowed");
    CHECK(code(w.call("POST", "/admin/v1/proposals", "ann-key", json::array())) == "malformed_body");
    CHECK(code(w.call("POST", "/admin/v1/proposals", "ann-key", {{"id", "p"}, {"base", 1}})) ==
          "malformed_body");
    CHECK(code(w.call("GET", "/admin/v1/history", "ann-key", json::object(), {{"limit", "-1"}})) ==
          "malformed_query");
    CHECK(code(w.call("POST", "/admin/v1/targets/none/cordon", "ann-key")) == "unknown_record");
    const http_response stale = w.call("POST", "/admin/v1/proposals", "ann-key",
                                       {{"id", "p"}, {"base", 9}, {"patch", json::array()}});
    CHECK(json::parse(stale.body).at("error").at("errors").at(0).at("rule") == "patch_syntax");
}

TEST_CASE("an outcome that is not known in time is answered pending and can be asked for later")
{
    world w;
    w.bootstrap();
    w.call("POST", "/admin/v1/targets/w1/cordon", "olga-key", {{"id", "p"}, {"base", 1}});
    w.node.store.put_faults = std::deque<fault>(30, fault::lost_before);
    CHECK(w.call("POST", "/admin/v1/proposals/p/accept", "ann-key").status == 202);
    w.node.store.put_faults.clear();
    w.node.run(seconds{5});
    w.freshness.confirmed_at(w.loop.now());
    CHECK(json::parse(w.call("GET", "/admin/v1/proposals/p", "olga-key").body).at("version") == 2);
}

TEST_CASE("a host that cannot tell whether its keys are current refuses operators")
{
    world w;
    w.bootstrap();
    w.node.run(seconds{5});
    CHECK(code(w.call("GET", "/admin/v1/config", "olga-key")) == "key_not_verifiable");
}
