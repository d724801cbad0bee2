#include "config_fixture.h"
#include "configuration/config_validator.h"

#include <catch2/catch.hpp>

using namespace mjm;
using namespace mjm::test;

namespace {

struct violation {
    const char* patch;
    config_rule rule;
    const char* pointer;
};

} // namespace

TEST_CASE("each broken rule is reported with its kind and its JSON pointer")
{
    json doc = first_document();
    doc["ticket_secret"] = std::string(64, '0');
    REQUIRE(check_document(doc.dump(), nullptr));
    const violation v = GENERATE(values<violation>({
        {R"({"op":"replace","path":"/targets/w2/address","value":"127.0.0.1"})", config_rule::duplicate_host,
         "/targets/w2/address"},
        {R"({"op":"replace","path":"/targets/w2/address","value":"localhost"})", config_rule::range,
         "/targets/w2/address"},
        {R"({"op":"replace","path":"/targets/w2/pool","value":"none"})", config_rule::reference,
         "/targets/w2/pool"},
        {R"({"op":"replace","path":"/targets/w2/capacity/slots","value":0})", config_rule::range,
         "/targets/w2/capacity/slots"},
        {R"({"op":"replace","path":"/targets/w2/port","value":70000})", config_rule::range,
         "/targets/w2/port"},
        {R"({"op":"replace","path":"/pools/main/min_available","value":4})", config_rule::budget,
         "/pools/main/min_available"},
        {R"({"op":"replace","path":"/teams/red/share","value":0})", config_rule::range, "/teams/red/share"},
        {R"({"op":"replace","path":"/teams/red/limit","value":-1})", config_rule::range, "/teams/red/limit"},
        {R"({"op":"replace","path":"/teams/red/limit","value":1.5})", config_rule::type, "/teams/red/limit"},
        {R"({"op":"replace","path":"/teams/red/owner","value":"eve"})", config_rule::reference,
         "/teams/red/owner"},
        {R"({"op":"replace","path":"/teams/red/keys/k/hash","value":"00"})", config_rule::key,
         "/teams/red/keys/k/hash"},
        {R"({"op":"add","path":"/teams/red/colour","value":1})", config_rule::unknown_member,
         "/teams/red/colour"},
        {R"({"op":"add","path":"/teams/b~1d","value":{}})", config_rule::name, "/teams/b~1d"},
        {R"({"op":"remove","path":"/teams/red/limit"})", config_rule::missing, "/teams/red/limit"},
        {R"({"op":"add","path":"/services/sort","value":{"pool":"main"}})", config_rule::one_service,
         "/services/sort/pool"},
        {R"({"op":"replace","path":"/authority_month","value":"2027-02"})", config_rule::month,
         "/authority_month"},
        {R"({"op":"remove","path":"/owners/ann/keys/k"})", config_rule::key, "/owners/ann/keys"},
    }));
    const json changed = doc.patch(json::array({json::parse(v.patch)}));
    const auto result = check_document(changed.dump(), nullptr);
    INFO(v.patch);
    REQUIRE_FALSE(result);
    CHECK(result.error().at(0).rule == v.rule);
    CHECK(result.error().at(0).pointer == v.pointer);
}

TEST_CASE("a document above the store's limit is refused for its size before it is parsed")
{
    const auto result = check_document(std::string(max_document_size + 1, ' '), nullptr);
    REQUIRE_FALSE(result);
    CHECK(result.error().at(0).rule == config_rule::size);
}

TEST_CASE("a key matches a record only by its salted hash")
{
    const key_record record{key_id{"k"}, std::string(32, 'a'), hash_key(std::string(32, 'a'), "s").value()};
    CHECK(key_matches(record, "s"));
    CHECK_FALSE(key_matches(record, "t"));
    CHECK_FALSE(key_matches(key_record{key_id{"k"}, std::string(32, 'b'), record.hash}, "s"));
    CHECK_FALSE(key_matches(key_record{}, ""));
}
