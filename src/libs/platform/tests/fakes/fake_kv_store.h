#pragma once

#include "call_pump.h"
#include "core/clock.h"
#include "platform/kv_store.h"
#include "store_model.h"

#include <cstdint>

namespace mjm {

/// In-memory key-value service driven by a `call_pump`. Message labels: `get K`, `put K`, `erase K`,
/// `list P`, `grant_lease`, `keep_alive N`. Losing a message reports `timed_out`.
class fake_kv_store final : public kv_store {
public:
    struct call_counts {
        std::uint64_t reads = 0; ///< get and list.
        std::uint64_t writes = 0;
        std::uint64_t lease_calls = 0;
    };

    fake_kv_store(call_pump& pump, const clock& time) : pump_{pump}, time_{time} {}

    void get(const std::string& key, store_revision known, get_callback done) override;
    void put(const kv_write& write, put_callback done) override;
    void erase(const std::string& key, std::optional<store_revision> expected, erase_callback done) override;
    void list(const std::string& prefix, list_callback done) override;
    void grant_lease(duration ttl, lease_callback done) override;
    void keep_alive(store_lease_id lease, erase_callback done) override;

    /// While set, requests that are delivered have no effect and report `unreachable`.
    void set_unreachable(bool on) { unreachable_ = on; }
    /// The next `n` delivered requests have no effect and report `ec`.
    void fail_next(std::size_t n, store_errc ec);
    /// The next `n` delivered writes (put and erase) take effect, and report `timed_out`.
    void lose_next_write_answers(std::size_t n) { lose_writes_ = n; }

    /// Direct access for the test's own setup and checks.
    [[nodiscard]] store_model& model() { return model_; }
    [[nodiscard]] const call_counts& counts() const { return counts_; }

private:
    template <typename Result, typename Callback, typename Effect>
    void call(const std::string& label, bool write, Callback done, Effect effect);

    call_pump& pump_;
    const clock& time_;
    store_model model_;
    call_counts counts_;
    bool unreachable_ = false;
    std::size_t fail_ = 0;
    store_errc fail_with_ = store_errc::unreachable;
    std::size_t lose_writes_ = 0;
};

} // namespace mjm
