#include "store.h"

#include "record.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {

namespace {

using json = nlohmann::json;

constexpr std::chrono::milliseconds answer_time{4};
constexpr const char* base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= text.size() - i ? base64_digits[bits >> (18U - 6U * k) & 63U] : '=';
    }
    return out;
}

std::string from_base64(const std::string& text)
{
    std::string out;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const char c : text) {
        const char* digit = std::find(base64_digits, base64_digits + 64, c);
        if (digit == base64_digits + 64)
            break;
        bits = bits << 6U | static_cast<std::uint32_t>(digit - base64_digits);
        count += 6;
        if (count >= 8) {
            count -= 8;
            out += static_cast<char>(bits >> count & 255U);
        }
    }
    return out;
}

reply answer(int status, const json& body)
{
    return {status, body.dump(), false};
}

std::string query_of(const request& r, const std::string& name)
{
    const auto it = r.query.find(name);
    return it == r.query.end() ? std::string{} : it->second;
}

} // namespace

store::store() : server_{[this](const request& r) { return handle(r); }}
{
    std::thread{[this] {
        while (true) {
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
            const std::lock_guard lock{mutex_};
            expire_leases();
        }
    }}.detach();
}

json store::to_json(const std::string& key, const item& it) const
{
    return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

void store::write_item(const std::string& key, const std::string& value, std::uint64_t lease_id,
                       std::uint64_t revision)
{
    item& it = items_[key];
    it.value = value;
    it.lease = lease_id;
    it.revision = revision;
    if (it.created == 0)
        it.created = revision;
    events_.push_back({revision, key, to_json(key, it)});
    changed_.notify_all();
}

void store::remove_item(const std::string& key, std::uint64_t revision)
{
    if (items_.erase(key) == 0)
        return;
    events_.push_back({revision, key, json{{"key", key}, {"revision", revision}, {"removed", true}}});
    changed_.notify_all();
}

void store::put(const std::string& key, const std::string& text)
{
    const std::lock_guard lock{mutex_};
    write_item(key, to_base64(text), 0, ++revision_);
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    remove_item(key, ++revision_);
}

std::string store::get(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    const auto it = items_.find(key);
    return it == items_.end() ? std::string{} : from_base64(it->second.value);
}

void store::end_lease(std::uint64_t id)
{
    std::vector<std::string> keys;
    for (const auto& [key, it] : items_) {
        if (it.lease == id)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        remove_item(key, ++revision_);
    leases_.erase(id);
}

void store::expire_leases()
{
    std::vector<std::uint64_t> ended;
    for (const auto& [id, l] : leases_) {
        if (unix_ms() >= l.ends_at_ms)
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        end_lease(id);
}

reply store::handle(const request& r)
{
    if (r.path == "/kv-watch")
        return watch(r);
    std::this_thread::sleep_for(answer_time);
    const std::lock_guard lock{mutex_};
    expire_leases();
    if (r.path == "/kv-key") {
        const auto it = items_.find(query_of(r, "key"));
        if (it == items_.end())
            return answer(404, {{"store-revision", revision_}});
        json body = to_json(it->first, it->second);
        body["store-revision"] = revision_;
        return answer(200, body);
    }
    if (r.path == "/kv-range")
        return range(r);
    if (r.path == "/kv-txn")
        return transaction(r);
    if (r.path == "/kv-lease") {
        const json body = json::parse(r.body);
        lease l;
        l.ttl_ms = std::max<std::int64_t>(1000, body.at("ttl-ms").get<std::int64_t>());
        l.ends_at_ms = unix_ms() + l.ttl_ms;
        leases_[++next_lease_] = l;
        return answer(200, {{"lease", next_lease_}, {"ttl-ms", l.ttl_ms}});
    }
    const std::size_t slash = r.path.rfind('/');
    const std::string call = r.path.substr(0, slash);
    if (call == "/kv-keep" || call == "/kv-lease-end") {
        const auto it = leases_.find(std::stoull(r.path.substr(slash + 1)));
        if (it == leases_.end())
            return answer(404, json::object());
        if (call == "/kv-lease-end") {
            end_lease(it->first);
            return answer(200, json::object());
        }
        it->second.ends_at_ms = unix_ms() + it->second.ttl_ms;
        return answer(200, {{"ttl-ms", it->second.ttl_ms}});
    }
    return answer(400, json::object());
}

reply store::range(const request& r)
{
    constexpr std::size_t page = 500;
    const std::string prefix = query_of(r, "prefix");
    const std::string after = query_of(r, "after");
    json body{{"items", json::array()}, {"has-more", false}, {"store-revision", revision_}};
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it) {
        if (it->first <= after && !after.empty())
            continue;
        if (body["items"].size() == page) {
            body["has-more"] = true;
            break;
        }
        body["items"].push_back(to_json(it->first, it->second));
    }
    return answer(200, body);
}

reply store::watch(const request& r)
{
    const std::string prefix = query_of(r, "prefix");
    const std::uint64_t after = std::stoull(query_of(r, "after"));
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{std::stoll(query_of(r, "wait-ms"))};
    std::unique_lock lock{mutex_};
    while (true) {
        json body{{"events", json::array()}, {"store-revision", revision_}};
        const auto first =
            std::upper_bound(events_.begin(), events_.end(), after,
                             [](std::uint64_t revision, const event& e) { return revision < e.revision; });
        for (auto it = first; it != events_.end(); ++it) {
            if (it->key.starts_with(prefix))
                body["events"].push_back(it->text);
        }
        if (!body["events"].empty() || std::chrono::steady_clock::now() >= until)
            return answer(200, body);
        changed_.wait_until(lock, until);
    }
}

reply store::transaction(const request& r)
{
    const json body = json::parse(r.body);
    bool holds = true;
    json current = json::array();
    for (const json& row : body.value("expected-rev", json::array())) {
        const std::string key = row.at("key").get<std::string>();
        const auto it = items_.find(key);
        const std::uint64_t revision = it == items_.end() ? 0 : it->second.revision;
        holds = holds && revision == row.at("revision").get<std::uint64_t>();
        if (it != items_.end())
            current.push_back(to_json(key, it->second));
    }
    if (!holds)
        return answer(412, {{"items", current}, {"store-revision", revision_}});
    for (const json& row : body.value("writes", json::array())) {
        const std::uint64_t id = row.value("lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id))
            return answer(404, json::object());
    }
    ++revision_;
    for (const json& row : body.value("writes", json::array()))
        write_item(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
                   row.value("lease", std::uint64_t{0}), revision_);
    for (const json& key : body.value("remove", json::array()))
        remove_item(key.get<std::string>(), revision_);
    return answer(200, {{"revision", revision_}});
}

} // namespace review
