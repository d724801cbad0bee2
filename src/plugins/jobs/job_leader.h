#pragma once

#include "core/clock.h"
#include "core/executor.h"
#include "jobs/guarded_callback.h"
#include "jobs/host_manager.h"
#include "jobs/job_scheduler.h"
#include "jobs/leader_events.h"
#include "jobs/prefix_watch.h"
#include "jobs/progress_journal.h"
#include "jobs/run_time_store.h"
#include "jobs/target_directory.h"
#include "jobs/transaction_store.h"
#include "logging/logger.h"
#include "metrics/metric_registry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mjm {

struct job_leader_settings {
    scheduler_settings scheduling;
    host_manager_settings hosts;
    /// Jobs in a final state are removed after this long. Until then callers may ask for their state.
    duration retention{std::chrono::seconds{180}};
    /// Largest age of the view of accepted jobs with which the number of waiting jobs is told.
    duration max_count_age{std::chrono::milliseconds{2000}};
    /// Longest time without an answer that shows the store's revision, after which one is asked for. The age
    /// of a view is known only as far as such answers tell.
    duration revision_interval{std::chrono::milliseconds{250}};
    /// Delay before a failed read is repeated while taking over.
    duration retry{std::chrono::milliseconds{150}};
    int job_log_percent = 2; ///< Share of the jobs whose every run is logged at level `info`.
};

struct job_leader_services {
    transaction_store& store;
    target_orders& orders;
    target_directory& directory;
    host_operations* hosts; ///< Null where hosts can't be moved or maintained.
    executor& callbacks; ///< Runs work on the leader's thread, after the work that is already queued there.
    const clock& time;
    logger log;
    metric_registry& metrics;
    /// Returns the time whose configuration the leader has been given; null if it doesn't change.
    std::function<timestamp()> config_known_at = {};
};

enum class leader_errc { loading, unknown_job, falls_behind };

/// One term of leadership: takes over the stored jobs, schedules them, and stores their progress.
class job_leader {
public:
    /// `lease_until` returns the time until which no other entry host can lead. `superseded` is called with
    /// the reason when another leader has taken over; this one then does nothing more.
    job_leader(job_leader_settings settings, job_leader_services services, fencing_token token,
               std::shared_ptr<const fleet_config> config, std::function<timestamp()> lease_until,
               std::function<void(const std::string&)> superseded);
    ~job_leader();
    job_leader(const job_leader&) = delete;
    job_leader& operator=(const job_leader&) = delete;

    void tick();
    void set_config(std::shared_ptr<const fleet_config> config);
    void set_requests(const operator_requests& requests);

    [[nodiscard]] const evacuation_state& evacuation() const { return scheduler_.evacuation(); }
    /// Returns the state of a job as callers see it, and its owner.
    [[nodiscard]] tl::expected<job_status, leader_errc> state_of(const job_id& id) const;
    /// Returns the number of waiting jobs of a queue. Fails if this leader may not know of recent ones.
    [[nodiscard]] tl::expected<std::size_t, leader_errc> waiting_jobs(const queue_id& queue) const;

private:
    void load_progress(const std::string& after);
    void load_hosts(const std::string& after);
    void restore_hosts(const std::vector<kv_entry>& entries);
    /// Restores what earlier leaders stored of targets that were silent.
    void restore_silent_targets(const std::vector<kv_entry>& entries);
    void follow_inbox();
    void on_inbox_snapshot(const std::vector<kv_entry>& entries);
    void on_inbox(const kv_entry& entry);
    void on_targets(const std::vector<target_info>& targets);
    /// Runs `plan_and_send` once all events that are already queued have been handled, so that its cost is
    /// shared by them.
    void request_pass();
    /// Asks the store for its revision, unless an answer has shown it recently.
    void read_store_revision();
    /// Tells the scheduler how recent its views are and until when this host leads.
    void update_limits();
    /// Logs that the views have become too old for starts, or recent again.
    void log_view_age(const view_times& known);
    void observe_cancel_delay(const kv_entry& entry);
    /// Plans, stores what has changed, and sends the commands and observations that are due.
    void plan_and_send();
    void send(const target_command& command);
    void send_observations();
    void remove_expired_jobs();
    [[nodiscard]] scheduler_time now() const;
    template <typename Function>
    auto guarded(Function f)
    {
        return guarded_callback(alive_, std::move(f));
    }

    const job_leader_settings settings_;
    job_leader_services services_;
    const fencing_token token_;
    const std::function<timestamp()> lease_until_;
    const std::function<void(const std::string&)> superseded_;
    leader_events events_;
    job_scheduler scheduler_;
    progress_journal journal_;
    run_time_store run_times_;
    std::unique_ptr<host_manager> hosts_; ///< Null where hosts can't be moved or maintained.
    std::unique_ptr<prefix_watch> inbox_;
    std::map<job_id, std::string> stored_progress_; ///< Read while taking over; empty once loaded.
    metric_histogram start_delay_seconds_;
    metric_histogram cancel_delay_seconds_;
    metric_counter extended_leases_;
    metric_counter withheld_leases_; ///< Extensions that were left out, since another host may have led.
    metric_gauge target_view_age_seconds_;
    metric_gauge cancel_view_age_seconds_;
    metric_gauge config_view_age_seconds_;
    std::map<job_id, timestamp> finished_at_; ///< When each job in a final state was first seen as such.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    timestamp next_removal_;
    timestamp next_observation_search_;
    timestamp next_revision_read_;
    timestamp next_load_;
    std::optional<std::string> load_after_; ///< Key after which a failed read of progress is to be repeated.
    std::optional<std::string> load_hosts_after_; ///< The same for the records about hosts.
    std::vector<kv_entry> host_entries_;          ///< Records about hosts that have been read so far.
    operator_requests requests_;
    bool journal_opened_ = false;
    bool journal_opening_ = false;
    bool loaded_ = false;
    bool has_targets_ = false;
    bool pass_requested_ = false;
    bool starts_paused_ = false; ///< Whether the views were too old for starts when they were last checked.
    bool stopped_ = false;
};

} // namespace mjm
