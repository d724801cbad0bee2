#pragma once

#include "core/enum_names.h"
#include "core/task_types.h"
#include "scheduling/run_estimator.h"

#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace mjm {

enum class request_phase {
    recovering, ///< Has a ticket of an earlier epoch; waits for the task lists of the targets.
    queued,
    backing_off, ///< Waits to be queued again. Only an idempotent request can still have a running attempt.
    running,     ///< A start was sent, or the result is being fetched from the target.
    retained,    ///< The task has ended; its result is at the target and has not been fetched.
    ended,
};

template <>
struct enum_names<request_phase> {
    static constexpr std::array<std::pair<request_phase, std::string_view>, 6> entries{{
        {request_phase::recovering, "recovering"},
        {request_phase::queued, "queued"},
        {request_phase::backing_off, "backing_off"},
        {request_phase::running, "running"},
        {request_phase::retained, "retained"},
        {request_phase::ended, "ended"},
    }};
};

using outcome_function = std::function<void(const outcome&)>;

/// State of one request at the owner of its shard.
struct request_record {
    request work;
    request_phase phase = request_phase::queued;
    timestamp enqueued;
    timestamp deadline;  ///< Latest time at which the request may be started.
    timestamp resume_at; ///< End of a back-off or of the wait for recovery.
    wall_time issued;    ///< Time at which the ticket was issued.
    run_estimate estimate;
    unsigned attempts = 0; ///< Number of starts sent, whether or not they arrived.
    unsigned runs = 0;     ///< Number of starts that may have run.
    bool cancel_requested = false;
    /// Whether the request is idempotent and was submitted before all tasks of earlier owners were known, so
    /// that an earlier owner may have run it.
    bool may_have_run_before = false;
    bool taken_over = false; ///< Whether the request is known only from a target's task list.
    task_id current_task;    ///< Latest attempt, or the task whose result is retained.
    target_id current_target;
    std::set<target_id> failed_on;
    std::vector<outcome_function> waiters;
    outcome result; ///< Valid only in the phase `ended`.
};

struct request_table_settings {
    /// How long an ended request with a ticket is kept. Longer than a ticket's validity plus the clock skew.
    duration ticketed_retention{std::chrono::minutes{10}};
    duration idempotent_retention{std::chrono::seconds{60}};
    /// Upper bound of the bodies of all ended requests together; the oldest bodies are dropped first.
    std::size_t max_body_bytes = 8 << 20;
};

/// Requests of one shard by identifier. Ended requests are kept for a while, so that a repeated submission
/// gets the same outcome and a delayed duplicate does not run again.
class request_table {
public:
    explicit request_table(const request_table_settings& settings) : settings_{settings} {}

    [[nodiscard]] request_record* find(const request_id& id);
    request_record& add(request_record record);
    void remove(const request_id& id);
    /// Sets the outcome and notifies all waiters. The record is kept for its retention time.
    void end(const request_id& id, const outcome& result, timestamp now);
    /// Notifies all waiters and removes the record. Meant for outcomes that don't say how the request ended.
    void end_and_forget(const request_id& id, const outcome& result);
    /// Notifies all waiters without ending the request.
    void notify_waiters(const request_id& id, const outcome& result);
    /// Replaces the outcome of an ended request by one that became known later.
    void correct(const request_id& id, const outcome& result);
    /// Removes the ended requests whose retention time is over.
    void expire(timestamp now);

    /// Returns the identifiers of the requests that have not ended.
    [[nodiscard]] std::vector<request_id> open_ids() const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    struct retained_entry {
        request_id id;
        timestamp until;
    };
    void drop_old_bodies();

    request_table_settings settings_;
    std::unordered_map<request_id, request_record> records_;
    std::deque<retained_entry> ticketed_;
    std::deque<retained_entry> idempotent_;
    std::deque<request_id> bodies_;
    std::size_t body_bytes_ = 0;
};

} // namespace mjm
