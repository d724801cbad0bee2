#pragma once

#include "core/clock.h"
#include "jobs/guarded_callback.h"
#include "jobs/host_manager.h"
#include "jobs/job_scheduler.h"
#include "jobs/prefix_watch.h"
#include "jobs/progress_journal.h"
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
    /// Jobs in a final state are forgotten after this long; callers may ask for their state until then.
    duration retention{std::chrono::seconds{180}};
    duration retry{std::chrono::milliseconds{150}}; ///< Pause after a failed read while taking over.
};

struct job_leader_services {
    transaction_store& store;
    target_orders& orders;
    target_directory& directory;
    host_operations* hosts; ///< Null where hosts can't be moved or maintained.
    const clock& time;
    logger log;
    metric_registry& metrics;
};

enum class leader_errc { loading, unknown_job };

/// One term of leadership: takes over the stored jobs, schedules them, and writes down their progress.
class job_leader {
public:
    job_leader(job_leader_settings settings, job_leader_services services, fencing_token token,
               std::shared_ptr<const fleet_config> config, std::function<bool()> certain,
               std::function<void(const std::string&)> superseded);
    ~job_leader();
    job_leader(const job_leader&) = delete;
    job_leader& operator=(const job_leader&) = delete;

    void tick();
    void set_config(std::shared_ptr<const fleet_config> config);
    void set_waves(const std::map<std::string, maintenance_wave>& waves);

    /// Whether all stored jobs are known.
    [[nodiscard]] bool loaded() const { return loaded_; }
    [[nodiscard]] tl::expected<job_state, leader_errc> state_of(const job_id& id) const;
    [[nodiscard]] tl::expected<std::size_t, leader_errc> waiting_jobs(const queue_id& queue) const;

private:
    void load_progress(const std::string& after);
    void load_hosts();
    void restore_hosts(const std::vector<kv_entry>& entries);
    void follow_inbox();
    void on_inbox_snapshot(const std::vector<kv_entry>& entries);
    void on_inbox(const kv_entry& entry);
    void on_targets(const std::vector<target_info>& targets);
    void pump();
    void send(const target_command& command);
    void send_observations();
    void forget_old_jobs();
    void log_note(const scheduler_log_entry& n);
    void count_note(const scheduler_log_entry& n);
    void count_answer(const char* order, const tl::expected<order_answer, order_errc>& answer);
    [[nodiscard]] scheduler_time now() const;
    template <typename Function>
    auto guarded(Function f)
    {
        return guarded_callback(alive_, std::move(f));
    }

    const job_leader_settings settings_;
    job_leader_services services_;
    const fencing_token token_;
    const std::function<void(const std::string&)> superseded_;
    job_scheduler scheduler_;
    progress_journal journal_;
    std::unique_ptr<host_manager> hosts_; ///< Null where hosts can't be moved or maintained.
    std::unique_ptr<prefix_watch> inbox_;
    std::map<job_id, std::string> stored_progress_; ///< Read while taking over, until the jobs are known.
    std::map<scheduler_event, metric_counter> event_counters_; ///< Looked up once; notes are frequent.
    metric_histogram first_start_seconds_;
    std::map<job_id, timestamp> finished_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    timestamp next_forget_;
    timestamp next_load_;
    std::optional<std::string> load_after_; ///< Set while a failed read of progress waits to be repeated.
    bool hosts_due_ = false;                ///< The records about hosts have to be read.
    std::map<std::string, maintenance_wave> waves_;
    bool journal_opened_ = false;
    bool journal_opening_ = false;
    bool loaded_ = false;
    bool has_targets_ = false;
    bool stopped_ = false;
};

} // namespace mjm
