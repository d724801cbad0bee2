#pragma once

#include "core/clock.h"
#include "core/random_source.h"
#include "platform/peer_client.h"
#include "scheduling/fair_queue.h"
#include "scheduling/retry_budget.h"
#include "scheduling/run_estimator.h"
#include "shard/permit_source.h"
#include "shard/request_table.h"
#include "shard/run_statistics.h"
#include "shard/target_set.h"
#include "shard/task_ledger.h"
#include "shard/ticket.h"
#include "shard/work_picker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace mjm {

struct shard_owner_settings {
    target_lease_settings lease;
    request_table_settings table;
    fair_queue_limits queue;
    retry_budget_settings retries;
    duration ticket_validity{std::chrono::minutes{5}};
    duration recovery_wait{std::chrono::seconds{5}}; ///< For a request whose ticket is of an earlier epoch.
    unsigned max_attempts = 8; ///< Starts sent for one request, also those that provably did not run.
    unsigned max_runs = 3;     ///< Starts that may have run; above 1 only for idempotent requests.
};

/// What a shard's owner tells about its load.
struct shard_load {
    std::size_t queued = 0;
    std::int64_t running = 0;
    std::int64_t free_slots = 0;
    duration mean_run{0};
};

/// Kinds of events that a shard's owner reports for the time line.
enum class shard_event { started, ended, retried, taken_over, recovered, target_opened };

struct shard_event_record {
    shard_event kind = shard_event::started;
    shard_id shard;
    request_id request;
    team_id team;
    target_id target;
    std::string detail;
};

/// Owner of one shard at one epoch: takes its requests, starts their tasks on the shard's targets, and
/// answers for their outcomes. Destroy it only after `close`.
class shard_owner {
public:
    struct environment {
        const clock& time;
        random_source& random;
        target_client& targets;
        permit_source& permits;
        /// Confirms by a fresh store read that this host still owns the shard at this epoch.
        target_lease::confirm_function confirm;
        std::function<void(const shard_event_record&)> report;
        /// False while permits cannot be moved.
        std::function<bool()> store_reachable;
    };

    shard_owner(const shard_id& shard, shard_epoch epoch, environment env,
                const shard_owner_settings& settings);
    ~shard_owner();
    shard_owner(const shard_owner&) = delete;
    shard_owner& operator=(const shard_owner&) = delete;

    void configure(const fleet_config& config);
    void set_listed_state(const target_id& target, bool leaving, bool gone);
    void set_remote_usage(const team_id& team, double dominant_fraction);
    /// This shard's part of the fleet's capacity, in (0, 1].
    void set_fleet_fraction(double fraction) { queue_.set_fleet_fraction(fraction); }

    /// Takes a request, or joins it when its identifier is known. `done` is called once, now or later.
    void submit(const request& work, outcome_function done);
    /// Waits for a known request's outcome, or answers at once with `peek`.
    void look_up(const request_id& id, bool wait, outcome_function done);
    void cancel(const request_id& id, outcome_function done);

    void tick();
    /// Ends ownership: nothing is started any more, and every open request is answered `moved`.
    void close();

    [[nodiscard]] const shard_id& shard() const { return shard_; }
    [[nodiscard]] shard_epoch epoch() const { return epoch_; }
    [[nodiscard]] shard_load load() const;
    [[nodiscard]] std::map<team_id, std::int64_t> running_by_team() const { return tasks_.by_team(); }
    [[nodiscard]] resources usable_capacity() const { return targets_.usable_capacity(); }
    /// True when the lists of all targets have been taken in.
    [[nodiscard]] bool recovered() const { return targets_.all_fenced(); }

private:
    void admit(request_record record);
    void admit_or_recover(const request& work, outcome_function done);
    [[nodiscard]] std::optional<reason> refusal_of(const request_record& record) const;
    void enqueue(request_record& record);
    void pump();
    bool start_next();
    void start_task(request_record& record, const target_id& target);
    void settle_recovering();
    void resume_backoffs();
    void expire_queue();
    void refuse_without_permits();

    [[nodiscard]] attempt_events events_for(const task_id& task);
    void task_answered(const task_id& id, const task_result& result);
    void task_not_started(const task_id& id, target_errc ec);
    void task_ended_unknown(const task_id& id);
    void task_lost(const task_id& id);
    void stop_other_attempt(const request_record& record, const task_id& finished);
    void work_failed(request_record& record, const active_task& task, const task_result& result);
    void retry(request_record& record, bool spend_budget, const outcome& otherwise);
    [[nodiscard]] bool may_run_again(const request_record& record) const;

    void target_opened(const target_id& target, const lease_grant& grant, bool rebooted);
    void target_tasks_ended(const target_id& target);
    void adopt(const target_id& target, const task_report& known);
    void adopt_again(request_record& record, const target_id& target, const task_report& known);
    void fetch_retained(request_record& record);
    void retained_result(const request_id& id, const tl::expected<task_result, target_errc>& result);
    void make_attempt(const request_record& record, const task_id& id, const target_id& target,
                      bool taken_over);
    void cancel_running(request_record& record, outcome_function done);

    void end(const request_id& id, outcome_kind kind, reason why, std::string body = {});
    /// Ends a request that waits to be started: refused, or unknown when an earlier attempt may have run.
    void end_without_result(const request_record& record, reason why);
    /// Ends a cancelled request of which no attempt runs.
    void end_cancelled(const request_record& record);
    void report(shard_event kind, const request_id& id, const team_id& team, const target_id& target,
                std::string detail) const;
    void update_demand();
    [[nodiscard]] std::int64_t free_permits(const team_id& team) const;
    [[nodiscard]] duration advised_retry_delay() const;

    const shard_id shard_;
    const shard_epoch epoch_;
    environment env_;
    shard_owner_settings settings_;
    ticket_codec tickets_{""};
    target_set targets_;
    task_ledger tasks_;
    request_table requests_;
    fair_queue queue_;
    work_picker picker_;
    run_estimator estimator_;
    retry_budget retries_;
    std::set<request_id> recovering_;
    std::multimap<timestamp, request_id> backoffs_;
    std::set<team_id> known_teams_;
    run_statistics statistics_;
    timestamp next_demand_;
    bool closed_ = false;
    bool recovery_reported_ = false;
    bool pumping_ = false;
};

} // namespace mjm
