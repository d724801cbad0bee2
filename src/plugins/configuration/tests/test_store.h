#pragma once

#include "core/random_source.h"
#include "platform/kv_store.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace mjm::test {

/// Runs events in virtual time. Events with the same time run in the order in which they were added.
class event_loop {
public:
    [[nodiscard]] timestamp now() const { return now_; }
    void after(duration d, std::function<void()> run)
    {
        events_.emplace(std::pair{now_ + d, ++n_}, std::move(run));
    }
    void run_for(duration d)
    {
        const timestamp end = now_ + d;
        while (!events_.empty() && events_.begin()->first.first <= end) {
            const auto it = events_.begin();
            now_ = it->first.first;
            const std::function<void()> run = std::move(it->second);
            events_.erase(it);
            run();
        }
        now_ = end;
    }

private:
    timestamp now_{std::chrono::hours{1}};
    std::uint64_t n_ = 0;
    std::map<std::pair<timestamp, std::uint64_t>, std::function<void()>> events_;
};

/// Contents of a store, shared by all `test_store` objects.
struct store_state {
    std::map<std::string, kv_entry> entries;
    store_revision revision = 0;
    std::function<void(const kv_write&)> on_write; ///< Called when a write takes effect.
};

enum class fault {
    none,
    lost_before, ///< The call is lost and times out.
    lost_after,  ///< The call takes effect, but its answer is lost and it times out.
    late,        ///< The call times out and takes effect after that.
    slow,        ///< The answer is delayed.
};

/// One host's access to a shared store. Calls take effect and are answered after a delay, and are subject to
/// planned or random faults.
class test_store final : public kv_store {
public:
    test_store(event_loop& loop, store_state& state, random_source& random)
        : loop_{loop}, state_{state}, random_{random}
    {
    }

    bool reachable = true;
    double fault_rate = 0;
    std::deque<fault> put_faults; ///< Faults of the next writes; random faults follow.
    std::deque<fault> get_faults; ///< Faults of the next reads; random faults follow.
    /// Delivers an answer. A test can defer it while the process is paused.
    std::function<void(std::function<void()>)> deliver = [](const std::function<void()>& run) { run(); };

    void get(const std::string& key, store_revision known, get_callback done) override
    {
        call<kv_read>(get_faults, done, [this, key, known]() -> tl::expected<kv_read, store_errc> {
            const auto it = state_.entries.find(key);
            if (it == state_.entries.end())
                return tl::unexpected{store_errc::not_found};
            if (known != 0 && it->second.revision == known)
                return kv_read{true, {key, "", known}};
            return kv_read{false, it->second};
        });
    }
    void put(const kv_write& write, put_callback done) override
    {
        call<store_revision>(put_faults, done, [this, write]() -> tl::expected<store_revision, store_errc> {
            const auto it = state_.entries.find(write.key);
            if (write.expected && *write.expected != (it == state_.entries.end() ? 0 : it->second.revision))
                return tl::unexpected{store_errc::conflict};
            state_.entries[write.key] = kv_entry{write.key, write.value, ++state_.revision};
            if (state_.on_write)
                state_.on_write(write);
            return state_.revision;
        });
    }
    void erase(const std::string& key, std::optional<store_revision>, erase_callback done) override
    {
        call<void>(put_faults, done, [this, key]() -> tl::expected<void, store_errc> {
            state_.entries.erase(key);
            return {};
        });
    }
    void list(const std::string& prefix, list_callback done) override
    {
        call<std::vector<kv_entry>>(get_faults, done,
                                    [this, prefix]() -> tl::expected<std::vector<kv_entry>, store_errc> {
                                        std::vector<kv_entry> found;
                                        for (const auto& [key, entry] : state_.entries) {
                                            if (key.starts_with(prefix))
                                                found.push_back(entry);
                                        }
                                        return found;
                                    });
    }
    void grant_lease(duration, lease_callback) override {}
    void keep_alive(store_lease_id, erase_callback) override {}

private:
    template <typename T, typename Done, typename Effect>
    void call(std::deque<fault>& planned_faults, Done done, Effect effect)
    {
        const auto answer = [this, done](duration d, tl::expected<T, store_errc> result) {
            loop_.after(d, [this, done, result] { deliver([done, result] { done(result); }); });
        };
        fault injected = fault::none;
        if (!planned_faults.empty()) {
            injected = planned_faults.front();
            planned_faults.pop_front();
        } else if (random_.chance(fault_rate)) {
            injected = static_cast<fault>(1 + random_.below(4));
        }
        const duration request{1000 + static_cast<std::int64_t>(random_.below(4000))};
        const duration timeout = std::chrono::seconds{1};
        if (!reachable) {
            answer(request, tl::unexpected{store_errc::unreachable});
            return;
        }
        // Delays beyond the length of a promise reveal a promise given too early.
        if (injected == fault::late)
            loop_.after(timeout + duration{static_cast<std::int64_t>(random_.below(5'000'000))},
                        [effect] { static_cast<void>(effect()); });
        if (injected == fault::lost_before || injected == fault::late) {
            answer(timeout, tl::unexpected{store_errc::timed_out});
            return;
        }
        loop_.after(request, [injected, answer, effect, timeout] {
            const tl::expected<T, store_errc> result = effect();
            if (injected == fault::lost_after)
                answer(timeout, tl::unexpected{store_errc::timed_out});
            else
                answer(injected == fault::slow ? duration{900'000} : duration{1000}, result);
        });
    }

    event_loop& loop_;
    store_state& state_;
    random_source& random_;
};

} // namespace mjm::test
