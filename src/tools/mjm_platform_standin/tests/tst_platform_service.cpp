#include "manual_executor.h"
#include "net/io_runtime.h"
#include "platform/http_host_list.h"
#include "platform/http_kv_store.h"
#include "platform_service.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <optional>

using namespace mjm;
using nlohmann::json;

namespace {

// Long enough never to be reached in a test that passes.
constexpr std::chrono::minutes never{10};

struct service_fixture {
    service_fixture() { runtime.start(); }

    template <typename Value, typename Call>
    tl::expected<Value, store_errc> wait(Call call)
    {
        std::optional<tl::expected<Value, store_errc>> result;
        call([&result](const tl::expected<Value, store_errc>& r) { result = r; });
        callbacks.run_until([&result] { return result.has_value(); });
        return *result;
    }
    tl::expected<store_revision, store_errc> put(const kv_write& write)
    {
        return wait<store_revision>([&](auto done) { store.put(write, done); });
    }
    tl::expected<kv_read, store_errc> get(const std::string& key, store_revision known = 0)
    {
        return wait<kv_read>([&](auto done) { store.get(key, known, done); });
    }
    json admin(const std::string& method, const std::string& path, const json& body = {})
    {
        http_request request;
        request.method = method;
        request.path = path;
        request.body = body.is_null() ? "" : body.dump();
        std::optional<tl::expected<http_response, http_errc>> reply;
        client.send({"127.0.0.1", ports.admin}, request, never,
                    [&](const auto& r) { callbacks.post([&reply, r] { reply = r; }); });
        callbacks.run_until([&reply] { return reply.has_value(); });
        return json::parse(reply->value().body);
    }

    manual_executor callbacks;
    io_runtime runtime;
    platform_service service{runtime, {}};
    platform_ports ports = service.listen().value();
    http_client client{runtime, {64, 64 << 20, never, never}};
    platform_endpoint endpoint{{"127.0.0.1", ports.service}, "h1", never};
    http_kv_store store{client, callbacks, endpoint};
    http_host_list hosts{client, callbacks, endpoint};
};

} // namespace

TEST_CASE("guards against a lost update, a stale read and damaged values")
{
    service_fixture f;
    const std::string value{"\0\xff\r\n&", 5};
    const store_revision first = f.put({"a/b?&=", value, store_revision{0}, 0}).value();
    CHECK(f.put({"a/b?&=", "other", store_revision{0}, 0}).error() == store_errc::conflict);
    CHECK(f.get("a/b?&=")->entry.value == value);
    CHECK(f.get("a/b?&=", first)->unchanged);
    const store_revision second = f.put({"a/b?&=", "next", first, 0}).value();
    CHECK(second > first);
    const kv_read read = f.get("a/b?&=", first).value();
    CHECK_FALSE(read.unchanged);
    CHECK(read.entry.value == "next");
    CHECK(read.entry.revision == second);
    REQUIRE(f.put({"a/c", "c", std::nullopt, 0}));
    REQUIRE(f.put({"b", "b", std::nullopt, 0}));
    CHECK(f.wait<std::vector<kv_entry>>([&](auto done) { f.store.list("a/", done); })->size() == 2);
    CHECK(f.wait<void>([&](auto done) { f.store.erase("b", first, done); }).error() == store_errc::conflict);
    CHECK(f.wait<void>([&](auto done) { f.store.erase("b", std::nullopt, done); }));
    CHECK(f.get("b").error() == store_errc::not_found);
    CHECK(f.put({"big", std::string((1 << 20) + 1, 'x'), std::nullopt, 0}).error() == store_errc::too_large);
    CHECK(f.put({"big", std::string(3 << 20, 'x'), std::nullopt, 0}).error() == store_errc::too_large);
}

TEST_CASE("guards against keys that outlive their lease")
{
    service_fixture f;
    const auto grant = [&f](duration ttl) {
        return f.wait<store_lease_id>([&](auto done) { f.store.grant_lease(ttl, done); }).value();
    };
    const store_lease_id lasting = grant(std::chrono::hours{1});
    REQUIRE(f.put({"lasting", "v", std::nullopt, lasting}));
    CHECK(f.wait<void>([&](auto done) { f.store.keep_alive(lasting, done); }));
    const store_lease_id lapsed = grant(duration{0});
    CHECK(f.put({"lapsed", "v", std::nullopt, lapsed}).error() == store_errc::not_found);
    CHECK(f.wait<void>([&](auto done) { f.store.keep_alive(lapsed, done); }).error() ==
          store_errc::not_found);
    CHECK(f.get("lasting"));
}

TEST_CASE("guards against a lost answer that hides the effect of the write")
{
    service_fixture f;
    f.admin("POST", "/admin/faults", {{"lose_answers", 1.0}});
    const store_errc ec = f.put({"k", "v", store_revision{0}, 0}).error();
    CHECK(may_have_taken_effect(ec));
    CHECK(f.get("k")->entry.value == "v");
    CHECK(f.admin("GET", "/admin/counters").at("counters").at("lost_answers") == 1);
}

TEST_CASE("guards against outages that are reported wrongly or that do not end")
{
    service_fixture f;
    f.admin("POST", "/admin/faults", {{"outage", "refuse"}});
    CHECK(f.get("k").error() == store_errc::unreachable);
    f.admin("POST", "/admin/faults", {{"outage", "drop"}});
    CHECK(f.put({"k", "v", std::nullopt, 0}).error() == store_errc::timed_out);
    f.admin("POST", "/admin/faults", {{"outage", "hang"}});
    std::optional<store_errc> hung;
    f.store.get("k", 0, [&](const auto& r) { hung = r.error(); });
    while (f.admin("GET", "/admin/counters").at("counters").at("calls") != 2) {
    }
    CHECK_FALSE(hung.has_value());
    f.admin("POST", "/admin/faults", {{"outage", "none"}});
    f.callbacks.run_until([&] { return hung.has_value(); });
    CHECK(f.get("k").error() == store_errc::not_found);
    f.admin("POST", "/admin/faults", {{"blocked_clients", {"h1"}}});
    CHECK(f.get("k").error() == store_errc::timed_out);
}

TEST_CASE("guards against a refused call that took effect")
{
    service_fixture f;
    f.admin("POST", "/admin/faults", {{"rate_cap", 1}});
    store_errc ec{};
    int refused = 0;
    // At most one call in each second is accepted, so that a refusal follows after a few calls.
    for (int i = 0; refused == 0; ++i) {
        const tl::expected<store_revision, store_errc> r = f.put({std::to_string(i), "v", std::nullopt, 0});
        if (!r) {
            ec = r.error();
            refused = i;
        }
    }
    CHECK(ec == store_errc::overloaded);
    f.admin("POST", "/admin/faults", {{"rate_cap", 0}});
    CHECK(f.get(std::to_string(refused)).error() == store_errc::not_found);
}

TEST_CASE("guards against a host list without lag, or one that never changes")
{
    service_fixture f;
    const auto read = [&f] {
        return f.wait<std::vector<listed_host>>([&](auto done) { f.hosts.read(done); }).value();
    };
    const json one{{"hosts", {{{"id", "t1"}, {"state", "live"}}}}};
    const json two{{"hosts", {{{"id", "t1"}, {"state", "leaving"}}, {{"id", "t2"}, {"state", "live"}}}}};
    CHECK(read().empty());
    f.admin("PUT", "/admin/hosts", one);
    CHECK(read().at(0).state == host_state::live);
    f.admin("POST", "/admin/faults", {{"host_list_lag_ms", 10'000'000}});
    f.admin("PUT", "/admin/hosts", two);
    CHECK(read().size() == 1);
    f.admin("POST", "/admin/faults", {{"host_list_lag_ms", 0}});
    f.admin("PUT", "/admin/hosts", two);
    REQUIRE(read().size() == 2);
    CHECK(read().at(0).state == host_state::leaving);
}
