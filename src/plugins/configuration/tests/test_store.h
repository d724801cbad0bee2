#pragma once

#include "core/random_source.h"
#include "platform/kv_store.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace mjm::test {

/// Events in virtual time. Two events of the same time run in the order in which they were added.
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

struct store_state {
    std::map<std::string, kv_entry> entries;
    store_revision revision = 0;
    std::function<void(const kv_write&)> on_write; ///< Called when a write takes effect.
};

enum class fault { none, lost_before, lost_after, late, slow };

/// One host's access to a store shared with others. Calls take effect and are answered later; a call may be
/// lost before or after its effect, or take effect only after the caller was told that it timed out.
class test_store final : public kv_store {
public:
    test_store(event_loop& loop, store_state& state, random_source& random)
        : loop_{loop}, state_{state}, random_{random}
    {
    }

    bool reachable = true;
    double fault_rate = 0;
    std::deque<fault> put_faults; ///< For the next writes, before random ones.
    std::deque<fault> get_faults;
    /// Runs the answer; a paused process takes it when it resumes.
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
    void call(std::deque<fault>& planned, Done done, Effect effect)
    {
        const auto answer = [this, done](duration d, tl::expected<T, store_errc> result) {
            loop_.after(d, [this, done, result] { deliver([done, result] { done(result); }); });
        };
        fault what = fault::none;
        if (!planned.empty()) {
            what = planned.front();
            planned.pop_front();
        } else if (random_.chance(fault_rate)) {
            what = static_cast<fault>(1 + random_.below(4));
        }
        const duration request{1000 + static_cast<std::int64_t>(random_.below(4000))};
        const duration timeout = std::chrono::seconds{1};
        if (!reachable) {
            answer(request, tl::unexpected{store_errc::unreachable});
            return;
        }
        if (what == fault::late) // Beyond the length of a promise, so that one given too early is found.
            loop_.after(timeout + duration{static_cast<std::int64_t>(random_.below(5'000'000))},
                        [effect] { static_cast<void>(effect()); });
        if (what == fault::lost_before || what == fault::late) {
            answer(timeout, tl::unexpected{store_errc::timed_out});
            return;
        }
        loop_.after(request, [what, answer, effect, timeout] {
            const tl::expected<T, store_errc> result = effect();
            if (what == fault::lost_after)
                answer(timeout, tl::unexpected{store_errc::timed_out});
            else
                answer(what == fault::slow ? duration{900'000} : duration{1000}, result);
        });
    }

    event_loop& loop_;
    store_state& state_;
    random_source& random_;
};

} // namespace mjm::test
