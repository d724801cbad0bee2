#include "fake_kv_store.h"

#include <utility>

namespace mjm {

void fake_kv_store::fail_next(std::size_t n, store_errc ec)
{
    fail_ = n;
    fail_with_ = ec;
}

template <typename Result, typename Callback, typename Effect>
void fake_kv_store::call(const std::string& label, bool write, Callback done, Effect effect)
{
    const auto lose = [done] { done(Result{tl::unexpected{store_errc::timed_out}}); };
    const auto arrive = [this, label, write, done, effect, lose] {
        Result result{tl::unexpected{store_errc::unreachable}};
        if (fail_ > 0) {
            --fail_;
            result = tl::unexpected{fail_with_};
        } else if (!unreachable_) {
            result = effect();
            if (write && lose_writes_ > 0) {
                --lose_writes_;
                result = tl::unexpected{store_errc::timed_out};
            }
        }
        pump_.add(
            call_pump::direction::answer, label, [done, result] { done(result); }, lose);
    };
    pump_.add(call_pump::direction::request, label, arrive, lose);
}

void fake_kv_store::get(const std::string& key, store_revision known, get_callback done)
{
    ++counts_.reads;
    call<tl::expected<kv_read, store_errc>>("get " + key, false, std::move(done), [this, key, known] {
        return model_.get(key, known, time_.now());
    });
}

void fake_kv_store::put(const kv_write& write, put_callback done)
{
    ++counts_.writes;
    call<tl::expected<store_revision, store_errc>>("put " + write.key, true, std::move(done),
                                                   [this, write] { return model_.put(write, time_.now()); });
}

void fake_kv_store::erase(const std::string& key, std::optional<store_revision> expected, erase_callback done)
{
    ++counts_.writes;
    call<tl::expected<void, store_errc>>("erase " + key, true, std::move(done), [this, key, expected] {
        return model_.erase(key, expected, time_.now());
    });
}

void fake_kv_store::list(const std::string& prefix, list_callback done)
{
    ++counts_.reads;
    using result = tl::expected<std::vector<kv_entry>, store_errc>;
    call<result>("list " + prefix, false, std::move(done),
                 [this, prefix] { return result{model_.list(prefix, time_.now())}; });
}

void fake_kv_store::grant_lease(duration ttl, lease_callback done)
{
    ++counts_.lease_calls;
    using result = tl::expected<store_lease_id, store_errc>;
    call<result>("grant_lease", false, std::move(done),
                 [this, ttl] { return result{model_.grant_lease(ttl, time_.now())}; });
}

void fake_kv_store::keep_alive(store_lease_id lease, erase_callback done)
{
    ++counts_.lease_calls;
    call<tl::expected<void, store_errc>>("keep_alive " + std::to_string(lease), false, std::move(done),
                                         [this, lease] { return model_.keep_alive(lease, time_.now()); });
}

} // namespace mjm
