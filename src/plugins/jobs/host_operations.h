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

/// A machine that targets run on, one life after the other.
struct host_info {
    std::string id;
    service_id pool;
    host_state state = host_state::up;
    resources capacity;
    target_id target; ///< Its present life; empty while there is none.
};

enum class host_errc {
    no_answer,    ///< The order may have been carried out, or may be carried out later.
    not_sent,     ///< Nothing was done.
    overloaded,   ///< Nothing was done; the service's rate is used up.
    fenced,       ///< A newer leader has given orders for the host.
    busy,         ///< The host is not up or is leaving.
    not_of_wave,  ///< The wave does not name the host.
    no_such_host, ///< No such host, or it can't belong to the pool.
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

/// The platform's service for hosts. An order that succeeds ends everything that runs on the host; a new
/// target joins the pool some seconds later. Callbacks run once, later, on the caller's thread.
class host_operations {
public:
    using list_callback = std::function<void(tl::expected<std::vector<host_info>, host_errc>)>;
    using done_callback = std::function<void(tl::expected<void, host_errc>)>;

    host_operations() = default;
    host_operations(const host_operations&) = delete;
    host_operations& operator=(const host_operations&) = delete;
    virtual ~host_operations() = default;

    /// All hosts of the fleet.
    virtual void list(list_callback done) = 0;
    virtual void move(const std::string& host, const service_id& pool, fencing_token token,
                      done_callback done) = 0;
    virtual void maintain(const std::string& host, std::uint64_t wave, fencing_token token,
                          done_callback done) = 0;
    /// Tells the operator how far a wave is, and stores `record` for the next leader, on condition that the
    /// token's leader still leads.
    virtual void report_wave(const maintenance_wave& wave, bool completed, const std::string& record,
                             fencing_token token, done_callback done) = 0;
};

} // namespace mjm
