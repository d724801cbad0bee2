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
    recovering, ///< Its ticket is older than this owner's epoch; waits for the targets' lists.
    queued,
    backing_off, ///< Provably not running; waits before it is queued again.
    running,     ///< A start was sent.
    retained,    ///< Ended; its result is at the target and has not been fetched.
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

/// All that a shard's owner knows about one request.
struct request_record {
    request work;
    request_phase phase = request_phase::queued;
    timestamp enqueued;
    timestamp deadline;  ///< The request must have been started by then.
    timestamp resume_at; ///< End of a back-off or of the wait for recovery.
    wall_time issued;    ///< Of the ticket.
    run_estimate estimate;
    unsigned attempts = 0; ///< Starts sent, whether or not they arrived.
    unsigned runs = 0;     ///< Starts that may have run.
    bool cancel_requested = false;
    /// Idempotent, and submitted while an earlier owner's tasks were not all known: it may have run there.
    bool earlier_copy = false;
    bool taken_over = false; ///< Known from a target's list only.
    task_id current;         ///< Latest attempt, or the retained task.
    target_id current_target;
    std::set<target_id> failed_on;
    std::vector<outcome_function> waiters;
    outcome result; ///< Valid in `ended`.
};

struct request_table_settings {
    duration ticketed_retention{
        std::chrono::minutes{10}}; ///< Longer than a ticket's validity plus clock skew.
    duration idempotent_retention{std::chrono::seconds{60}};
    std::size_t max_body_bytes = 8 << 20; ///< Of ended requests; the oldest bodies are dropped first.
};

/// Requests of one shard by identifier. Ended ones are kept, so that a repeated submission gets the same
/// outcome and a late copy is never run.
class request_table {
public:
    explicit request_table(const request_table_settings& settings) : settings_{settings} {}

    [[nodiscard]] request_record* find(const request_id& id);
    request_record& add(request_record record);
    void remove(const request_id& id);
    /// Sets the outcome and tells all waiters. The record stays for its retention time.
    void end(const request_id& id, const outcome& result, timestamp now);
    /// Tells all waiters and forgets the record; for outcomes that claim nothing.
    void end_and_forget(const request_id& id, const outcome& result);
    /// Tells all waiters and leaves the request as it is.
    void tell_waiters(const request_id& id, const outcome& result);
    /// Replaces the outcome of an ended request when more has become known about it.
    void correct(const request_id& id, const outcome& result);
    void expire(timestamp now);

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
