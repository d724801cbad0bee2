#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"

#include <tl/expected.hpp>

#include <functional>
#include <string>

namespace mjm {

enum class power_errc { unreachable, timed_out, refused };

template <>
struct enum_names<power_errc> {
    static constexpr std::array<std::pair<power_errc, std::string_view>, 3> entries{{
        {power_errc::unreachable, "unreachable"},
        {power_errc::timed_out, "timed_out"},
        {power_errc::refused, "refused"},
    }};
};

struct host_power_state {
    bool up = false;
    std::string boot; ///< Identifier of the present boot, or of the last one while the host is down.
};

/// Power control of target hosts. Callbacks follow the rules of `kv_store`.
class host_power {
public:
    using request_callback = std::function<void(tl::expected<void, power_errc>)>;
    using state_callback = std::function<void(tl::expected<host_power_state, power_errc>)>;

    host_power() = default;
    host_power(const host_power&) = delete;
    host_power& operator=(const host_power&) = delete;
    virtual ~host_power() = default;

    /// Reboots the host if it is still in the boot `boot`, otherwise does nothing. A repeated or late
    /// request therefore has no effect once the host has rebooted.
    virtual void request_reboot(const target_id& host, const std::string& boot, request_callback done) = 0;
    virtual void state(const target_id& host, state_callback done) = 0;
};

} // namespace mjm
