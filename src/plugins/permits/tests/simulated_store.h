#pragma once

#include "core/random_source.h"
#include "platform/kv_store.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace mjm {

/// Faults of one client's calls. The `double` members are probabilities, drawn for each call.
struct store_faults {
    double lose_request = 0.0; ///< The call fails with `timed_out` and has no effect.
    double lose_answer = 0.0;  ///< The call takes effect, but fails with `timed_out`.
    double late_effect = 0.0;  ///< The call fails with `timed_out` and takes effect later.
    bool unreachable = false;
    /// Writes are confirmed but never made, which violates the contract of `kv_store`.
    bool confirm_unwritten = false;
};

/// In-memory key-value store in virtual time with one client for each simulated process.
class simulated_store {
public:
    class client;

    explicit simulated_store(std::uint64_t seed) : random_{seed} {}

    [[nodiscard]] std::unique_ptr<client> connect();
    /// Runs all effects and answers that are due, and removes the keys of expired leases.
    void advance(timestamp now);
    /// Returns nullptr if the key does not exist.
    [[nodiscard]] const kv_entry* find(const std::string& key) const;
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    [[nodiscard]] std::uint64_t reads() const { return reads_; }

private:
    struct lease_state {
        duration ttl;
        timestamp expires;
    };
    struct stored_entry {
        kv_entry entry;
        store_lease_id lease = 0;
    };

    void schedule(duration delay, std::function<void()> action);
    tl::expected<store_revision, store_errc> apply(const kv_write& write);

    seeded_random random_;
    timestamp now_;
    std::multimap<timestamp, std::function<void()>> events_;
    std::map<std::string, stored_entry> entries_;
    std::map<store_lease_id, lease_state> leases_;
    store_revision revision_ = 0;
    store_lease_id last_lease_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t reads_ = 0;
};

class simulated_store::client final : public kv_store {
public:
    explicit client(simulated_store& store) : store_{store}, alive_{std::make_shared<bool>(true)} {}
    ~client() override = default;

    store_faults faults;

    /// Defers answers until `resume()`, as for a process that is suspended.
    void pause() { paused_ = true; }
    void resume();

    void get(const std::string& key, store_revision known, get_callback done) override;
    void put(const kv_write& write, put_callback done) override;
    void erase(const std::string& key, std::optional<store_revision> expected, erase_callback done) override;
    void list(const std::string& prefix, list_callback done) override;
    void grant_lease(duration ttl, lease_callback done) override;
    void keep_alive(store_lease_id lease, erase_callback done) override;

private:
    template <typename Result>
    void call(std::function<Result()> effect, std::function<void(Result)> done);
    void deliver(std::function<void()> action);

    simulated_store& store_;
    std::shared_ptr<bool> alive_;
    bool paused_ = false;
    std::deque<std::function<void()>> deferred_answers_;
};

} // namespace mjm
