#include "answer_tables.h"
#include "text_table.h"

#include <catch2/catch.hpp>

using namespace mjm;
using nlohmann::json;

TEST_CASE("guards against columns that do not line up")
{
    text_table table{{"id", "share"}};
    table.add_row({"a-long-name", "1"});
    table.add_row({"b"});
    CHECK(table.text() == "id           share\n"
                          "a-long-name  1\n"
                          "b\n");
}

TEST_CASE("guards against text of others that controls the operator's terminal")
{
    text_table table{{"comment"}};
    table.add_row({"\x1b[2J\r\nfake"});
    CHECK(table.text() == "comment\n [2J  fake\n");
}

TEST_CASE("guards against a missing column or a failure on members that are absent")
{
    CHECK(
        format_teams(
            {{"teams",
              {{{"id", "red"}, {"owner", "ann"}, {"share", 1.5}, {"limit", 10}, {"keys", {"k1", "k2"}}}}}}) ==
        "id   owner  share  limit  keys\n"
        "red  ann    1.5    10     k1,k2\n");
    CHECK(format_teams(json::object()) == "id  owner  share  limit  keys\n");
    CHECK(format_pools({{"pools", {{{"id", "main"}}}}}) ==
          "id    targets  cordoned  min_available  spare  services\nmain\n");
    CHECK(format_keys({{"keys", {"k1"}}}) == "key\nk1\n");
}

TEST_CASE("guards against a host that does not answer missing from the status")
{
    const json answers{
        {{"server", "127.0.0.1:1"},
         {"host", "e1"},
         {"zone", "z1"},
         {"config_version", 4},
         {"key_policy", "fresh"},
         {"store_reachable", true},
         {"outstanding", 0},
         {"shards",
          {{{"shard", "book@z1"}, {"epoch", 2}, {"queued", 1}, {"running", 3}, {"free_slots", 5}}}}},
        {{"server", "127.0.0.1:2"}, {"error", "no answer"}}};
    CHECK(format_status(answers) == "server       host  zone  version  keys   store  outstanding  error\n"
                                    "127.0.0.1:1  e1    z1    4        fresh  true   0\n"
                                    "127.0.0.1:2                                                  no answer\n"
                                    "\n"
                                    "host  shard    epoch  queued  running  free_slots\n"
                                    "e1    book@z1  2      1       3        5\n");
}

TEST_CASE("guards against progress that hides a silent host")
{
    CHECK(
        describe_progress({{"reached", {"e1"}}, {"silent", {"e2", "e3"}}, {"in_force_everywhere", false}}) ==
        "reached 1 hosts, silent: e2,e3, in force everywhere: false");
}
