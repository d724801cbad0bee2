#pragma once

#include "jobs/job_scheduler.h"

#include <string>
#include <vector>

namespace mjm {

/// A scheduler with a pool of targets whose time, answers and reports the test supplies.
class scheduler_fixture {
    // Declared before the scheduler, which is constructed with them.
    timestamp now_{std::chrono::hours{1}};
    std::int64_t unix_ms_ = 1'000'000'000;

public:
    static constexpr fencing_token token = 7;
    /// What is left of this leader's own lease, which is renewed all the time.
    static constexpr std::chrono::milliseconds leader_lease{1700};

    scheduler_fixture();

    /// Adds a target with 32 cores and 128 GiB that has answered this leader.
    target_id add_target(const std::string& name, const std::string& service = "fit");
    target_info info_of(const std::string& name, const std::string& service = "fit") const;
    /// Adds a job of one step, which `modify` may change.
    job_id add_job(const std::string& name, std::uint32_t tasks, std::int64_t milli_cpu = 2000,
                   const std::function<void(step_spec&)>& modify = {});
    /// Adds a job of one step, confirms the starts of its tasks, and returns these starts.
    std::vector<start_command> run_job(const std::string& name, std::uint32_t tasks,
                                       std::int64_t milli_cpu = 2000,
                                       const std::function<void(step_spec&)>& modify = {});
    job_record record_of(const std::string& name, std::uint32_t tasks, std::int64_t milli_cpu = 2000) const;

    void advance(duration d);
    [[nodiscard]] scheduler_time now() const { return {now_, unix_ms_}; }
    /// Returns what the clock of every target shows.
    [[nodiscard]] std::int64_t clock_ms() const { return to_ms(now_.time_since_epoch()); }
    /// Plans, confirms that all progress is stored, and returns the resulting starts.
    std::vector<start_command> plan_and_store();
    std::vector<start_command> take_starts() { return take_starts(now()); }
    /// Returns the starts that the scheduler sends at the given time.
    std::vector<start_command> take_starts(scheduler_time time);
    std::vector<stop_command> take_stops();
    std::vector<pace_command> take_paces();
    void confirm(const start_command& start);
    /// Reports the runs and ends that the target lists.
    void report(const target_id& target, const std::vector<listed_run>& running,
                const std::vector<listed_end>& ended = {}, target_incarnation incarnation = 1);
    /// The same for a target that may have more runs and ends than it lists.
    void report_part(const target_id& target, const std::vector<listed_run>& running,
                     const std::vector<listed_end>& ended = {}, target_incarnation incarnation = 1);
    /// The same for a target without runs in whose list the end at the position can't be read.
    void report_unreadable_end(const target_id& target, std::uint64_t position,
                               const std::vector<listed_end>& readable);
    /// Plays an observation without an answer.
    void miss(const target_id& target);

    job_scheduler scheduler;
    std::vector<scheduler_log_entry> log_entries;

private:
    void observe(const target_id& target, target_report report);
    void sort_commands(scheduler_time time);

    std::vector<start_command> starts_;
    std::vector<stop_command> stops_;
    std::vector<pace_command> paces_;
};

/// Returns the entry with which a target lists a running run.
[[nodiscard]] listed_run running(const start_command& start);
/// Returns the entry with which a target lists an ended run.
[[nodiscard]] listed_end ended(const start_command& start, std::uint64_t sequence, run_end how);

} // namespace mjm
