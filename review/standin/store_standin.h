#pragma once

#include "base64.h"
#include "http_answers.h"
#include "json_fields.h"

#include "net/http_server.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace review {

using json = nlohmann::json;
using mjm::platform::decode_base64;
using mjm::platform::encode_base64;
using mjm::platform::integer_field;
using mjm::platform::parse_json;
using mjm::platform::text_field;

inline constexpr std::size_t page_items = 500;

inline std::string query_text(const mjm::http_request& request, const char* name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string{} : it->second;
}

inline std::uint64_t query_number(const mjm::http_request& request, const char* name)
{
    return std::strtoull(query_text(request, name).c_str(), nullptr, 10);
}

/// Stand-in for the platform's store, with the calls, answers and conditions of the protocol page. Used on
/// one thread.
class store_standin {
public:
    using steady = std::chrono::steady_clock;
    /// Returns the text of an item for a machine. It gives each machine its own address of a worker, so that
    /// the link between them can be cut.
    using translator = std::function<std::string(const std::string& text, std::size_t machine)>;

    explicit store_standin(translator translate) : translate_{std::move(translate)} {}

    void handle(const mjm::http_request& request, std::size_t machine,
                const mjm::http_server::responder& respond);
    /// Writes of the operator and of the workers.
    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0);
    void remove(const std::string& key);
    [[nodiscard]] const std::string* find(const std::string& key) const;
    /// A machine that is cut off gets no answers, and its calls have no effect.
    void cut(std::size_t machine, bool off);
    /// While the store is down, no call has an effect, and leases don't run.
    void set_down(bool down);
    [[nodiscard]] bool down() const { return down_; }
    /// Ends waits and leases that are over.
    void tick();

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease {
        std::int64_t ttl_ms = 0;
        steady::time_point ends;
    };
    struct event {
        std::string key;
        std::uint64_t revision = 0;
        bool removed = false;
        item content;
    };
    struct watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::size_t machine = 0;
        steady::time_point until;
        mjm::http_server::responder respond;
    };

    void range(const mjm::http_request& request, std::size_t machine,
               const mjm::http_server::responder& respond);
    void start_watch(const mjm::http_request& request, std::size_t machine,
                     const mjm::http_server::responder& respond);
    void transact(const mjm::http_request& request, std::size_t machine,
                  const mjm::http_server::responder& respond);
    void change_lease(const mjm::http_request& request, const mjm::http_server::responder& respond);
    /// Answers the watch if there are events for it, or if its wait is over.
    [[nodiscard]] bool answer(const watch& w, bool even_if_empty);
    void answer_watches();
    void end_lease(std::uint64_t id);
    void drop_watches(const std::function<bool(const watch&)>& concerned);
    [[nodiscard]] std::string encode(const std::string& key, const item& it, std::size_t machine) const;

    const translator translate_;
    std::map<std::string, item> items_;
    std::map<std::uint64_t, lease> leases_;
    std::deque<event> history_;
    std::list<watch> watches_;
    std::map<std::size_t, bool> cut_;
    std::uint64_t revision_ = 1;
    std::uint64_t next_lease_ = 7000;
    bool down_ = false;
    steady::time_point down_since_;
};

inline std::string store_standin::encode(const std::string& key, const item& it, std::size_t machine) const
{
    return json{{"key", key},
                {"value", encode_base64(translate_(it.value, machine))},
                {"revision", it.revision},
                {"created", it.created},
                {"lease", it.lease}}
        .dump();
}

inline void store_standin::handle(const mjm::http_request& request, std::size_t machine,
                                  const mjm::http_server::responder& respond)
{
    tick();
    if (down_ || cut_[machine]) {
        respond(dropped());
        return;
    }
    if (request.path == "/kv-key") {
        const std::string key = query_text(request, "key");
        const auto it = items_.find(key);
        if (it == items_.end()) {
            respond(answer_of({{"store-revision", revision_}}, 404));
            return;
        }
        json body = json::parse(encode(key, it->second, machine));
        body["store-revision"] = revision_;
        respond(answer_of(body));
    } else if (request.path == "/kv-range") {
        range(request, machine, respond);
    } else if (request.path == "/kv-watch") {
        start_watch(request, machine, respond);
    } else if (request.path == "/kv-txn") {
        transact(request, machine, respond);
    } else {
        change_lease(request, respond);
    }
}

inline void store_standin::range(const mjm::http_request& request, std::size_t machine,
                                 const mjm::http_server::responder& respond)
{
    const std::string prefix = query_text(request, "prefix");
    const std::string after = query_text(request, "after");
    json body{{"items", json::array()}, {"has-more", false}, {"store-revision", revision_}};
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it) {
        if (!after.empty() && it->first <= after)
            continue;
        if (body["items"].size() == page_items) {
            body["has-more"] = true;
            break;
        }
        body["items"].push_back(json::parse(encode(it->first, it->second, machine)));
    }
    respond(answer_of(body));
}

inline void store_standin::start_watch(const mjm::http_request& request, std::size_t machine,
                                       const mjm::http_server::responder& respond)
{
    watch w;
    w.prefix = query_text(request, "prefix");
    w.after = query_number(request, "after");
    w.machine = machine;
    w.until = steady::now() + std::chrono::milliseconds{query_number(request, "wait-ms")};
    w.respond = respond;
    if (!answer(w, false))
        watches_.push_back(std::move(w));
}

inline bool store_standin::answer(const watch& w, bool even_if_empty)
{
    json events = json::array();
    for (const event& e : history_) {
        if (e.revision <= w.after || !e.key.starts_with(w.prefix))
            continue;
        if (e.removed)
            events.push_back({{"key", e.key}, {"revision", e.revision}, {"removed", true}});
        else
            events.push_back(json::parse(encode(e.key, e.content, w.machine)));
    }
    if (events.empty() && !even_if_empty)
        return false;
    w.respond(answer_of({{"events", events}, {"store-revision", revision_}}));
    return true;
}

inline void store_standin::answer_watches()
{
    watches_.remove_if([this](const watch& w) { return answer(w, false); });
}

inline void store_standin::transact(const mjm::http_request& request, std::size_t machine,
                                    const mjm::http_server::responder& respond)
{
    const json body = parse_json(request.body);
    json current = json::array();
    bool holds = true;
    for (const json& row : body.value("expected-rev", json::array())) {
        const std::string key = row.at("key").get<std::string>();
        const auto it = items_.find(key);
        holds = holds &&
                row.at("revision").get<std::uint64_t>() == (it == items_.end() ? 0 : it->second.revision);
        if (it != items_.end())
            current.push_back(json::parse(encode(key, it->second, machine)));
    }
    if (!holds) {
        respond(answer_of({{"items", current}, {"store-revision", revision_}}, 412));
        return;
    }
    const json writes = body.value("writes", json::array());
    for (const json& row : writes) {
        const std::uint64_t id = row.value("lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id)) {
            respond(answer_of(json::object(), 404));
            return;
        }
    }
    ++revision_;
    for (const json& row : writes) {
        const std::string key = row.at("key").get<std::string>();
        item& it = items_[key];
        it.value = decode_base64(row.at("value").get<std::string>()).value_or("");
        it.created = it.created == 0 ? revision_ : it.created;
        it.revision = revision_;
        it.lease = row.value("lease", std::uint64_t{0});
        history_.push_back({key, revision_, false, it});
    }
    for (const json& key : body.value("remove", json::array())) {
        if (items_.erase(key.get<std::string>()) > 0)
            history_.push_back({key.get<std::string>(), revision_, true, {}});
    }
    respond(answer_of({{"revision", revision_}}));
    answer_watches();
}

inline void store_standin::change_lease(const mjm::http_request& request,
                                        const mjm::http_server::responder& respond)
{
    if (request.path == "/kv-lease") {
        const std::uint64_t id = ++next_lease_;
        const std::int64_t ttl = integer_field(parse_json(request.body), "ttl-ms").value_or(0);
        leases_[id] = {ttl, steady::now() + std::chrono::milliseconds{ttl}};
        respond(answer_of({{"lease", id}, {"ttl-ms", ttl}}));
        return;
    }
    const std::vector<std::string> path = request.path_segments();
    const std::uint64_t id = path.size() == 2 ? std::strtoull(path[1].c_str(), nullptr, 10) : 0;
    const auto it = leases_.find(id);
    if (it == leases_.end()) {
        respond(answer_of(json::object(), 404));
        return;
    }
    if (path[0] == "kv-keep") {
        it->second.ends = steady::now() + std::chrono::milliseconds{it->second.ttl_ms};
        respond(answer_of({{"ttl-ms", it->second.ttl_ms}}));
    } else {
        end_lease(id);
        respond(answer_of(json::object()));
    }
}

inline void store_standin::end_lease(std::uint64_t id)
{
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, it] : items_) {
        if (it.lease == id)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        remove(key);
}

inline void store_standin::put(const std::string& key, const std::string& value, std::uint64_t lease)
{
    item& it = items_[key];
    ++revision_;
    it.value = value;
    it.created = it.created == 0 ? revision_ : it.created;
    it.revision = revision_;
    it.lease = lease;
    history_.push_back({key, revision_, false, it});
    answer_watches();
}

inline void store_standin::remove(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    history_.push_back({key, revision_, true, {}});
    answer_watches();
}

inline const std::string* store_standin::find(const std::string& key) const
{
    const auto it = items_.find(key);
    return it == items_.end() ? nullptr : &it->second.value;
}

inline void store_standin::drop_watches(const std::function<bool(const watch&)>& concerned)
{
    watches_.remove_if([&](const watch& w) {
        if (!concerned(w))
            return false;
        w.respond(dropped());
        return true;
    });
}

inline void store_standin::cut(std::size_t machine, bool off)
{
    cut_[machine] = off;
    if (off)
        drop_watches([machine](const watch& w) { return w.machine == machine; });
}

inline void store_standin::set_down(bool down)
{
    if (down == down_)
        return;
    down_ = down;
    if (down) {
        down_since_ = steady::now();
        drop_watches([](const watch&) { return true; });
        return;
    }
    for (auto& [id, it] : leases_)
        it.ends += steady::now() - down_since_;
}

inline void store_standin::tick()
{
    if (down_)
        return;
    const steady::time_point now = steady::now();
    std::vector<std::uint64_t> over;
    for (const auto& [id, it] : leases_) {
        if (now >= it.ends)
            over.push_back(id);
    }
    for (const std::uint64_t id : over)
        end_lease(id);
    watches_.remove_if([&](const watch& w) { return now >= w.until && answer(w, true); });
}

} // namespace review
