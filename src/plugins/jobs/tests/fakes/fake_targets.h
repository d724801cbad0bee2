#pragma once

#include "core/random_source.h"
#include "jobs/host_operations.h"
#include "jobs/target_directory.h"
#include "jobs/target_orders.h"
#include "virtual_loop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mjm {

/// What a host's next target has in common with the one before.
enum class restart_kind {
    new_address,  ///< Nothing: calls for the former target are not answered.
    same_address, ///< The address: calls for the former target get `order_errc::other_instance`.
    same_id,      ///< The address and the id, so that only the incarnation differs.
};

/// Simulates hosts with targets that run tasks under leases and fencing tokens, with faults. Checks
/// invariants on every start and host order, and records breaches in `violations`.
class fake_fleet {
public:
    static constexpr std::chrono::milliseconds call_timeout{700};

    fake_fleet(virtual_loop& loop, random_source& random) : loop_{loop}, random_{random} {}

    struct run {
        run_number number = 0;
        timestamp ends;
        bool permanent = false;
        /// When the time within which a cancellation must take effect begins at the earliest.
        timestamp cancellable_from;
        bool cancelled_too_late = false; ///< Whether a violation has been recorded for it.
        timestamp stopped_at;            ///< When a stop will have ended it; the epoch without a stop.
    };
    struct target {
        target_info info;
        bool up = true;
        target_incarnation entry_incarnation = 0; ///< What its entry names until `entry_changes`.
        timestamp entry_changes;
        bool cut = false; ///< Whether orders do not reach the target.
        timestamp last_cut;
        resources capacity;           ///< What it has; `info` may still tell a former one.
        bool guards_capacity = false; ///< Whether it refuses tasks that exceed its free capacity.
        std::vector<std::pair<timestamp, resources>> former_capacities; ///< With the ends of their times.
        timestamp draining_since; ///< The epoch if the target is not draining.
        fencing_token token = 0;
        timestamp lease_until;
        std::map<task_key, run> running;
        std::vector<listed_end> ended;
        std::map<task_key, run_number> closed; ///< Highest run number that was stopped or has ended.
        std::uint64_t last_end = 0;
        /// Ends up to this one were still listed when the lease of a run expired. A leader may have discarded
        /// their runs, so acknowledging them later does not mean that they were counted. The end of a lease
        /// under which nothing runs shows nothing, neither to the leader nor here.
        std::uint64_t stale_ends = 0;
    };

    /// Fraction of orders that are carried out 2 to 12 s late and not answered.
    double late_orders = 0.0;
    /// Fraction of orders that are carried out at once and not answered.
    double lost_answers = 0.0;
    /// Returns the run time of a task, or std::nullopt if it runs until it is stopped.
    std::function<std::optional<duration>(const task_key&)> run_time;
    resources task_need{1'500, 1'024, 0, 0}; ///< Share of its target's capacity that each task uses.
    /// Whether starts that exceed a target's capacity are refused by it or recorded as violations.
    bool check_capacity = false;
    /// Time that a stop takes; meanwhile the run still uses capacity.
    duration stop_time{0};
    /// Returns how a run of a task ends that is not stopped; null if all are done.
    std::function<run_end(const task_key&)> outcome;
    /// Returns whether a task crashes each target that starts it; null if none does.
    std::function<bool(const task_key&)> deadly;
    /// Largest number of ends in a report. It is far below the platform's, so that random runs meet it too.
    std::size_t most_ends_listed = 3;
    /// How and when a target that a task has crashed comes back.
    restart_kind restart_after_crash = restart_kind::same_address;
    duration restart_delay{std::chrono::seconds{3}};
    /// Time after a restart under the same id until the target's entry names the new incarnation.
    duration entry_delay{std::chrono::milliseconds{800}};
    /// Time for which a crashed target's entry remains in service discovery.
    duration entry_lifetime{0};

    void add_host(const std::string& host, const service_id& service);
    void crash(const std::string& host);
    void restart(const std::string& host, restart_kind kind = restart_kind::new_address);
    /// Crashes the host's target, if it is up, and restarts it after `delay`.
    void crash_for(const std::string& host, restart_kind kind, duration delay);
    /// Reports the host's target as draining. It leaves after `time`, and the next one joins 2 s later.
    void drain(const std::string& host, duration time, restart_kind kind);
    void set_guard(const std::string& host, bool guards) { find(host)->guards_capacity = guards; }
    /// Changes the capacity of the host, which its target tells `told_after` later.
    void set_capacity(const std::string& host, const resources& capacity, duration told_after);
    void set_cut(const std::string& host, bool cut) { find(host)->cut = cut; }
    void set_zone(const std::string& host, const zone_id& zone) { find(host)->info.zone = zone; }

    /// `sender_in_touch` tells whether the sender has had no fault for a while, so that bounds hold for it.
    void start(const target_ref& to, const start_order& order, bool sender_in_touch,
               const target_orders::order_callback& done);
    void stop(const target_ref& to, const task_key& task, run_number number, fencing_token token,
              const target_orders::order_callback& done);
    void observe(const target_ref& to, const lease_request& request,
                 const target_orders::report_callback& done);
    void maintain(const std::string& host, fencing_token token);
    void move(const std::string& host, const service_id& pool, fencing_token token);

    void step();
    [[nodiscard]] std::vector<target_info> listed() const;
    [[nodiscard]] std::vector<host_info> hosts() const;
    [[nodiscard]] std::size_t running(const job_id& id) const;
    /// Returns the tasks that run on the host's target.
    [[nodiscard]] std::vector<task_key> running_on(const std::string& host) const;
    /// Returns the host whose target has the address; empty if none has it.
    [[nodiscard]] std::string host_at(const http_endpoint& address) const;
    /// Returns the host on whose target the task runs; empty if it runs nowhere.
    [[nodiscard]] std::string host_of(const task_key& task) const;

    /// Crashes of targets by a deadly task, and starts of it that followed.
    struct deadly_history {
        int crashes = 0;
        int starts = 0;
        int starts_after_limit = 0; ///< Starts in time by senders in touch, after the third crash.
    };
    std::map<task_key, deadly_history> deadly_tasks;
    std::map<task_key, int> crashes_under; ///< Crashes of targets while the task ran there, by any cause.
    std::vector<std::string> violations;
    std::set<task_key> done_tasks;
    std::map<task_key, run_number> last_starts; ///< Number of each task's latest run that was started.
    /// Jobs whose tasks run until the job is cancelled, so that their attempts are not limited.
    std::set<job_id> limitless_attempts;
    std::map<task_key, int> failed_runs;        ///< Runs that have ended as failed.
    std::map<task_key, int> acknowledged_fails; ///< Those of them whose ends were acknowledged in time.
    /// When the cancellation of each job was acknowledged.
    std::map<job_id, timestamp> cancelled;
    /// When the request to evacuate each zone was acknowledged.
    std::map<zone_id, timestamp> evacuated;
    /// Latest time at which no leader worked without a fault.
    timestamp last_leader_fault;
    /// Jobs that were shown to callers as completed. None of their tasks may start.
    std::set<job_id> shown_completed;
    std::map<std::string, int> maintained;
    std::size_t starts = 0;
    std::size_t moves = 0;

private:
    struct given_order {
        fencing_token token = 0;
        timestamp at;
    };
    /// Records a violation if another leader gave an order for the host within the platform's lease time.
    void check_host_order(const std::string& host, fencing_token token);
    target* find(const std::string& host);
    /// Returns the target that answers at the address, or nullptr if none does.
    target* answering(const http_endpoint& at);
    [[nodiscard]] std::int64_t clock_ms() const;
    /// Extends the target's lease to the deadline on its clock.
    void extend_lease(target& t, std::int64_t deadline_ms) const;
    void end(target& t, const task_key& task, run_end how);
    /// `in_time` tells whether bounds on the time of a start hold for this one.
    void begin(target& t, const start_order& order, bool in_time);
    /// Records violations for runs of jobs that were cancelled long ago.
    void check_cancelled_runs(target& t);
    /// Returns the capacity that the target would need to run one more task.
    [[nodiscard]] resources use_with_one_more(const target& t) const;
    void check_capacity_of(const target& t, const start_order& order, bool in_time);
    void begin_deadly(const target& t, const task_key& task, bool in_time);
    void start_incarnation(target& t, restart_kind kind);
    /// Calls `effect(target, late)` when the order arrives, and `done` with its result. Calls `on_late` at
    /// once if the order will be carried out late.
    template <typename Callback, typename Effect>
    void deliver(const target_ref& to, Callback done, Effect effect,
                 const std::function<void(target&)>& on_late = {});

    virtual_loop& loop_;
    random_source& random_;
    std::map<std::string, target> hosts_;
    std::map<std::string, given_order> host_orders_;
    struct stale_entry {
        target_info info;
        timestamp until;
    };
    std::vector<stale_entry> stale_entries_; ///< Of targets that have crashed.
    target_incarnation last_incarnation_ = 0;
    std::uint16_t last_port_ = 0;
};

/// Sends the orders of one entry host to the fake fleet.
class fake_fleet_orders final : public target_orders {
public:
    fake_fleet_orders(virtual_loop& loop, fake_fleet& fleet) : loop_{loop}, fleet_{fleet} {}

    /// Returns whether the entry host has had no fault for a while; null if it never has one.
    std::function<bool()> in_touch;
    duration answer_delay{0};                ///< Time for which the entry host leaves answers unhandled.
    duration send_delay{0};                  ///< Time for which starts wait on the entry host.
    std::set<std::string> unreachable_hosts; ///< Hosts whose targets the entry host is cut off from.

    void start(const target_ref& target, const start_order& order, order_callback done) override
    {
        if (send_delay == duration{0})
            send_start(target, order, done);
        else
            loop_.after(send_delay, [this, target, order, done] { send_start(target, order, done); });
    }
    void stop(const target_ref& target, const task_key& task, run_number run, fencing_token token,
              order_callback done) override
    {
        if (reaches(target, done))
            fleet_.stop(target, task, run, token, handled_later(std::move(done)));
    }
    void observe(const target_ref& target, const lease_request& request, report_callback done) override
    {
        if (reaches(target, done))
            fleet_.observe(target, request, handled_later(std::move(done)));
    }
    void pace(const target_ref& /*target*/, const task_key& /*task*/, run_number /*run*/, int /*percent*/,
              fencing_token /*token*/, order_callback done) override
    {
        done(order_answer{});
    }

private:
    void send_start(const target_ref& target, const start_order& order, const order_callback& done)
    {
        if (loop_.time().now() >= order.send_until)
            done(tl::unexpected{order_errc::expired});
        else if (reaches(target, done))
            fleet_.start(target, order, !in_touch || in_touch(), handled_later(done));
    }
    /// Returns whether the target can be reached. Otherwise the order is lost and `done` is told so later.
    template <typename Callback>
    [[nodiscard]] bool reaches(const target_ref& target, const Callback& done)
    {
        if (!unreachable_hosts.contains(fleet_.host_at(target.endpoint)))
            return true;
        loop_.after(fake_fleet::call_timeout, [done] { done(tl::unexpected{order_errc::no_answer}); });
        return false;
    }

    template <typename Result>
    std::function<void(Result)> handled_later(std::function<void(Result)> done)
    {
        return [this, done](const Result& result) {
            if (answer_delay > duration{0})
                loop_.after(answer_delay, [done, result] { done(result); });
            else
                done(result);
        };
    }

    virtual_loop& loop_;
    fake_fleet& fleet_;
};

class fake_directory final : public target_directory {
public:
    fake_directory(virtual_loop& loop, fake_fleet& fleet) : loop_{loop}, fleet_{fleet} {}

    bool frozen = false;                ///< Whether changes of targets are not reported.
    duration delay{0};                  ///< Time for which the entry host leaves reports unhandled.
    std::set<std::string> lapsed_hosts; ///< Hosts whose targets have no entry.

    void open(handler h) override
    {
        handler_ = std::move(h);
        view_time_ = {};
    }
    void close() override { handler_ = {}; }
    void tick() override
    {
        if (!handler_.on_snapshot || frozen)
            return;
        if (delay == duration{0})
            report(loop_.time().now(), listed());
        else
            loop_.after(delay, [this, at = loop_.time().now(), targets = listed()] { report(at, targets); });
    }
    [[nodiscard]] timestamp view_time() const override { return view_time_; }

private:
    [[nodiscard]] std::vector<target_info> listed() const
    {
        std::vector<target_info> out = fleet_.listed();
        std::erase_if(out, [this](const target_info& t) { return lapsed_hosts.contains(t.host); });
        return out;
    }
    void report(timestamp at, const std::vector<target_info>& targets)
    {
        if (!handler_.on_snapshot || at < view_time_)
            return;
        view_time_ = at;
        handler_.on_snapshot(targets);
    }

    virtual_loop& loop_;
    fake_fleet& fleet_;
    handler handler_;
    timestamp view_time_;
};

class fake_host_operations final : public host_operations {
public:
    fake_host_operations(virtual_loop& loop, fake_fleet& fleet) : loop_{loop}, fleet_{fleet} {}

    void list(list_callback done) override
    {
        if (calls_lost)
            fail_unanswered(std::move(done));
        else
            loop_.after(latency, [this, done] { done(fleet_.hosts()); });
    }
    void move(const std::string& host, const service_id& pool, fencing_token token, timestamp send_until,
              done_callback done) override
    {
        send([this, host, pool, token] { fleet_.move(host, pool, token); }, send_until, std::move(done));
    }
    void maintain(const std::string& host, std::uint64_t /*wave*/, fencing_token token, timestamp send_until,
                  done_callback done) override
    {
        send([this, host, token] { fleet_.maintain(host, token); }, send_until, std::move(done));
    }
    void report_wave(const maintenance_wave& wave, bool completed, const std::string& record,
                     fencing_token token, done_callback done) override;

    /// Store to which records of waves are written; null to drop them.
    class fake_transaction_store* store = nullptr;
    std::map<std::string, bool> reported; ///< By name of the wave: whether it was reported as completed.
    bool calls_lost = false;              ///< Whether calls have no effect and get no answer.
    bool answers_lost = false;            ///< Whether orders are carried out and get no answer.
    duration send_delay{0};               ///< Time for which orders wait on the entry host.

private:
    static constexpr std::chrono::milliseconds latency{5};
    static constexpr std::chrono::milliseconds call_timeout{1000};

    template <typename Callback>
    void fail_unanswered(Callback done)
    {
        loop_.after(call_timeout, [done] { done(tl::unexpected{host_errc::no_answer}); });
    }
    void send(std::function<void()> effect, timestamp send_until, done_callback done)
    {
        if (send_delay > duration{0} && loop_.time().now() + send_delay >= send_until) {
            loop_.after(send_delay, [done] { done(tl::unexpected{host_errc::not_sent}); });
            return;
        }
        if (calls_lost) {
            fail_unanswered(std::move(done));
            return;
        }
        if (answers_lost)
            fail_unanswered(done);
        loop_.after(send_delay + latency,
                    [effect = std::move(effect), done = std::move(done), lost = answers_lost] {
                        effect();
                        if (!lost)
                            done({});
                    });
    }

    virtual_loop& loop_;
    fake_fleet& fleet_;
};

} // namespace mjm
