#pragma once

#include "fleet_fixture.h"
#include "fleet_history.h"
#include "message_faults.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mjm {

struct random_fleet_settings {
    std::uint64_t seed = 1;
    duration fault_time{std::chrono::seconds{60}};
    duration mean_between_submissions{std::chrono::milliseconds{150}};
    duration mean_between_faults{std::chrono::seconds{4}};
    bool duplicate_starts = false;
    std::function<std::unique_ptr<target_client>(target_client&)> wrap_targets{};
    /// Changes answers before they are recorded, as a faulty front would.
    std::function<void(caller_answer&)> alter_answer{};
};

/// One randomised run over a fleet of entry nodes: load and overlapping faults, then a time without faults
/// in which everything has to settle. The same seed gives the same run.
class random_fleet final : private fleet_observer {
public:
    explicit random_fleet(const random_fleet_settings& settings);
    ~random_fleet() override;

    void run();
    /// One step of virtual time, with its checks.
    void step();

    std::size_t submit(const std::string& host, const std::string& team, bool idempotent);

    [[nodiscard]] fleet_fixture& fleet() { return fleet_; }
    [[nodiscard]] fleet_history& history() { return history_; }
    /// Violations found by the history and by the program's own checks.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::string trace() const;

private:
    struct active_fault {
        std::string subject; ///< Two faults of one subject do not overlap.
        timestamp until;
        std::function<void()> undo;
    };
    struct known_ticket {
        std::string work;
        std::string team;
        std::string text;
        timestamp issued;
    };
    struct known_request {
        std::string work;
        std::string key;
        bool idempotent = false;
        request_id id;
    };

    void start_sent(const std::string& host, const target_id& target, const start_order& order) override;
    void list_received(const std::string& host, const std::vector<listed_host>& listed) override;

    // random_fleet.cpp
    void finish_tasks();
    void observe_starts();
    void observe_hosts();
    void return_targets();
    void settle();
    std::size_t submit(const std::string& host, caller_request call, const std::string& work);
    void submit_random();
    void resubmit_ticket(const std::string& host);
    void cancel_request(const known_request& request);
    [[nodiscard]] std::string random_live_host();
    [[nodiscard]] bool usable(const std::string& host) const;
    [[nodiscard]] bool chance(double probability) { return dice_.chance(probability); }
    template <typename Container>
    [[nodiscard]] const auto& any_of(const Container& items)
    {
        return *std::next(items.begin(), static_cast<std::ptrdiff_t>(dice_.below(items.size())));
    }
    [[nodiscard]] duration between(duration least, duration most);

    // random_faults.cpp
    void begin_fault();
    void end_faults(bool all);
    void add_fault(const std::string& subject, duration length, std::function<void()> undo);
    [[nodiscard]] bool busy(const std::string& subject) const;
    void fault_messages();
    void fault_pause();
    void fault_crash();
    void fault_drain();
    void fault_store();
    void fault_cut();
    void fault_partition();
    void fault_host_list();
    void fault_target();
    void fault_cancellations();
    void change_config();
    /// A host that reaches the store and is bound by no promise; empty when there is none.
    [[nodiscard]] std::string committer();
    void commit(const fleet_config& next, const std::string& host);
    void publish_list();
    void log(const std::string& event);

    random_fleet_settings settings_;
    seeded_random dice_;
    fleet_fixture fleet_;
    fleet_history history_;
    message_faults messages_;
    std::vector<active_fault> faults_;
    std::set<target_id> failing_;
    std::set<target_id> listed_leaving_;
    std::set<target_id> unlisted_;
    std::map<std::string, std::uint64_t> incarnations_;
    std::map<std::string, timestamp> reachable_since_; ///< Since when a host has reached the store.
    std::map<std::string, std::set<target_id>> told_by_list_;
    std::map<target_id, std::size_t> runs_seen_;
    std::map<task_id, timestamp> ends_at_;
    std::vector<known_ticket> tickets_;
    std::vector<known_request> requests_;
    std::size_t last_work_ = 0;
    std::vector<std::string> log_;
};

} // namespace mjm
