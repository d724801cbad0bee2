#include "config_effect.h"

#include <catch2/catch.hpp>

using namespace mjm;
using nlohmann::json;

namespace {

const json document{
    {"version", 3},
    {"teams",
     {{"red", {{"owner", "ann"}, {"share", 1.0}, {"limit", 10}, {"keys", {{"k", json::object()}}}}}}},
    {"pools", {{"main", {{"min_available", 1}}}}},
    {"targets", {{"w1", {{"pool", "main"}}}, {"w2", {{"pool", "main"}}}}}};

std::vector<std::string> lines(const json& patch)
{
    const std::optional<std::vector<config_change>> changes = config_effect(document, patch);
    std::vector<std::string> out;
    for (const config_change& c : changes.value())
        out.push_back(c.table + "|" + c.record + "|" + c.member + "|" + c.before + "|" + c.after);
    return out;
}

} // namespace

TEST_CASE("guards against a plan that leaves out a changed team, limit, pool or target")
{
    const json patch = json::array({{{"op", "replace"}, {"path", "/teams/red/share"}, {"value", 2.5}},
                                    {{"op", "replace"}, {"path", "/teams/red/limit"}, {"value", 20}},
                                    {{"op", "replace"}, {"path", "/pools/main/min_available"}, {"value", 2}},
                                    {{"op", "add"}, {"path", "/targets/w1/cordoned"}, {"value", true}},
                                    {{"op", "remove"}, {"path", "/targets/w2"}}});
    CHECK(lines(patch) == std::vector<std::string>{"pools|main|min_available|1|2",
                                                   "targets|w1|cordoned||true",
                                                   R"(targets|w2||{"pool":"main"}|)", "teams|red|limit|10|20",
                                                   "teams|red|share|1.0|2.5"});
}

TEST_CASE("guards against a plan that prints the salt or hash of a key")
{
    const json patch = json::array(
        {{{"op", "add"}, {"path", "/teams/red/keys/n"}, {"value", {{"salt", "aa"}, {"hash", "bb"}}}}});
    CHECK(lines(patch) == std::vector<std::string>{"teams|red|keys/n||{}"});
}

TEST_CASE("guards against an effect made up for a patch that does not apply")
{
    CHECK_FALSE(config_effect(document, json::array({{{"op", "remove"}, {"path", "/teams/blue"}}})));
}
