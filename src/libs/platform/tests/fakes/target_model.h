#pragma once

#include "core/time_types.h"
#include "platform/target_client.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mjm {

struct target_model_settings {
    std::int64_t slots = 8;
    duration challenge_ttl{std::chrono::seconds{10}};
    duration retention{std::chrono::minutes{10}}; ///< Of results and of tombstones.
};

/// One execution of a task, for checkers.
struct task_run {
    task_id task;
    request_id request;
    team_id team;
    timestamp started;
    std::optional<timestamp> ended;
    task_state state = task_state::running;
};

/// Decision rules of a target (fencing, leases, slots, retained results), without sockets or timers.
/// Shared by `fake_target` and `mjm_target_standin`.
class target_model {
public:
    /// What to do about an accepted start or fetch.
    enum class start_action {
        execute, ///< New task: execute it and report its end with `finish`.
        join,    ///< It already runs: wait for its end.
        ended,   ///< It ended before; `result` has what is retained.
    };

    target_model(target_id id, const target_model_settings& settings, timestamp now);

    [[nodiscard]] target_challenge challenge(timestamp now);
    [[nodiscard]] tl::expected<lease_grant, target_errc>
    open_lease(const lease_token& token, const std::string& challenge, duration ttl, timestamp now);
    [[nodiscard]] tl::expected<usage_report, target_errc> renew(const lease_token& token, timestamp now);
    [[nodiscard]] tl::expected<start_action, target_errc> start(const lease_token& token,
                                                                const start_order& order, timestamp now);
    [[nodiscard]] tl::expected<start_action, target_errc> fetch(const task_id& task, timestamp now);
    [[nodiscard]] tl::expected<task_state, target_errc> stop(const lease_token& token, const task_id& task,
                                                             timestamp now);

    /// Ends a running task; false when it no longer runs (stopped meanwhile or lost by a reboot).
    bool finish(const task_id& task, bool succeeded, const std::string& body, timestamp now);
    /// Result of an ended task. A task that was stopped while it ran has no result: `bad_response`, which
    /// does not claim that nothing ran.
    [[nodiscard]] tl::expected<task_result, target_errc> result(const task_id& task) const;
    [[nodiscard]] bool running(const task_id& task) const { return running_.contains(task); }
    /// Stops the tasks of a lapsed lease and drops what is retained too long. Returns the tasks stopped.
    std::vector<task_id> expire(timestamp now);

    /// Loses all memory and takes a new boot identifier; running tasks are killed. The run log stays.
    void reboot(timestamp now);
    void set_leaving(bool on) { leaving_ = on; }

    [[nodiscard]] const target_id& id() const { return id_; }
    [[nodiscard]] const std::string& boot_id() const { return boot_id_; }
    [[nodiscard]] std::int64_t running_count() const { return static_cast<std::int64_t>(running_.size()); }
    [[nodiscard]] std::int64_t running_high_water() const { return high_water_; }
    [[nodiscard]] const std::vector<task_run>& runs() const { return runs_; }
    void clear_runs();

private:
    struct task_record {
        task_report report;
        bool succeeded = false;
        std::string body;
        std::size_t run = 0; ///< Index into `runs_`; meaningless for a tombstone.
    };

    [[nodiscard]] std::optional<target_errc> check_token(const lease_token& token, timestamp now) const;
    void end_task(task_record& record, task_state state, timestamp now);
    [[nodiscard]] resources used() const;

    target_id id_;
    target_model_settings settings_;
    std::uint64_t boot_count_ = 0;
    std::string boot_id_;
    timestamp booted_;
    std::uint64_t last_challenge_ = 0;
    std::map<std::string, timestamp> challenges_;
    std::optional<lease_token> lease_; ///< Highest one seen in this boot, also after it lapsed.
    duration lease_ttl_{0};
    timestamp lease_ends_;
    bool leaving_ = false;
    std::map<task_id, task_record> tasks_;
    // Kept beside `tasks_`, so that a call does not visit every retained result.
    std::set<task_id> running_;
    std::deque<std::pair<timestamp, task_id>> ended_; ///< In order of time.
    std::vector<task_run> runs_;
    std::int64_t high_water_ = 0;
};

} // namespace mjm
