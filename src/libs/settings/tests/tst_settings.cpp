#include "settings/settings_schema.h"

#include <catch2/catch.hpp>

#include "core/identifiers.h"

using namespace mjm;

namespace {

enum class mode { slow, fast };

struct peer_settings {
    host_id name;
    std::string address = "127.0.0.1";
};

struct limit_settings {
    std::int64_t low = 1;
    std::int64_t high = 10;
};

struct test_settings {
    std::string zone = "a|b";
    std::uint16_t port = 8080;
    double weight = 0.5;
    bool open = false;
    duration ttl{std::chrono::seconds{6}};
    mode speed = mode::slow;
    std::vector<peer_settings> peers;
    limit_settings limits;
};

} // namespace

template <>
struct mjm::enum_names<mode> {
    static constexpr std::array<std::pair<mode, std::string_view>, 2> entries{{
        {mode::slow, "slow"},
        {mode::fast, "fast"},
    }};
};

namespace {

settings_schema<test_settings> make_schema()
{
    settings_schema<peer_settings> peer;
    peer.string("name", &peer_settings::name, "Host name.", 1, 8, presence::required)
        .ip_address("address", &peer_settings::address, "Address.");
    settings_schema<limit_settings> limits;
    limits.integer("low", &limit_settings::low, 0, 100, "Lower.")
        .integer("high", &limit_settings::high, 0, 100, "Upper.")
        .check({"low", "high"}, [](const limit_settings& s) -> std::optional<std::string> {
            if (s.low > s.high)
                return "low at most high";
            return std::nullopt;
        });
    settings_schema<test_settings> schema;
    schema.string("zone", &test_settings::zone, "Zone.", 1, 8)
        .integer("port", &test_settings::port, 0, 100'000, "Port.")
        .real("weight", &test_settings::weight, 0, 1, "Weight.")
        .boolean("open", &test_settings::open, "Open.")
        .milliseconds("ttl_ms", &test_settings::ttl, std::chrono::milliseconds{10}, std::chrono::seconds{60},
                      "Lease time.")
        .enumeration("speed", &test_settings::speed, "Speed.")
        .list("peers", &test_settings::peers, peer, 0, 2, "Peers.")
        .group("limits", &test_settings::limits, limits, "Limits.");
    return schema;
}

/// The only error of the text, as `path code`.
std::string only_error(const std::string& text)
{
    const tl::expected<test_settings, settings_errors> read = make_schema().parse(text, "f.json");
    if (read || read.error().size() != 1)
        return "not one error";
    return read.error()[0].path + " " + std::string{name_of(read.error()[0].code)};
}

} // namespace

TEST_CASE("values of every type reach their members, absent keys keep their defaults")
{
    const tl::expected<test_settings, settings_errors> read = make_schema().parse(
        R"({"port": 65535, "weight": 1, "open": true, "ttl_ms": 250, "speed": "fast",
            "peers": [{"name": "h1"}, {"name": "h2", "address": "::1"}], "limits": {"low": 2}})",
        "f.json");
    REQUIRE(read);
    CHECK(read->zone == "a|b");
    CHECK(read->port == 65535);
    CHECK(read->weight == 1.0);
    CHECK(read->open);
    CHECK(read->ttl == std::chrono::milliseconds{250});
    CHECK(read->speed == mode::fast);
    REQUIRE(read->peers.size() == 2);
    CHECK(read->peers[0].address == "127.0.0.1");
    CHECK(read->peers[1].name == host_id{"h2"});
    CHECK(read->limits.low == 2);
    CHECK(read->limits.high == 10);
}

TEST_CASE("each kind of wrong value is rejected with its path and type")
{
    CHECK(only_error(R"({"prot": 1})") == "prot unknown_key");
    CHECK(only_error(R"({"port": "80"})") == "port wrong_type");
    CHECK(only_error(R"({"port": 80.0})") == "port wrong_type");
    // The member holds 16 bits, although the declared range is wider.
    CHECK(only_error(R"({"port": 65536})") == "port out_of_range");
    CHECK(only_error(R"({"port": 18446744073709551615})") == "port out_of_range");
    CHECK(only_error(R"({"zone": ""})") == "zone out_of_range");
    CHECK(only_error(R"({"weight": 1.01})") == "weight out_of_range");
    CHECK(only_error(R"({"weight": null})") == "weight wrong_type");
    CHECK(only_error(R"({"open": 1})") == "open wrong_type");
    CHECK(only_error(R"({"ttl_ms": 9})") == "ttl_ms out_of_range");
    CHECK(only_error(R"({"speed": "Fast"})") == "speed out_of_range");
    CHECK(only_error(R"({"peers": {}})") == "peers wrong_type");
    CHECK(only_error(R"({"peers": [7]})") == "peers[0] wrong_type");
    CHECK(only_error(R"({"peers": [{}]})") == "peers[0].name missing_key");
    CHECK(only_error(R"({"peers": [{"name": "h", "address": "localhost"}]})") ==
          "peers[0].address out_of_range");
    CHECK(only_error(R"({"peers": [{"name": "h", "address": "127.0.0.1\u0000x"}]})") ==
          "peers[0].address out_of_range");
    CHECK(only_error(R"({"peers": [{"name": "a"}, {"name": "b"}, {"name": "c"}]})") == "peers out_of_range");
    CHECK(only_error(R"({"limits": {"low": 11}})") == "limits.low, limits.high contradiction");
    CHECK(only_error(R"({"open": true, "open": false})") == "open duplicate_key");
    CHECK(only_error(R"({"peers": [{"name": "a"}, {"name": "b", "name": "c"}]})") ==
          "peers[1].name duplicate_key");
    CHECK(only_error("[]") == " wrong_type");
    CHECK(only_error("{") == " not_json");
    CHECK(only_error("") == " not_json");
}

TEST_CASE("all errors are reported, and a rule over a wrong value adds none")
{
    const tl::expected<test_settings, settings_errors> read =
        make_schema().parse(R"({"x": 1, "port": -1, "limits": {"low": 200, "y": 2}})", "f.json");
    REQUIRE_FALSE(read);
    REQUIRE(read.error().size() == 4);
    CHECK(to_string(read.error()[1]) == "f.json: port: out_of_range: found -1, allowed integer: 0 to 65535");
}

TEST_CASE("an unreadable file is an error of its own")
{
    const tl::expected<test_settings, settings_errors> read =
        make_schema().load("/nonexistent/settings.json");
    REQUIRE_FALSE(read);
    CHECK(read.error()[0].code == settings_errc::unreadable);
    const tl::expected<test_settings, settings_errors> directory = make_schema().load("/");
    REQUIRE_FALSE(directory);
    CHECK(directory.error()[0].code == settings_errc::unreadable);
}

TEST_CASE("the table lists nested keys, defaults and ranges, with pipes escaped")
{
    const std::string table = make_schema().markdown();
    CHECK(table.find("| `zone` | string | `\"a\\|b\"` | 1 to 8 bytes | Zone. |\n") != std::string::npos);
    CHECK(table.find("| `peers[].name` | string | required | 1 to 8 bytes | Host name. |\n") !=
          std::string::npos);
    CHECK(table.find("| `limits.high` | integer | `10` | 0 to 100 | Upper. |\n") != std::string::npos);
    CHECK(table.find("| `ttl_ms` | integer (ms) | `6000` | 10 to 60000 | Lease time. |\n") !=
          std::string::npos);
}

TEST_CASE("a key declared twice is a programming error")
{
    settings_schema<limit_settings> schema;
    schema.integer("low", &limit_settings::low, 0, 1, "");
    CHECK_THROWS_AS(schema.integer("low", &limit_settings::high, 0, 1, ""), std::logic_error);
}

namespace {

settings_schema<test_settings> make_generated_schema()
{
    settings_schema<test_settings> schema;
    schema.string("zone", &test_settings::zone, "Zone.", 1, 8, presence::expected)
        .integer("port", &test_settings::port, 1, 100'000, "Port.")
        .real("weight", &test_settings::weight, 0.1, 1, "Weight.")
        .boolean("open", &test_settings::open, "Open.", presence::required)
        .milliseconds("ttl_ms", &test_settings::ttl, std::chrono::milliseconds{10}, std::chrono::seconds{60},
                      "Lease time.")
        .accept_generated();
    return schema;
}

settings_reading<test_settings> read_generated(const std::string& text)
{
    return make_generated_schema().read(text, "f.json");
}

} // namespace

// Guards against a program that doesn't start because of the form of a number.
TEST_CASE("a generated text may have fractions, values above the range and null for missing ones")
{
    const settings_reading<test_settings> read =
        read_generated(R"({"zone": "a", "port": 80.9, "weight": 7, "open": true, "ttl_ms": 250.5})");
    CHECK(read.errors.empty());
    CHECK(read.settings.port == 80);
    CHECK(read.settings.weight == 1.0);
    CHECK(read.settings.ttl == std::chrono::microseconds{250'500});
    const settings_reading<test_settings> large = read_generated(
        R"({"zone": "a", "port": 1e300, "weight": null, "open": true, "ttl_ms": 18446744073709551615})");
    CHECK(large.errors.empty());
    CHECK(large.settings.port == 65535);
    CHECK(large.settings.weight == 0.5);
    CHECK(large.settings.ttl == std::chrono::seconds{60});
}

TEST_CASE("a value that can't be used is reported, and its default holds")
{
    const settings_reading<test_settings> read =
        read_generated(R"({"port": 0, "weight": 0, "open": true, "ttl_ms": false, "later": {"a": 1}})");
    REQUIRE(read.errors.size() == 5);
    CHECK_FALSE(read.is_fatal());
    CHECK(read.errors[0].code == settings_errc::unknown_key);
    CHECK(read.errors[1].path == "zone");
    CHECK(read.errors[1].code == settings_errc::missing_key);
    CHECK(read.errors[2].path == "port");
    CHECK(read.errors[3].path == "weight");
    CHECK(read.errors[4].path == "ttl_ms");
    CHECK_FALSE(read_generated(R"({"zone": "a", "open": true, "open": false})").is_fatal());
    CHECK(read.settings.port == 8080);
    CHECK(read.settings.weight == 0.5);
    CHECK(read.settings.ttl == std::chrono::seconds{6});
    CHECK_FALSE(make_generated_schema().parse(R"({"zone": "a", "port": 0, "open": true})", "f.json"));
}

TEST_CASE("a program can't run without a required value, nor with a text that is no JSON object")
{
    CHECK(read_generated(R"({"zone": "a", "open": null})").is_fatal());
    CHECK(read_generated(R"({"zone": "a", "open": 1})").is_fatal());
    CHECK(read_generated("{").is_fatal());
    CHECK(read_generated("[]").is_fatal());
    CHECK(make_generated_schema().read_file("/nonexistent").is_fatal());
}
