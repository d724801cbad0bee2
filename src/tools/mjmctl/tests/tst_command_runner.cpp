#include "command_runner.h"
#include "configuration/fleet_config.h"
#include "configuration/key_hash.h"
#include "ctl_settings.h"
#include "fake_admin_client.h"
#include "fake_wait_clock.h"
#include "operator_key.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace mjm;
using namespace mjm::test;
using nlohmann::json;

namespace {

struct runner_fixture {
    ctl_exit run(const command& what)
    {
        command_runner runner{client,
                              time,
                              {out, messages,
                               [this](const std::string& name) -> std::optional<std::string> {
                                   return name == "missing" ? std::nullopt : std::optional{file};
                               },
                               [](const std::string&) { return false; }}};
        return runner.run(what);
    }

    fake_admin_client client;
    fake_wait_clock time;
    std::ostringstream out;
    std::ostringstream messages;
    std::string file = "[]";
};

command make_command(const std::string& noun, const std::string& verb)
{
    command what;
    what.noun = noun;
    what.verb = verb;
    return what;
}

const json shown{{"version", 3}, {"teams", {{"red", {{"share", 1}}}}}};

} // namespace

TEST_CASE("guards against a granted key that is sent, or whose hash does not match the one printed")
{
    runner_fixture f;
    command what = make_command("keys", "grant");
    what.team = "red";
    what.json = true;
    f.client.answer(200, shown);
    f.client.answer(201, {{"outcome", "open"}});
    REQUIRE(f.run(what) == ctl_exit::done);
    const json printed = json::parse(f.out.str());
    const std::string key = printed.at("key");
    const admin_call& sent = f.client.calls.at(1).second;
    CHECK(sent.body.dump().find(key) == std::string::npos);
    CHECK(sent.path == "/admin/v1/teams/red/keys/" + printed.at("key_id").get<std::string>());
    CHECK(key_matches({key_id{"k"}, sent.body.at("salt"), sent.body.at("hash")}, key));
    CHECK(sent.body.at("base") == 3);
    CHECK(f.messages.str().find(key) == std::string::npos);
}

TEST_CASE("guards against a key printed though its grant was refused or only checked")
{
    runner_fixture f;
    command what = make_command("keys", "grant");
    what.team = "red";
    f.client.answer(200, shown);
    f.client.answer(409, {{"error", {{"code", "key_exists"}, {"detail", ""}}}});
    CHECK(f.run(what) == ctl_exit::refused);
    CHECK(f.out.str().empty());

    what.dry_run = true;
    f.client.answer(200, shown);
    f.client.answer(200, {{"outcome", "valid"}, {"would_be_version", 4}, {"patch", json::array()}});
    f.client.answer(200, shown);
    CHECK(f.run(what) == ctl_exit::done);
    CHECK(f.out.str().find("key") == std::string::npos);
    CHECK(f.client.calls.at(3).second.query.at("dry_run") == "true");
}

TEST_CASE("guards against a change that takes effect without the operator's word")
{
    runner_fixture f;
    command what = make_command("config", GENERATE(as<std::string>{}, "accept", "reject", "bootstrap"));
    what.id = "p1";
    what.file = what.verb == "bootstrap" ? "doc" : "";
    f.file = "{}";
    CHECK(f.run(what) == ctl_exit::usage);
    CHECK(f.client.calls.empty());
}

TEST_CASE("guards against an input file or a name that is sent unchecked")
{
    runner_fixture f;
    command what = make_command("config", "propose");
    what.file = "missing";
    CHECK(f.run(what) == ctl_exit::usage);
    what.file = "patch";
    f.file = "{";
    CHECK(f.run(what) == ctl_exit::usage);
    f.file = "{}";
    CHECK(f.run(what) == ctl_exit::usage);
    command cordon = make_command("target", "cordon");
    cordon.target = "w1/move";
    CHECK(f.run(cordon) == ctl_exit::usage);
    CHECK(f.client.calls.empty());
}

TEST_CASE("guards against a wait that ends before the version is in force everywhere")
{
    runner_fixture f;
    command what = make_command("config", "accept");
    what.id = "p1";
    what.yes = true;
    what.wait = true;
    what.timeout_s = 5;
    f.client.answer(200, {{"outcome", "accepted"}, {"version", 4}});
    f.client.answer(200, {{"in_force_everywhere", false}, {"reached", {"e1"}}, {"silent", {"e2"}}});
    f.client.answer(200, {{"in_force_everywhere", true}, {"reached", {"e1", "e2"}}});
    CHECK(f.run(what) == ctl_exit::done);
    CHECK(f.client.call_line(2) == "GET /admin/v1/versions/4");
    CHECK(f.messages.str().find("silent: e2") != std::string::npos);

    f.client.answer(200, {{"outcome", "accepted"}, {"version", 4}});
    CHECK(f.run(what) == ctl_exit::timed_out);
}

TEST_CASE("guards against a proposal that is waited for although it is rejected")
{
    runner_fixture f;
    command what = make_command("team", "set-share");
    what.team = "red";
    what.share = 2;
    what.wait = true;
    f.client.answer(200, shown);
    f.client.answer(201, {{"outcome", "open"}});
    f.client.answer(200, {{"outcome", "open"}});
    f.client.answer(200, {{"outcome", "rejected"}});
    CHECK(f.run(what) == ctl_exit::refused);
    CHECK(f.client.call_line(1) == "PATCH /admin/v1/teams/red");
}

TEST_CASE("guards against a plan that stores something or does not show the effect")
{
    runner_fixture f;
    command what = make_command("config", "plan");
    what.file = "patch";
    const json patch = json::array({{{"op", "replace"}, {"path", "/teams/red/share"}, {"value", 2}}});
    f.file = patch.dump();
    f.client.answer(200, shown);
    f.client.answer(200, {{"outcome", "valid"}, {"would_be_version", 4}, {"patch", patch}});
    f.client.answer(200, shown);
    CHECK(f.run(what) == ctl_exit::done);
    CHECK(f.client.calls.at(1).second.query.at("dry_run") == "true");
    CHECK(f.out.str() == "valid, would be version 4\n\n"
                         "table  record  member  before  after\n"
                         "teams  red     share   1       2\n");
}

TEST_CASE("guards against a time line that stops at the first batch or drops events")
{
    runner_fixture f;
    json full = json::array();
    for (int i = 0; i < 2000; ++i)
        full.push_back({{"n", i}});
    f.client.answer(200, {{"next", 2000}, {"missed", 0}, {"events", full}});
    f.client.answer(200, {{"next", 2001}, {"missed", 0}, {"events", {{{"n", 2000}}}}});
    CHECK(f.run(make_command("timeline", "")) == ctl_exit::done);
    CHECK(f.client.calls.at(1).second.query.at("since") == "2000");
    CHECK(f.out.str().ends_with("{\"n\":2000}\n"));
}

TEST_CASE("guards against a key that ends its header or is repeated in a message")
{
    CHECK(find_operator_key({"option", "environment", ""}).value() == "option");
    CHECK(find_operator_key({"", "environment", ""}).value() == "environment");
    CHECK(find_operator_key({}).value().empty());
    const auto bad = find_operator_key({"sec\r\nret", "", ""});
    REQUIRE_FALSE(bad);
    CHECK(bad.error().find("ret") == std::string::npos);
    CHECK_FALSE(find_operator_key({"", "", "/nonexistent/key"}));
}

TEST_CASE("guards against a server address that is accepted though it cannot be reached")
{
    CHECK(parse_server("127.0.0.1:7003") == http_endpoint{"127.0.0.1", 7003});
    CHECK(parse_server("[::1]:7003") == http_endpoint{"::1", 7003});
    for (const char* const bad : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:70000", "::1:80",
                                  "host:80", "127.0.0.1:80x", "[127.0.0.1]:80"})
        CHECK_FALSE(parse_server(bad));
    CHECK(make_ctl_schema().parse(R"({"servers": [{"address": "127.0.0.1", "port": 1}]})", "f"));
    CHECK_FALSE(make_ctl_schema().parse(R"({"servers": [{"address": "127.0.0.1"}]})", "f"));
    CHECK_FALSE(make_ctl_schema().parse(R"({"server": []})", "f"));
}
