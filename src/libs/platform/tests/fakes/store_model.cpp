#include "store_model.h"

namespace mjm {

void store_model::expire(timestamp now)
{
    for (auto it = leases_.begin(); it != leases_.end();) {
        if (it->second.ends > now) {
            ++it;
            continue;
        }
        std::erase_if(records_, [&it](const auto& entry) { return entry.second.lease == it->first; });
        it = leases_.erase(it);
    }
}

tl::expected<kv_read, store_errc> store_model::get(const std::string& key, store_revision known,
                                                   timestamp now)
{
    expire(now);
    const auto it = records_.find(key);
    if (it == records_.end())
        return tl::unexpected{store_errc::not_found};
    const bool unchanged = known != 0 && it->second.revision == known;
    return kv_read{unchanged, {key, unchanged ? std::string{} : it->second.value, it->second.revision}};
}

tl::expected<store_revision, store_errc> store_model::put(const kv_write& write, timestamp now)
{
    expire(now);
    if (write.value.size() > max_value)
        return tl::unexpected{store_errc::too_large};
    const auto it = records_.find(write.key);
    const store_revision current = it == records_.end() ? 0 : it->second.revision;
    if (write.expected.has_value() && *write.expected != current)
        return tl::unexpected{store_errc::conflict};
    if (write.lease != 0 && !leases_.contains(write.lease))
        return tl::unexpected{store_errc::not_found};
    records_[write.key] = record{write.value, ++revision_, write.lease};
    return revision_;
}

tl::expected<void, store_errc> store_model::erase(const std::string& key,
                                                  std::optional<store_revision> expected, timestamp now)
{
    expire(now);
    const auto it = records_.find(key);
    if (it == records_.end())
        return tl::unexpected{store_errc::not_found};
    if (expected.has_value() && *expected != it->second.revision)
        return tl::unexpected{store_errc::conflict};
    records_.erase(it);
    return {};
}

std::vector<kv_entry> store_model::list(const std::string& prefix, timestamp now)
{
    expire(now);
    std::vector<kv_entry> entries;
    for (auto it = records_.lower_bound(prefix); it != records_.end() && it->first.starts_with(prefix); ++it)
        entries.push_back({it->first, it->second.value, it->second.revision});
    return entries;
}

store_lease_id store_model::grant_lease(duration ttl, timestamp now)
{
    expire(now);
    leases_[++last_lease_] = lease_state{ttl, now + ttl};
    return last_lease_;
}

tl::expected<void, store_errc> store_model::keep_alive(store_lease_id lease, timestamp now)
{
    expire(now);
    const auto it = leases_.find(lease);
    if (it == leases_.end())
        return tl::unexpected{store_errc::not_found};
    it->second.ends = now + it->second.ttl;
    return {};
}

} // namespace mjm
