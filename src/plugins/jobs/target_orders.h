#pragma once

#include "core/time_types.h"
#include "jobs/job_types.h"
#include "net/http_client.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

enum class target_state { ready, draining };

/// A target's entry in the platform's service discovery.
struct target_info {
    target_id id;
    service_id service;
    http_endpoint endpoint;
    zone_id zone;
    target_state state = target_state::ready;
    resources capacity;
    std::vector<std::string> labels; ///< Labels such as the kind and the rack.
    rack_id rack;                    ///< Empty if unknown.
    target_incarnation incarnation = 0;
    std::string host;  ///< Host on which the target's process runs; empty if unknown.
    timestamp warm_at; ///< Until then, runs take longer than later; the epoch if it is warm.

    friend bool operator==(const target_info&, const target_info&) = default;
};

/// Identifies a target and the endpoint to which its orders are sent.
struct target_ref {
    target_id id;
    http_endpoint endpoint;
};

/// Order to start a run of a task.
struct start_order {
    task_key task;
    run_number run = 0;
    std::string payload;
    std::int64_t deadline_ms = 0; ///< End of the run's lease, on the target's clock.
    fencing_token token = 0;
    std::string checkpoint; ///< Checkpoint from which the run continues; empty to start from the beginning.
    std::string ticket;     ///< Empty if the queue needs none.
    /// From then on the order must not be sent, since what permits it is only known to hold until then.
    timestamp send_until = timestamp::max();
};

/// Why an order had no effect, or is not known to have had one.
enum class order_errc {
    no_answer,      ///< The order may have been carried out, or may be carried out later.
    not_sent,       ///< The target did not receive the order.
    expired,        ///< The order was not sent, since its permission ended while it waited on this host.
    fenced,         ///< The target has received an order of a newer leader.
    superseded,     ///< This run or a later one of the task was stopped or has ended on the target.
    too_late,       ///< The lease had expired when the order arrived.
    no_capacity,    ///< The target lacks free capacity for the task.
    bad_ticket,     ///< The target does not accept the ticket.
    unhealthy,      ///< The target does not accept orders at present.
    other_instance, ///< The address belongs to another target or to another incarnation.
    rejected,       ///< The target does not understand the order.
};

template <>
struct enum_names<order_errc> {
    static constexpr std::array<std::pair<order_errc, std::string_view>, 11> entries{{
        {order_errc::no_answer, "no_answer"},
        {order_errc::not_sent, "not_sent"},
        {order_errc::expired, "expired"},
        {order_errc::fenced, "fenced"},
        {order_errc::superseded, "superseded"},
        {order_errc::too_late, "too_late"},
        {order_errc::no_capacity, "no_room"},
        {order_errc::bad_ticket, "bad_ticket"},
        {order_errc::unhealthy, "unhealthy"},
        {order_errc::other_instance, "other_instance"},
        {order_errc::rejected, "rejected"},
    }};
};

/// A run that a target lists as running.
struct listed_run {
    task_key task;
    run_number run = 0;
    std::string checkpoint;
    int pace_percent = 100;
    double load = 0.0; ///< Tail latency in ms of a task that serves requests, otherwise use in milli-CPU.
};

/// A run that has ended on a target.
struct listed_end {
    std::uint64_t sequence = 0; ///< Position in the target's list; starts at 1 in each incarnation.
    task_key task;
    run_number run = 0;
    run_end how = run_end::stopped;
    std::string checkpoint;
};

/// A target's answer to an observation.
struct target_report {
    std::int64_t clock_ms = 0; ///< The target's clock when it answered.
    target_incarnation incarnation = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended; ///< Ends that have not been acknowledged.
    /// Whether every run on the target and every such end is listed.
    bool complete = true;
    /// Whether nothing is missing but ends that can't be read. If not, nothing follows from a run that is
    /// missing.
    bool tells_of_all_runs = true;
    std::optional<std::uint64_t> unreadable_end; ///< Position of the first end that can't be read.
    /// Number of further ends with which the list would not be complete any more.
    std::size_t ends_until_cut_off = std::numeric_limits<std::size_t>::max();
};

/// Confirmation of an order by its target.
struct order_answer {
    std::int64_t clock_ms = 0; ///< The target's clock when it answered.
};

/// An observation of a target, which may also extend the lease of its runs.
struct lease_request {
    std::int64_t deadline_ms = 0; ///< New end of the lease, on the target's clock; 0 for no extension.
    bool lease_withheld = false;  ///< Whether the lease is not extended because another host may lead.
    fencing_token token = 0;
    std::uint64_t ends_acknowledged = 0; ///< Ends up to this one are stored; the target may forget them.
    duration wait{0}; ///< Longest time for which the target delays its answer until a run ends.
};

/// Sends orders to targets. Each callback runs exactly once, asynchronously, on the thread of the component
/// that made the call.
class target_orders {
public:
    using order_callback = std::function<void(tl::expected<order_answer, order_errc>)>;
    using report_callback = std::function<void(tl::expected<target_report, order_errc>)>;

    target_orders() = default;
    target_orders(const target_orders&) = delete;
    target_orders& operator=(const target_orders&) = delete;
    virtual ~target_orders() = default;

    virtual void start(const target_ref& target, const start_order& order, order_callback done) = 0;
    virtual void stop(const target_ref& target, const task_key& task, run_number run, fencing_token token,
                      order_callback done) = 0;
    /// Extends the lease of all runs on the target and reads which runs are running and which have ended.
    virtual void observe(const target_ref& target, const lease_request& request, report_callback done) = 0;
    /// Limits a run to `percent` of its full speed.
    virtual void pace(const target_ref& target, const task_key& task, run_number run, int percent,
                      fencing_token token, order_callback done) = 0;
};

} // namespace mjm
