#pragma once

#include "configuration/config_commit.h"
#include "configuration/key_hash.h"
#include "test_store.h"

#include <nlohmann/json.hpp>

namespace mjm::test {

using json = nlohmann::json;

inline constexpr wall_time december{std::chrono::sys_days{std::chrono::year{2026} / 12 / 10}};
inline constexpr wall_time january{std::chrono::sys_days{std::chrono::year{2027} / 1 / 2}};

inline json key(const std::string& secret)
{
    const std::string salt(32, 'a');
    return {{"salt", salt}, {"hash", hash_key(salt, secret).value_or("")}};
}

/// Document without version: `ann` holds the authority in December 2026 and `bob` in January 2027; the pool
/// `main` has three targets, the pool `spare` has none.
inline json first_document()
{
    json doc = {
        {"authority_month", "2026-12"},
        {"calendar", {{"2026-12", "ann"}, {"2027-01", "bob"}}},
        {"owners",
         {{"ann", {{"keys", {{"k", key("ann-key")}}}}}, {"bob", {{"keys", {{"k", key("bob-key")}}}}}}},
        {"operators", {{"olga", {{"keys", {{"k", key("olga-key")}}}}}}},
        {"teams",
         {{"red", {{"owner", "ann"}, {"share", 1.0}, {"limit", 10}, {"keys", {{"k", key("red-0")}}}}}}},
        {"services", {{"book", {{"pool", "main"}}}}},
        {"pools", {{"main", {{"min_available", 1}}}, {"spare", {{"spare", true}}}}},
        {"targets", json::object()}};
    for (int i = 1; i <= 3; ++i) {
        const std::string n = std::to_string(i);
        doc["targets"]["w" + n] = {{"address", "127.0.0." + n},
                                   {"port", 7000},
                                   {"zone", "z" + n},
                                   {"rack", "r1"},
                                   {"pool", "main"},
                                   {"capacity", {{"milli_cpu", 8000}, {"memory_mib", 1024}, {"slots", 8}}}};
    }
    return doc;
}

inline std::string replace(const std::string& path, const json& value)
{
    return json::array({{{"op", "replace"}, {"path", path}, {"value", value}}}).dump();
}

/// One process that commits changes, with its own access to the store.
struct committer {
    committer(event_loop& l, store_state& state, random_source& random,
              const config_commit_settings& settings = {})
        : loop{l}, store{l, state, random}, commit{store, promise, settings}
    {
        commit.tick(loop.now());
    }

    void run(duration d)
    {
        for (const timestamp end = loop.now() + d; loop.now() < end; commit.tick(loop.now()))
            loop.run_for(std::chrono::milliseconds{10});
    }
    config_commit::result_callback store_result_in(std::optional<change_result>& out)
    {
        return [&out](const change_result& result) { out = result; };
    }
    change_result bootstrap(const std::string& id = "first")
    {
        std::optional<change_result> result;
        commit.bootstrap(id, first_document().dump(), december, store_result_in(result));
        run(std::chrono::seconds{3});
        return result.value_or(change_result{});
    }
    tl::expected<void, commit_refusal> propose(const std::string& id, std::uint64_t base,
                                               const std::string& patch)
    {
        std::optional<tl::expected<void, commit_refusal>> result;
        commit.propose({id, base, patch, "operator:olga", ""},
                       [&result](const tl::expected<void, commit_refusal>& r) { result = r; });
        run(std::chrono::seconds{2});
        return result.value_or(tl::unexpected{commit_refusal{}});
    }
    change_result accept(const std::string& id, const std::string& key = "ann-key")
    {
        std::optional<change_result> result;
        commit.accept(id, key, std::nullopt, december, store_result_in(result));
        run(std::chrono::seconds{5});
        return result.value_or(change_result{});
    }

    event_loop& loop;
    test_store store;
    commit_promise promise;
    config_commit commit;
};

} // namespace mjm::test
