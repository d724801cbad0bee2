#include "store.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t page_items = 500;
constexpr std::size_t page_bytes = 1 << 20;
constexpr std::size_t most_entries = 32;
constexpr std::chrono::seconds history_length{20};
constexpr std::chrono::milliseconds answer_time{4};

std::string query(const http_request& request, const char* name)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? std::string{} : it->second;
}

http_response answer(int status, const json& body)
{
    return {status, body.dump()};
}

} // namespace

std::string encode_base64(const std::string& bytes)
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k)
            group = group * 256 + (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += k <= n ? digits[(group >> (18 - 6 * k)) & 63U] : '=';
    }
    return out;
}

store::store() : server_{[this](const http_request& request) { return handle(request); }}
{
    expiry_ = std::thread{[this] { expire(); }};
}

store::~store()
{
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    expiry_.join();
}

void store::put(const std::string& key, const std::string& text)
{
    const std::lock_guard lock{mutex_};
    ++revision_;
    write(key, encode_base64(text), 0);
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    if (!items_.contains(key))
        return;
    ++revision_;
    erase(key);
    changed_.notify_all();
}

std::map<std::string, std::string> store::values(const std::string& prefix)
{
    const std::lock_guard lock{mutex_};
    std::map<std::string, std::string> out;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it)
        out[it->first] = it->second.value;
    return out;
}

std::size_t store::count(const std::string& prefix)
{
    const std::lock_guard lock{mutex_};
    std::size_t n = 0;
    for (auto it = items_.lower_bound(prefix); it != items_.end() && it->first.starts_with(prefix); ++it)
        ++n;
    return n;
}

void store::add_old(const std::map<std::string, std::string>& values)
{
    const std::lock_guard lock{mutex_};
    for (const auto& [key, value] : values) {
        ++revision_;
        items_[key] = {value, revision_, revision_, 0};
    }
    history_.clear();
    forgotten_ = revision_;
}

json store::to_json(const std::string& key, const item& it)
{
    return {{"key", key},
            {"value", it.value},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", it.lease}};
}

std::optional<http_response> store::handle(const http_request& request)
{
    std::this_thread::sleep_for(answer_time);
    if (request.path == "/kv-key")
        return get(request);
    if (request.path == "/kv-range")
        return range(request);
    if (request.path == "/kv-watch")
        return watch(request);
    if (request.path == "/kv-txn")
        return commit(request);
    if (request.path == "/kv-lease")
        return grant(request);
    if (request.path.starts_with("/kv-keep/"))
        return keep(request.path.substr(9));
    if (request.path.starts_with("/kv-lease-end/"))
        return end(request.path.substr(14));
    return http_response{404, "{}"};
}

http_response store::get(const http_request& request)
{
    const std::lock_guard lock{mutex_};
    const auto it = items_.find(query(request, "key"));
    if (it == items_.end())
        return answer(404, {{"store-revision", revision_}});
    json body = to_json(it->first, it->second);
    body["store-revision"] = revision_;
    return answer(200, body);
}

http_response store::range(const http_request& request)
{
    const std::string prefix = query(request, "prefix");
    const std::string after = query(request, "after");
    const std::lock_guard lock{mutex_};
    json items = json::array();
    std::size_t bytes = 0;
    auto it = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
    for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
        if (items.size() >= page_items || bytes >= page_bytes)
            break;
        items.push_back(to_json(it->first, it->second));
        bytes += it->second.value.size();
    }
    const bool more = it != items_.end() && it->first.starts_with(prefix);
    return answer(200, {{"items", std::move(items)}, {"has-more", more}, {"store-revision", revision_}});
}

http_response store::watch(const http_request& request)
{
    const std::string prefix = query(request, "prefix");
    const std::uint64_t after = std::stoull("0" + query(request, "after"));
    const steady::time_point until =
        steady::now() + std::chrono::milliseconds{std::stol("0" + query(request, "wait-ms"))};
    std::unique_lock lock{mutex_};
    while (true) {
        if (after < forgotten_)
            return answer(410, json::object());
        json events = json::array();
        for (const event& e : history_) {
            if (e.value.revision <= after || !e.key.starts_with(prefix))
                continue;
            if (e.removed)
                events.push_back({{"key", e.key}, {"revision", e.value.revision}, {"removed", true}});
            else
                events.push_back(to_json(e.key, e.value));
        }
        if (!events.empty() || stopping_ || steady::now() >= until)
            return answer(200, {{"events", std::move(events)}, {"store-revision", revision_}});
        changed_.wait_until(lock, until);
    }
}

http_response store::commit(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return answer(400, json::object());
    const std::lock_guard lock{mutex_};
    const json expected = body.value("expected-rev", json::array());
    const json writes = body.value("writes", json::array());
    const json removals = body.value("remove", json::array());
    if (expected.size() + writes.size() + removals.size() > most_entries)
        return answer(400, json::object());
    json items = json::array();
    bool holds = true;
    for (const json& row : expected) {
        const std::string key = row.at("key").get<std::string>();
        const auto it = items_.find(key);
        if (it != items_.end())
            items.push_back(to_json(key, it->second));
        const std::uint64_t revision = it == items_.end() ? 0 : it->second.revision;
        holds = holds && revision == row.at("revision").get<std::uint64_t>();
    }
    if (!holds)
        return answer(412, {{"items", items}});
    for (const json& row : writes) {
        const std::uint64_t id = row.value("lease", std::uint64_t{0});
        if (id != 0 && !leases_.contains(id))
            return answer(404, json::object());
    }
    ++revision_;
    for (const json& row : writes)
        write(row.at("key").get<std::string>(), row.at("value").get<std::string>(),
              row.value("lease", std::uint64_t{0}));
    for (const json& key : removals)
        erase(key.get<std::string>());
    changed_.notify_all();
    return answer(200, {{"revision", revision_}});
}

http_response store::grant(const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    const std::chrono::milliseconds ttl{body.value("ttl-ms", 1000)};
    const std::lock_guard lock{mutex_};
    const std::uint64_t id = ++next_lease_;
    leases_[id] = {ttl, steady::now() + ttl};
    return answer(200, {{"lease", id}, {"ttl-ms", ttl.count()}});
}

http_response store::keep(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    const auto it = leases_.find(std::stoull("0" + id));
    if (it == leases_.end() || it->second.ends <= steady::now())
        return answer(404, json::object());
    it->second.ends = steady::now() + it->second.ttl;
    return answer(200, {{"ttl-ms", it->second.ttl.count()}});
}

http_response store::end(const std::string& id)
{
    const std::lock_guard lock{mutex_};
    end_lease(std::stoull("0" + id));
    return answer(200, json::object());
}

void store::write(const std::string& key, const std::string& value, std::uint64_t lease_id)
{
    item& it = items_[key];
    it.value = value;
    it.revision = revision_;
    it.created = it.created == 0 ? revision_ : it.created;
    it.lease = lease_id;
    history_.push_back({key, it, false, steady::now()});
}

void store::erase(const std::string& key)
{
    if (items_.erase(key) == 0)
        return;
    item gone;
    gone.revision = revision_;
    history_.push_back({key, gone, true, steady::now()});
}

void store::end_lease(std::uint64_t id)
{
    if (leases_.erase(id) == 0)
        return;
    std::vector<std::string> keys;
    for (const event& e : history_) {
        const auto it = items_.find(e.key);
        if (it != items_.end() && it->second.lease == id)
            keys.push_back(e.key);
    }
    // A key with a lease may be older than the history.
    const auto leader = items_.find("mjm/leader");
    if (leader != items_.end() && leader->second.lease == id)
        keys.push_back(leader->first);
    for (const std::string& key : keys) {
        ++revision_;
        erase(key);
    }
    changed_.notify_all();
}

void store::expire()
{
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        changed_.wait_for(lock, std::chrono::milliseconds{20});
        const steady::time_point now = steady::now();
        std::vector<std::uint64_t> ended;
        for (const auto& [id, it] : leases_) {
            if (it.ends <= now)
                ended.push_back(id);
        }
        for (const std::uint64_t id : ended)
            end_lease(id);
        while (!history_.empty() && now - history_.front().at > history_length) {
            forgotten_ = history_.front().value.revision;
            history_.pop_front();
        }
    }
}

} // namespace review
