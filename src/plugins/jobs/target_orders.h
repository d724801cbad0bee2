#pragma once

#include "jobs/job_types.h"
#include "net/http_client.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mjm {

enum class target_state { ready, draining };

/// What a target reports about itself through the platform's service discovery.
struct target_info {
    target_id id;
    service_id service;
    http_endpoint endpoint;
    zone_id zone;
    target_state state = target_state::ready;
    resources capacity;
    std::vector<std::string> labels; ///< The kind, the rack, and others.
    rack_id rack;                    ///< Empty when unknown.
    target_incarnation incarnation = 0;
    std::string host; ///< The machine that it is a life of; empty when unknown.
};

/// Address of one life of a target.
struct target_ref {
    target_id id;
    http_endpoint endpoint;
};

struct start_order {
    task_key task;
    run_number run = 0;
    std::string payload;
    std::int64_t deadline_ms = 0; ///< Of the lease, on the target's clock.
    fencing_token token = 0;
    std::string checkpoint; ///< Empty to start anew.
    std::string ticket;     ///< Empty when the queue needs none.
};

/// Why an order had no effect, or is not known to have had one.
enum class order_errc {
    no_answer,      ///< The order may have been carried out, or may be carried out later.
    not_sent,       ///< The target did not get the order.
    fenced,         ///< A newer leader has given orders to the target.
    superseded,     ///< This run or a later one was stopped or has ended there.
    too_late,       ///< The lease's deadline had passed.
    no_capacity,    ///< The target has no room for the task.
    bad_ticket,     ///< The target does not accept the ticket.
    unhealthy,      ///< The target takes no orders at present.
    other_instance, ///< The address belongs to another target or another life of it.
    rejected,       ///< The target does not understand the order.
};

template <>
struct enum_names<order_errc> {
    static constexpr std::array<std::pair<order_errc, std::string_view>, 10> entries{{
        {order_errc::no_answer, "no_answer"},
        {order_errc::not_sent, "not_sent"},
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

/// A run that a target lists as present.
struct listed_run {
    task_key task;
    run_number run = 0;
    std::string checkpoint;
    int pace_percent = 100;
    double load = 0.0; ///< Tail latency in ms of a task that serves, thousandths of a core of any other.
};

/// A run that has ended on a target.
struct listed_end {
    std::uint64_t sequence = 0; ///< Position in the target's list; starts at 1 in each life.
    task_key task;
    run_number run = 0;
    run_end how = run_end::stopped;
    std::string checkpoint;
};

struct target_report {
    std::int64_t clock_ms = 0; ///< The target's clock when it answered.
    target_incarnation incarnation = 0;
    std::vector<listed_run> running;
    std::vector<listed_end> ended;
};

struct order_answer {
    std::int64_t clock_ms = 0;
};

struct lease_request {
    std::int64_t deadline_ms = 0; ///< On the target's clock; 0 leaves the lease as it is.
    fencing_token token = 0;
    std::uint64_t ends_acknowledged = 0; ///< Ends up to this one are stored and may be forgotten.
    duration wait{0};                    ///< The answer waits this long for an end.
};

/// Orders to targets. Each callback runs once, later, on the thread of the component that made the call.
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
    /// Extends the lease of everything that runs there and reads what runs and what has ended.
    virtual void observe(const target_ref& target, const lease_request& request, report_callback done) = 0;
    /// Lets a task work at a share of its speed.
    virtual void pace(const target_ref& target, const task_key& task, run_number run, int percent,
                      fencing_token token, order_callback done) = 0;
};

} // namespace mjm
