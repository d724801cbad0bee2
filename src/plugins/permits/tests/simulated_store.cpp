#include "permits/tests/simulated_store.h"

#include <vector>

namespace mjm {

namespace {

constexpr duration call_timeout{std::chrono::seconds{1}};
constexpr std::uint64_t max_one_way_us = 5'000;
constexpr std::uint64_t max_effect_delay_us = 4'000'000;

} // namespace

std::unique_ptr<simulated_store::client> simulated_store::connect()
{
    return std::make_unique<client>(*this);
}

void simulated_store::schedule(duration delay, std::function<void()> action)
{
    events_.emplace(now_ + delay, std::move(action));
}

void simulated_store::advance(timestamp now)
{
    while (!events_.empty() && events_.begin()->first <= now) {
        now_ = events_.begin()->first;
        const std::function<void()> action = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        action();
    }
    now_ = now;
    std::erase_if(leases_, [now](const auto& it) { return it.second.expires <= now; });
    std::erase_if(entries_, [this](const auto& it) {
        return it.second.lease != 0 && !leases_.contains(it.second.lease);
    });
}

const kv_entry* simulated_store::find(const std::string& key) const
{
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second.entry;
}

tl::expected<store_revision, store_errc> simulated_store::apply(const kv_write& write)
{
    ++writes_;
    const kv_entry* current = find(write.key);
    if (write.expected && *write.expected != (current == nullptr ? 0 : current->revision))
        return tl::unexpected{store_errc::conflict};
    if (write.lease != 0 && !leases_.contains(write.lease))
        return tl::unexpected{store_errc::not_found};
    entries_[write.key] = {{write.key, write.value, ++revision_}, write.lease};
    return revision_;
}

void simulated_store::client::deliver(std::function<void()> action)
{
    if (paused_)
        deferred_answers_.push_back(std::move(action));
    else
        action();
}

void simulated_store::client::resume()
{
    paused_ = false;
    while (!deferred_answers_.empty()) {
        const std::function<void()> action = std::move(deferred_answers_.front());
        deferred_answers_.pop_front();
        action();
    }
}

template <typename Result>
void simulated_store::client::call(std::function<Result()> effect, std::function<void(Result)> done)
{
    // The result is shared because GCC 12 reports copies of an expected<vector> that holds an error as
    // uninitialised.
    const auto respond = [this, alive = std::weak_ptr<bool>{alive_},
                          done](std::shared_ptr<const Result> result) {
        if (!alive.expired())
            deliver([done, result] { done(*result); });
    };
    random_source& random = store_.random_;
    const duration request_delay{static_cast<duration::rep>(random.below(max_one_way_us) + 1)};
    const duration answer_delay{static_cast<duration::rep>(random.below(max_one_way_us) + 1)};
    const auto fail_later = [this, respond](duration delay, store_errc ec) {
        store_.schedule(delay,
                        [respond, ec] { respond(std::make_shared<const Result>(tl::unexpected{ec})); });
    };
    if (faults.unreachable) {
        fail_later(request_delay, store_errc::unreachable);
    } else if (random.chance(faults.lose_request)) {
        fail_later(call_timeout, store_errc::timed_out);
    } else if (random.chance(faults.lose_answer)) {
        store_.schedule(request_delay, [effect] { effect(); });
        fail_later(call_timeout, store_errc::timed_out);
    } else if (random.chance(faults.late_effect)) {
        store_.schedule(call_timeout +
                            duration{static_cast<duration::rep>(random.below(max_effect_delay_us))},
                        [effect] { effect(); });
        fail_later(call_timeout, store_errc::timed_out);
    } else {
        store_.schedule(request_delay, [&store = store_, effect, respond, answer_delay] {
            const auto result = std::make_shared<const Result>(effect());
            store.schedule(answer_delay, [respond, result] { respond(result); });
        });
    }
}

void simulated_store::client::get(const std::string& key, store_revision known, get_callback done)
{
    using result = tl::expected<kv_read, store_errc>;
    call<result>(
        [&store = store_, key, known]() -> result {
            ++store.reads_;
            const kv_entry* current = store.find(key);
            if (current == nullptr)
                return tl::unexpected{store_errc::not_found};
            if (known != 0 && current->revision == known)
                return kv_read{true, {key, {}, known}};
            return kv_read{false, *current};
        },
        std::move(done));
}

void simulated_store::client::put(const kv_write& write, put_callback done)
{
    using result = tl::expected<store_revision, store_errc>;
    if (faults.confirm_unwritten) {
        const store_revision assumed = write.expected.value_or(0) + 1;
        store_.schedule(duration{1}, [done, assumed] { done(assumed); });
        return;
    }
    call<result>([&store = store_, write] { return store.apply(write); }, std::move(done));
}

void simulated_store::client::erase(const std::string& key, std::optional<store_revision> expected,
                                    erase_callback done)
{
    using result = tl::expected<void, store_errc>;
    call<result>(
        [&store = store_, key, expected]() -> result {
            ++store.writes_;
            const kv_entry* current = store.find(key);
            if (current == nullptr)
                return tl::unexpected{store_errc::not_found};
            if (expected && *expected != current->revision)
                return tl::unexpected{store_errc::conflict};
            store.entries_.erase(key);
            return {};
        },
        std::move(done));
}

void simulated_store::client::list(const std::string& prefix, list_callback done)
{
    using result = tl::expected<std::vector<kv_entry>, store_errc>;
    call<result>(
        [&store = store_, prefix]() -> result {
            ++store.reads_;
            std::vector<kv_entry> out;
            for (auto it = store.entries_.lower_bound(prefix);
                 it != store.entries_.end() && it->first.starts_with(prefix); ++it)
                out.push_back(it->second.entry);
            return out;
        },
        std::move(done));
}

void simulated_store::client::grant_lease(duration ttl, lease_callback done)
{
    using result = tl::expected<store_lease_id, store_errc>;
    call<result>(
        [&store = store_, ttl]() -> result {
            ++store.writes_;
            store.leases_[++store.last_lease_] = {ttl, store.now_ + ttl};
            return store.last_lease_;
        },
        std::move(done));
}

void simulated_store::client::keep_alive(store_lease_id lease, erase_callback done)
{
    using result = tl::expected<void, store_errc>;
    call<result>(
        [&store = store_, lease]() -> result {
            ++store.writes_;
            const auto it = store.leases_.find(lease);
            if (it == store.leases_.end())
                return tl::unexpected{store_errc::not_found};
            it->second.expires = store.now_ + it->second.ttl;
            return {};
        },
        std::move(done));
}

} // namespace mjm
