#include "core/invariant.h"

#include <atomic>
#include <mutex>

namespace mjm {

namespace {

constexpr std::size_t invariant_count = enum_names<invariant>::entries.size();

std::array<std::atomic<std::uint64_t>, invariant_count>& counters()
{
    static std::array<std::atomic<std::uint64_t>, invariant_count> values{};
    return values;
}

std::mutex handler_mutex;

invariant_handler& current_handler()
{
    static invariant_handler handler;
    return handler;
}

} // namespace

invariant_handler set_invariant_handler(invariant_handler handler)
{
    const std::lock_guard lock{handler_mutex};
    std::swap(current_handler(), handler);
    return handler;
}

bool check_invariant(bool holds, invariant which, const std::string& detail)
{
    if (holds)
        return true;
    counters()[static_cast<std::size_t>(which)].fetch_add(1);
    const std::lock_guard lock{handler_mutex};
    if (current_handler())
        current_handler()(which, detail);
    return false;
}

std::uint64_t invariant_violations(invariant which)
{
    return counters()[static_cast<std::size_t>(which)].load();
}

} // namespace mjm
