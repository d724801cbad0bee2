#pragma once

#include "core/task_types.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace mjm {

struct fair_queue_limits {
    std::size_t max_queued = 4000; ///< Upper bound of the requests that wait in the whole queue.
    std::size_t max_queued_per_team = 1000;
    /// How often the first task of a team is passed over for lack of capacity before it gets a reservation.
    unsigned max_passed_over = 16;
    /// Longest duration of a reservation that keeps all other tasks from starting, as is the case without
    /// `pick_context::fits_beside_reserved`. Below the start target of urgent requests, 4.2 s.
    duration max_exclusive_reservation{std::chrono::seconds{2}};
    /// Longest duration of a reservation beside which other tasks can start.
    duration max_shared_reservation{std::chrono::seconds{60}};
};

/// Request that waits for free capacity.
struct queued_task {
    request_id id;
    team_id team; ///< Empty in a queue open to all.
    priority urgency = priority::normal;
    resources need;
    duration expected_run{0};
    timestamp enqueued;
    timestamp deadline; ///< Time from which on the request must not be started.
};

/// Checks of permits and free capacity, which the caller passes to `fair_queue::pick`.
struct pick_context {
    std::function<bool(const team_id&)> may_start; ///< Whether the team has a free permit.
    std::function<bool(const queued_task&)> fits;  ///< Whether some target can take the task now.
    /// Optional. Whether some target has free capacity for this size. If not, tasks that are at least as
    /// large are skipped without a call to `fits`.
    std::function<bool(const resources&)> has_capacity{};
    /// Optional. Whether the first task can start without using the target that is reserved for the second
    /// task (see `choose_reservation`). If not set, a reservation keeps all other tasks of the shard from
    /// starting.
    std::function<bool(const queued_task&, const queued_task&)> fits_beside_reserved{};
};

/// Waiting requests of one shard in weighted max-min fair order over the dominant resource.
///
/// A team's entitlement is its part of the capacity by weight among the teams that have waiting or running
/// tasks in this shard, adjusted by the usage in other shards. Teams below their entitlement come before
/// teams above it. Among those below, teams with urgent requests within the entitlement come first. Otherwise
/// the order follows the current usage, corrected within bounds by the usage over the last 10 s, 1 min and 10
/// min.
class fair_queue {
public:
    explicit fair_queue(const fair_queue_limits& limits);
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// Sets a team's share as a positive weight. Teams without a share have weight 1.
    void set_share(const team_id& team, double weight);
    /// Sets the shard's total capacity. Usage counts as its dominant fraction of this capacity.
    void set_capacity(const resources& total);
    /// Sets the usage of a team in the other shards of the fleet, as a fraction of the fleet's capacity. The
    /// value comes from gossip.
    void set_remote_usage(const team_id& team, double dominant_fraction);
    /// Sets this shard's part of the fleet's capacity, in (0, 1], which converts remote usage into local
    /// usage. The initial value of 1 makes the correction by remote usage weak.
    void set_fleet_fraction(double fraction);

    /// Adds a request. Does nothing if it is waiting already. Returns `queue_full` if the bound of the team
    /// or of the whole queue is reached, and `deadline` if the request's deadline has passed.
    [[nodiscard]] tl::expected<void, reason> enqueue(const queued_task& task, timestamp now);
    /// Removes a waiting request. Returns false if the request is not waiting.
    bool cancel(const request_id& id);
    /// Removes and returns the requests whose deadline has passed.
    [[nodiscard]] std::vector<request_id> expire(timestamp now);
    /// Removes and returns the request to start next. Returns std::nullopt if no waiting request can start.
    [[nodiscard]] std::optional<queued_task> pick(const pick_context& context, timestamp now);

    /// Returns the task that has the reservation, or std::nullopt if there is none. A pick may end a
    /// reservation, or grant one after it has chosen its task. A picked task therefore has to avoid the
    /// reserved target only if the same task has the reservation before and after the pick.
    [[nodiscard]] std::optional<queued_task> reserved() const;
    /// Returns the fraction of the shard's capacity that the team is entitled to now, or 0 if it has no
    /// waiting or running tasks in this shard.
    [[nodiscard]] double entitlement(const team_id& team) const;

    /// Adds a running task to the team's usage. Must be called before the next pick, also for a task that was
    /// taken over from an earlier owner.
    void task_started(const team_id& team, const resources& used, timestamp now);
    /// Removes a task that has ended from the team's usage. Must be called before the next pick.
    void task_finished(const team_id& team, const resources& used, timestamp now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(const team_id& team) const;
    /// Returns the earliest deadline of the waiting requests, or std::nullopt if the queue is empty. The
    /// deadline can have passed.
    [[nodiscard]] std::optional<timestamp> next_deadline() const;
    /// Returns the teams that have waiting requests.
    [[nodiscard]] std::vector<team_id> waiting_teams() const;
    /// Returns all waiting requests in no particular order.
    [[nodiscard]] std::vector<request_id> waiting_requests() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
