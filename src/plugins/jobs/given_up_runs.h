#pragma once

#include "jobs/job_types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace mjm {

/// What is known of a run that was given up.
struct given_up_run {
    /// Whether a report of its target's incarnation has listed it. Otherwise, its start may also have reached
    /// a later incarnation.
    bool listed = false;
    bool end_matters = true; ///< Whether its end decides if its task may run again.
    bool suspect = false;    ///< Whether it counts as unresolved in the crash history of its task.

    friend bool operator==(const given_up_run&, const given_up_run&) = default;
};

/// Runs that were given up because their targets were silent until the leases were over. Such a run may have
/// ended before that, and its target lists the end once it answers again. By then the task may have run
/// again, so the end needs a decision of its own. The store keeps these runs for the next leader, also beyond
/// the ends of their jobs.
class given_up_runs {
public:
    using run_id = std::pair<task_key, run_number>;
    struct target_runs {
        target_incarnation incarnation = 0;
        std::string host;        ///< Empty if unknown.
        std::uint64_t order = 0; ///< Targets with smaller numbers have been silent for longer.
        std::map<run_id, given_up_run> runs;
    };

    /// Runs that are kept at most; a stored entry takes up to 60 bytes.
    static constexpr std::size_t max_runs = 8000;

    void add(const target_id& target, target_incarnation incarnation, const std::string& host,
             const run_id& run, const given_up_run& known);
    /// Whether the run was given up and its end matters.
    [[nodiscard]] bool awaits_end(const target_id& target, const run_id& run) const;
    void remove(const target_id& target, const run_id& run);
    /// Handles that it is known, or no longer of interest, whether the target has crashed.
    void clear_suspects(const target_id& target);
    /// Removes the runs on the target for which the predicate is true.
    template <typename Predicate>
    void remove_if(const target_id& target, Predicate predicate)
    {
        const auto it = targets_.find(target);
        if (it == targets_.end())
            return;
        if (std::erase_if(it->second.runs, [&](const auto& entry) { return predicate(entry.first); }) > 0)
            ++changes_;
        erase_if_empty(it);
    }
    /// Handles that the target's process has ended.
    void on_target_ended(const target_id& target);
    /// Handles that the target runs as this incarnation, and its host has no earlier target any more.
    void on_incarnation(const target_id& target, target_incarnation incarnation, const std::string& host);
    /// Removes the targets that have been silent for longest while there are too many runs. Returns the
    /// number of runs that were removed.
    std::size_t drop_excess();

    [[nodiscard]] bool empty() const { return targets_.empty(); }
    [[nodiscard]] const std::map<target_id, target_runs>& targets() const { return targets_; }
    /// Number of changes so far, by which the caller tells whether the store has the latest one.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }

    [[nodiscard]] std::string encode() const;
    /// Returns no value if the text can't be read. The result counts as unchanged.
    [[nodiscard]] static std::optional<given_up_runs> decode(std::string_view text);

private:
    void erase_if_empty(std::map<target_id, target_runs>::iterator it);

    std::map<target_id, target_runs> targets_;
    std::uint64_t last_order_ = 0;
    std::uint64_t changes_ = 0;
};

} // namespace mjm
