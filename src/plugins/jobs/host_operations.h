#pragma once

#include "core/enum_names.h"
#include "jobs/fleet_config.h"
#include "jobs/target_orders.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mjm {

enum class host_state { up, moving, maintained, down };

/// A host as the platform lists it. Its target is replaced by a new one when the host is moved or maintained.
struct host_info {
    std::string id;
    service_id pool;
    host_state state = host_state::up;
    resources capacity;
    target_id target; ///< Target that runs on the host; empty if there is none.
    zone_id zone;     ///< Empty if unknown.
};

enum class host_errc {
    no_answer,    ///< The order may have been carried out or may still be carried out.
    not_sent,     ///< The service did not get the order.
    overloaded,   ///< Nothing was done; the service's rate limit is exhausted.
    fenced,       ///< A newer leader has sent orders for the host.
    busy,         ///< The host is not up or is leaving.
    not_of_wave,  ///< The wave does not include the host.
    no_such_host, ///< The host does not exist or can't belong to the pool.
};

template <>
struct enum_names<host_errc> {
    static constexpr std::array<std::pair<host_errc, std::string_view>, 7> entries{{
        {host_errc::no_answer, "no_answer"},
        {host_errc::not_sent, "not_sent"},
        {host_errc::overloaded, "overloaded"},
        {host_errc::fenced, "fenced"},
        {host_errc::busy, "busy"},
        {host_errc::not_of_wave, "not_of_wave"},
        {host_errc::no_such_host, "no_such_host"},
    }};
};

/// The platform's service for moving and maintaining hosts. An order that succeeds ends everything that runs
/// on the host; a new target joins the pool some seconds later. Each callback runs once, after the call has
/// returned, on the caller's thread.
class host_operations {
public:
    using list_callback = std::function<void(tl::expected<std::vector<host_info>, host_errc>)>;
    using done_callback = std::function<void(tl::expected<void, host_errc>)>;

    host_operations() = default;
    host_operations(const host_operations&) = delete;
    host_operations& operator=(const host_operations&) = delete;
    virtual ~host_operations() = default;

    /// Lists all hosts of the fleet.
    virtual void list(list_callback done) = 0;
    /// Moves a host to another pool. The order is not sent from `send_until` on; the error is then
    /// `not_sent`.
    virtual void move(const std::string& host, const service_id& pool, fencing_token token,
                      timestamp send_until, done_callback done) = 0;
    /// Takes a host down for maintenance in the given wave. `send_until` as for `move`.
    virtual void maintain(const std::string& host, std::uint64_t wave, fencing_token token,
                          timestamp send_until, done_callback done) = 0;
    /// Reports to the operator whether a wave has completed, and stores `record` for the next leader. Fails
    /// unless the leader with this token still leads.
    virtual void report_wave(const maintenance_wave& wave, bool completed, const std::string& record,
                             fencing_token token, done_callback done) = 0;
};

} // namespace mjm
