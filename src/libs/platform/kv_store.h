#pragma once

#include "core/enum_names.h"
#include "core/time_types.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// Failure of a call to the platform's key-value service.
enum class store_errc {
    unreachable,  ///< No connection could be made; the call had no effect.
    timed_out,    ///< No answer came; a write may have taken effect.
    conflict,     ///< The revision differs from the expected one; the write had no effect.
    not_found,    ///< No such key or lease.
    too_large,    ///< The value exceeds the service's limit.
    overloaded,   ///< The service refused the call; it had no effect.
    bad_response, ///< The answer could not be understood; a write may have taken effect.
};

template <>
struct enum_names<store_errc> {
    static constexpr std::array<std::pair<store_errc, std::string_view>, 7> entries{{
        {store_errc::unreachable, "unreachable"},
        {store_errc::timed_out, "timed_out"},
        {store_errc::conflict, "conflict"},
        {store_errc::not_found, "not_found"},
        {store_errc::too_large, "too_large"},
        {store_errc::overloaded, "overloaded"},
        {store_errc::bad_response, "bad_response"},
    }};
};

/// True when a write that failed this way may nevertheless have taken effect.
[[nodiscard]] constexpr bool may_have_taken_effect(store_errc ec)
{
    return ec == store_errc::timed_out || ec == store_errc::bad_response;
}

using store_revision = std::uint64_t;
using store_lease_id = std::uint64_t;

struct kv_entry {
    std::string key;
    std::string value;
    store_revision revision = 0;
};

/// Result of a conditional read.
struct kv_read {
    bool unchanged = false; ///< The revision equals the known one; `entry.value` is empty.
    kv_entry entry;
};

/// A write. `expected` 0 means that the key must not exist; no value means unconditional.
struct kv_write {
    std::string key;
    std::string value;
    std::optional<store_revision> expected;
    store_lease_id lease = 0; ///< The key is removed when this lease lapses; 0 for none.
};

/// The platform's key-value service. Every callback is invoked exactly once, never from within the call
/// itself, and on the thread that drives the component that made the call.
class kv_store {
public:
    using get_callback = std::function<void(tl::expected<kv_read, store_errc>)>;
    using put_callback = std::function<void(tl::expected<store_revision, store_errc>)>;
    using erase_callback = std::function<void(tl::expected<void, store_errc>)>;
    using list_callback = std::function<void(tl::expected<std::vector<kv_entry>, store_errc>)>;
    using lease_callback = std::function<void(tl::expected<store_lease_id, store_errc>)>;

    kv_store() = default;
    kv_store(const kv_store&) = delete;
    kv_store& operator=(const kv_store&) = delete;
    virtual ~kv_store() = default;

    /// Reads a key. With `known` not 0 the value is left out when the revision is still `known`.
    virtual void get(const std::string& key, store_revision known, get_callback done) = 0;
    virtual void put(const kv_write& write, put_callback done) = 0;
    virtual void erase(const std::string& key, std::optional<store_revision> expected,
                       erase_callback done) = 0;
    virtual void list(const std::string& prefix, list_callback done) = 0;
    virtual void grant_lease(duration ttl, lease_callback done) = 0;
    /// Renews a lease; `not_found` when it has lapsed.
    virtual void keep_alive(store_lease_id lease, erase_callback done) = 0;
};

} // namespace mjm
