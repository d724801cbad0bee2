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
    std::size_t max_queued = 4000; ///< Requests waiting in the whole queue.
    std::size_t max_queued_per_team = 1000;
    /// A task at the head of its team that others have overtaken this often for lack of room gets a
    /// reservation.
    unsigned max_passed_over = 16;
    /// Longest time for which a reservation keeps other work from starting when the caller cannot say which
    /// work may start beside it. Below the urgent start target of 4.2 s.
    duration max_full_hold{std::chrono::seconds{2}};
    /// Longest time for a reservation beside which other work may start.
    duration max_hold{std::chrono::seconds{60}};
};

/// A request that waits for capacity.
struct queued_task {
    request_id id;
    team_id team; ///< Empty in a queue open to all.
    priority urgency = priority::normal;
    resources need;
    duration expected_run{0};
    timestamp enqueued;
    timestamp deadline; ///< After it the request must not be started.
};

/// What the caller of `fair_queue::pick` knows about free capacity.
struct pick_context {
    std::function<bool(const team_id&)> may_start; ///< The team has a free permit.
    std::function<bool(const queued_task&)> fits;  ///< Some target can take the task now.
    /// Optional: some target has room for this size. When it has not, tasks at least as large are skipped
    /// without asking `fits`.
    std::function<bool(const resources&)> has_capacity{};
    /// Optional: the first task can start without using the target kept free for the second, reserved one
    /// (see `choose_reservation`). Without it a reservation holds back all other work of the shard.
    std::function<bool(const queued_task&, const queued_task&)> fits_beside_reserved{};
};

/// Waiting requests of one shard in weighted max-min fair order over the dominant resource.
///
/// A team's entitlement is its weight's part of the capacity among the teams that have waiting or running
/// work here, shifted by usage elsewhere. Teams below their entitlement come before teams above it; among
/// those below, urgent work within the entitlement comes first; otherwise the order follows the running
/// usage, corrected within bounds by the usage over the last 10 s, 1 min and 10 min.
class fair_queue {
public:
    explicit fair_queue(const fair_queue_limits& limits);
    ~fair_queue();
    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /// Sets a team's share (a positive weight); teams not set have weight 1.
    void set_share(const team_id& team, double weight);
    /// Sets the shard's total capacity, the denominator of the dominant resource.
    void set_capacity(const resources& total);
    /// Usage of a team in the other shards of the fleet as a fraction of the fleet's capacity (from gossip).
    void set_remote_usage(const team_id& team, double dominant_fraction);
    /// Sets this shard's part of the fleet's capacity, in (0, 1], which converts remote usage into local
    /// usage; 1 until set, which makes the correction weak.
    void set_fleet_fraction(double fraction);

    /// Errors: `queue_full` for the team's or the whole queue's bound, `deadline` when it has passed. A
    /// request that is waiting already stays as it is.
    [[nodiscard]] tl::expected<void, reason> enqueue(const queued_task& task, timestamp now);
    /// Removes a waiting request; false when it is not waiting.
    bool cancel(const request_id& id);
    /// Removes and returns the requests whose deadline has passed.
    [[nodiscard]] std::vector<request_id> expire(timestamp now);
    /// Removes and returns the request to start next, or nothing when no waiting request may start.
    [[nodiscard]] std::optional<queued_task> pick(const pick_context& context, timestamp now);

    /// Task for which room is being kept, if any. A pick may end a reservation, or grant one after it has
    /// chosen its task: a picked task need avoid the kept target only when the same task is reserved before
    /// and after the pick.
    [[nodiscard]] std::optional<queued_task> reserved() const;
    /// The team's part of the shard's capacity now, as a fraction; 0 when it has no work here.
    [[nodiscard]] double entitlement(const team_id& team) const;

    /// Accounts for a task that runs (picked or adopted) and for its end. To be called before the next pick.
    void task_started(const team_id& team, const resources& used, timestamp now);
    void task_finished(const team_id& team, const resources& used, timestamp now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size(const team_id& team) const;
    [[nodiscard]] std::optional<timestamp> next_deadline() const;
    /// Teams that have waiting requests.
    [[nodiscard]] std::vector<team_id> waiting_teams() const;
    /// All waiting requests, for handing the shard over.
    [[nodiscard]] std::vector<request_id> waiting_requests() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace mjm
