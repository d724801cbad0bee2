#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/resources.h"
#include "core/task_types.h"
#include "core/time_types.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mjm {

/// Failure of a call to a target.
enum class target_errc {
    not_connected,      ///< No connection could be made; nothing was sent.
    connection_lost,    ///< The connection broke after the call had been sent at least in part.
    timed_out,          ///< No answer came in time; the call may have taken effect.
    bad_response,       ///< The answer was truncated, belongs to another call, or fails its digest.
    fenced,             ///< A newer lease holds the target; nothing was started.
    lease_expired,      ///< The lease has lapsed or is unknown; nothing was started.
    busy,               ///< All slots are taken; nothing was started.
    leaving,            ///< The target takes no new work; nothing was started.
    unknown_task,       ///< The target has no record of the task.
    task_stopped,       ///< The task was stopped before its start arrived; nothing was started.
    challenge_rejected, ///< The challenge is not of this boot, or too old; no lease was opened.
};

template <>
struct enum_names<target_errc> {
    static constexpr std::array<std::pair<target_errc, std::string_view>, 11> entries{{
        {target_errc::not_connected, "not_connected"},
        {target_errc::connection_lost, "connection_lost"},
        {target_errc::timed_out, "timed_out"},
        {target_errc::bad_response, "bad_response"},
        {target_errc::fenced, "fenced"},
        {target_errc::lease_expired, "lease_expired"},
        {target_errc::busy, "busy"},
        {target_errc::leaving, "leaving"},
        {target_errc::unknown_task, "unknown_task"},
        {target_errc::task_stopped, "task_stopped"},
        {target_errc::challenge_rejected, "challenge_rejected"},
    }};
};

/// True when a start that failed this way has provably not run and never will.
[[nodiscard]] constexpr bool provably_not_started(target_errc ec)
{
    switch (ec) {
    case target_errc::not_connected:
    case target_errc::fenced:
    case target_errc::lease_expired:
    case target_errc::busy:
    case target_errc::leaving:
    case target_errc::task_stopped:
        return true;
    default:
        return false;
    }
}

struct target_endpoint {
    target_id id;
    std::string address; ///< IP address.
    std::uint16_t port = 0;

    friend bool operator==(const target_endpoint&, const target_endpoint&) = default;
};

struct target_challenge {
    std::string boot_id;
    std::string challenge;
};

/// Order of leases at a target: the pool assignment first, then the epoch of the shard's owner.
/// The target refuses a lease, start or stop that is lower than the highest it has seen.
struct lease_token {
    shard_id shard;
    std::uint64_t assignment = 0; ///< Configuration version in which the target joined its current pool.
    shard_epoch epoch = 0;
    std::string boot_id;

    friend bool operator==(const lease_token&, const lease_token&) = default;
};

enum class task_state {
    running,
    finished,
    stopped,       ///< Stopped while it ran; it may have run in part.
    never_started, ///< Its start had not arrived and is refused from now on.
};

template <>
struct enum_names<task_state> {
    static constexpr std::array<std::pair<task_state, std::string_view>, 4> entries{{
        {task_state::running, "running"},
        {task_state::finished, "finished"},
        {task_state::stopped, "stopped"},
        {task_state::never_started, "never_started"},
    }};
};

/// One task that a target remembers.
struct task_report {
    task_id task;
    request_id request;
    team_id team;
    task_state state = task_state::running;
    resources used;
};

struct lease_grant {
    std::string boot_id;
    std::int64_t slots = 0;
    bool leaving = false;
    /// Time since the target booted; it remembers no task of before.
    duration uptime{0};
    std::vector<task_report> tasks; ///< Running, and finished ones still retained.
};

/// Usage as the target last measured it; lags behind reality.
struct usage_report {
    resources used;
    std::int64_t running = 0;
    bool leaving = false;
};

struct start_order {
    task_id task;
    request_id request;
    team_id team;
    service_id service;
    resources reserved;
    std::string body;
};

/// Whole, verified result of a task.
struct task_result {
    task_id task;
    bool succeeded = false; ///< False when the work itself reported a failure.
    std::string body;
};

/// Calls to targets. Every callback is invoked exactly once, never from within the call itself, and on
/// the thread that drives the component that made the call.
class target_client {
public:
    using challenge_callback = std::function<void(tl::expected<target_challenge, target_errc>)>;
    using lease_callback = std::function<void(tl::expected<lease_grant, target_errc>)>;
    using renew_callback = std::function<void(tl::expected<usage_report, target_errc>)>;
    using result_callback = std::function<void(tl::expected<task_result, target_errc>)>;
    using stop_callback = std::function<void(tl::expected<task_state, target_errc>)>;

    target_client() = default;
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    virtual ~target_client() = default;

    virtual void challenge(const target_endpoint& target, challenge_callback done) = 0;
    /// Opens or raises a lease. `ttl` is how long tasks go on without a renewal.
    virtual void open_lease(const target_endpoint& target, const lease_token& token,
                            const std::string& challenge, duration ttl, lease_callback done) = 0;
    virtual void renew(const target_endpoint& target, const lease_token& token, renew_callback done) = 0;
    /// Starts a task and waits for its end. Repeating a start of the same task joins the running one.
    virtual void start(const target_endpoint& target, const lease_token& token, const start_order& order,
                       result_callback done) = 0;
    /// Waits for the end of a task that was started before and returns its retained result.
    virtual void fetch(const target_endpoint& target, const task_id& task, result_callback done) = 0;
    /// Stops a task, or prevents a start that has not arrived yet. Answers the state that the task is
    /// left in: `finished` when it had already ended, `stopped` or `never_started`.
    virtual void stop(const target_endpoint& target, const lease_token& token, const task_id& task,
                      stop_callback done) = 0;
};

} // namespace mjm
