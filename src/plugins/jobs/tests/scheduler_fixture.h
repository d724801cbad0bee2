#pragma once

#include "jobs/job_scheduler.h"

#include <string>
#include <vector>

namespace mjm {

/// A scheduler with a pool of targets, driven by hand.
class scheduler_fixture {
    // Before the scheduler, which is constructed with them.
    timestamp now_{std::chrono::hours{1}};
    std::int64_t unix_ms_ = 1'000'000'000;

public:
    static constexpr fencing_token token = 7;

    scheduler_fixture();

    /// A target of the pool `fit` with 32 cores and 128 GiB that has answered this leader.
    target_id add_target(const std::string& name, const std::string& service = "fit");
    target_info info_of(const std::string& name, const std::string& service = "fit") const;
    /// A job of one step; `change` adapts the step.
    job_id add_job(const std::string& name, std::uint32_t tasks, std::int64_t milli_cpu = 2000,
                   const std::function<void(step_spec&)>& change = {});
    /// A job of one step whose tasks the targets have confirmed; returns the starts.
    std::vector<start_command> run_job(const std::string& name, std::uint32_t tasks,
                                       std::int64_t milli_cpu = 2000,
                                       const std::function<void(step_spec&)>& change = {});
    job_record record_of(const std::string& name, std::uint32_t tasks, std::int64_t milli_cpu = 2000) const;

    void advance(duration d);
    [[nodiscard]] scheduler_time now() const { return {now_, unix_ms_}; }
    /// Plans, stores everything, and returns the starts that go out.
    std::vector<start_command> plan_and_store();
    std::vector<start_command> take_starts();
    std::vector<stop_command> take_stops();
    void confirm(const start_command& start);
    /// Sends what the target lists; `ends` are added to those listed before.
    void report(const target_id& target, const std::vector<listed_run>& running,
                const std::vector<listed_end>& ended = {}, target_incarnation incarnation = 1);
    /// An observation that gets no answer.
    void miss(const target_id& target);

    job_scheduler scheduler;
    std::vector<scheduler_log_entry> notes;

private:
    void sort_commands();

    std::vector<start_command> starts_;
    std::vector<stop_command> stops_;
};

/// The run as a target lists it while it works.
[[nodiscard]] listed_run running(const start_command& start);
[[nodiscard]] listed_end ended(const start_command& start, std::uint64_t sequence, run_end how);

} // namespace mjm
