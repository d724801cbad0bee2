#pragma once

#include "core/task_types.h"
#include "core/time_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mjm {

/// Rules that a recorded run has to keep.
enum class history_rule {
    single_start,       ///< A request that is not idempotent starts at most once.
    not_run_is_true,    ///< Nothing of a submission that was answered 'not run' has started or starts later.
    one_answer,         ///< A submission has at most one answer.
    consistent_answers, ///< Two definite outcomes of work that ran agree.
    own_answer,         ///< A completed answer belongs to its own request.
    team_limit,
    target_slots,
    withdrawn_key,
    config_monotonic,
    leaving_target,
    answered_in_time,
    completes_after_faults,
};

template <>
struct enum_names<history_rule> {
    static constexpr std::array<std::pair<history_rule, std::string_view>, 12> entries{{
        {history_rule::single_start, "single_start"},
        {history_rule::not_run_is_true, "not_run_is_true"},
        {history_rule::one_answer, "one_answer"},
        {history_rule::consistent_answers, "consistent_answers"},
        {history_rule::own_answer, "own_answer"},
        {history_rule::team_limit, "team_limit"},
        {history_rule::target_slots, "target_slots"},
        {history_rule::withdrawn_key, "withdrawn_key"},
        {history_rule::config_monotonic, "config_monotonic"},
        {history_rule::leaving_target, "leaving_target"},
        {history_rule::answered_in_time, "answered_in_time"},
        {history_rule::completes_after_faults, "completes_after_faults"},
    }};
};

/// Everything that was submitted, answered and started in a run, and the checks over it.
class fleet_history {
public:
    /// A committed withdrawal is in force everywhere within this time.
    static constexpr duration key_bound{std::chrono::seconds{7}};
    static constexpr duration leaving_bound{std::chrono::seconds{3}};
    static constexpr std::int64_t slots_per_target = 8;

    struct answer_record {
        timestamp at;
        request_id id;
        outcome result;
    };
    struct submission_record {
        std::string host;
        std::string work; ///< The same for all submissions of one ticket; unique otherwise.
        std::string key;
        bool idempotent = false;
        timestamp at;
        bool withdrawn = false; ///< Its key was withdrawn longer ago than the bound.
        bool connected = true;  ///< False once the host that took it has crashed.
        std::vector<answer_record> answers;
    };
    struct start_record {
        task_id task;
        std::string target;
        timestamp at;
    };

    std::size_t submitted(const std::string& host, const std::string& work, const std::string& key,
                          bool idempotent, timestamp now);
    void answered(std::size_t submission, const request_id& id, const outcome& result, timestamp now);
    void host_crashed(const std::string& host);

    /// An owner sends a start. `work` is taken from the order's body.
    void start_sent(const task_id& task, const std::string& work, const std::string& host,
                    const std::string& target, timestamp now);
    /// A target begins to execute a task while `running` of its team run, itself included.
    void started(const task_id& task, const request_id& request, const std::string& target,
                 const std::string& team, std::int64_t running, timestamp now);
    void target_running(const std::string& target, std::int64_t running, timestamp now);
    /// Largest limit of a team that any host has in force now.
    void limit_in_force(const std::string& team, std::int64_t limit, timestamp now);
    void config_in_force(const std::string& host, std::uint64_t incarnation, std::uint64_t version,
                         timestamp now);
    void key_withdrawn(const std::string& key, timestamp committed) { withdrawn_[key] = committed; }
    void key_granted(const std::string& key) { withdrawn_.erase(key); }
    /// A host learned from the host list or its configuration that a target leaves; nothing when it no
    /// longer does.
    void told_leaving(const std::string& host, const std::string& target, bool leaving, timestamp now);
    void forget_host(const std::string& host);

    [[nodiscard]] std::size_t unanswered() const;
    /// Reports every submission that is still open.
    void expect_all_answered(timestamp now);
    void expect_completed(std::size_t submission, timestamp now);
    /// Checks what needs the whole run.
    void check_outcomes();

    [[nodiscard]] const std::vector<submission_record>& submissions() const { return submissions_; }
    [[nodiscard]] std::size_t starts() const { return starts_.size(); }
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] bool violated(history_rule rule) const;
    /// Submissions, answers and starts of one piece of work, for the trace of a failing seed.
    [[nodiscard]] std::string trace(const std::string& work) const;

private:
    void violate(history_rule rule, timestamp at, const std::string& detail);
    void check_not_run(std::size_t submission, const answer_record& answer);
    void check_consistent(const std::string& work, const std::vector<std::size_t>& submissions);

    struct limit_record {
        timestamp at;
        std::int64_t limit = 0;
    };

    std::vector<submission_record> submissions_;
    std::map<std::string, std::vector<start_record>> starts_; ///< By work.
    std::map<std::string, bool> idempotent_;                  ///< By work.
    std::map<task_id, std::string> work_of_task_;
    std::map<request_id, std::string> work_of_request_;
    std::map<std::string, std::vector<limit_record>> limits_;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>> versions_; ///< Incarnation and version.
    std::map<std::string, timestamp> withdrawn_;
    std::map<std::pair<std::string, std::string>, timestamp> leaving_; ///< By host and target.
    std::vector<std::string> violations_;
};

} // namespace mjm
