#pragma once

#include "core/clock.h"
#include "jobs/fleet_config.h"
#include "jobs/transaction_store.h"
#include "logging/logger.h"
#include "metrics/metric_registry.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mjm {

/// Reason why a caller's request failed.
enum class front_errc {
    no_config,     ///< This host has not received a configuration yet; nothing was done.
    no_such_queue, ///< No queue matches the host and path.
    unknown_key,   ///< The key belongs to no team.
    invalid_job,   ///< The job's name or specification is invalid, or another team uses the name; nothing was
                   ///< done.
    unsupported_job,    ///< The job needs gangs or advice, which are not supported; nothing was done.
    unknown_job,        ///< No job with this name exists, or the caller's team may not see it.
    store_unavailable,  ///< The store refused the request or is unreachable; nothing was done.
    outcome_unknown,    ///< The store did not answer; the change may have been made.
    leader_unavailable, ///< No leader answered.
};

template <>
struct enum_names<front_errc> {
    static constexpr std::array<std::pair<front_errc, std::string_view>, 9> entries{{
        {front_errc::no_config, "no_config"},
        {front_errc::no_such_queue, "no_such_queue"},
        {front_errc::unknown_key, "unknown_key"},
        {front_errc::invalid_job, "invalid_job"},
        {front_errc::unsupported_job, "unsupported_job"},
        {front_errc::unknown_job, "unknown_job"},
        {front_errc::store_unavailable, "store_unavailable"},
        {front_errc::outcome_unknown, "outcome_unknown"},
        {front_errc::leader_unavailable, "leader_unavailable"},
    }};
};

/// Queries the current leader for the state of jobs and queues. Each callback runs once, on the caller's
/// thread.
class leader_link {
public:
    /// The error is `unknown_job` if the leader does not know the job, `leader_unavailable` if no leader
    /// answered.
    using state_callback = std::function<void(tl::expected<job_status, front_errc>)>;
    using count_callback = std::function<void(tl::expected<std::size_t, front_errc>)>;

    leader_link() = default;
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;
    virtual ~leader_link() = default;

    virtual void state_of(const job_id& id, state_callback done) = 0;
    virtual void waiting_jobs(const queue_id& queue, count_callback done) = 0;
};

/// Address and key of a caller's request.
struct caller_address {
    std::string host;
    std::string path; ///< The queue's prefix, followed by the job's name.
    std::string key;  ///< API key; empty if the request has none.
};

struct job_front_settings {
    /// Largest number of tasks of a job over all its occurrences; the progress of more would not fit into one
    /// entry of the store.
    std::size_t max_tasks = 2000;
    /// A job whose write has an unknown outcome is written again for this long before the caller gets
    /// `outcome_unknown`.
    duration write_timeout{std::chrono::milliseconds{2400}};
    /// While the store is unreachable, one job per interval is written as a probe; all others are refused at
    /// once.
    duration probe_interval{std::chrono::milliseconds{400}};
};

/// Handles callers' requests on any entry host. A job is accepted as soon as the store has it. A job of
/// another team is answered like one that does not exist. Each callback runs once, either later or from
/// within the call.
class job_front {
public:
    using done_callback = std::function<void(tl::expected<void, front_errc>)>;
    using state_callback = std::function<void(tl::expected<job_state, front_errc>)>;

    job_front(job_front_settings settings, transaction_store& store, leader_link& leader, const clock& time,
              logger log, metric_registry& metrics);

    void set_config(std::shared_ptr<const fleet_config> config) { config_ = std::move(config); }
    [[nodiscard]] bool configured() const { return config_ != nullptr; }

    /// Stores a job. Succeeds as well if the team's job with this name has been accepted before.
    void submit(const caller_address& caller, job_spec spec, done_callback done);
    /// Stores the request to cancel a job. Succeeds as well if the job has already been cancelled.
    void cancel(const caller_address& caller, done_callback done);
    /// Asks the leader for the state of a job, and reads it from the store if the leader can't tell.
    void state_of(const caller_address& caller, state_callback done);
    /// Asks the leader for the number of waiting jobs of the queue.
    void waiting_jobs(const caller_address& caller, leader_link::count_callback done);

private:
    struct route {
        const queue_config* queue = nullptr;
        team_id team;
        job_id id; ///< Empty if the path is just the queue's prefix.
    };
    [[nodiscard]] tl::expected<route, front_errc> resolve(const caller_address& caller) const;
    /// Whether a job may be written: always if the store is reachable, otherwise once per `probe_interval`.
    [[nodiscard]] bool may_try_store();
    [[nodiscard]] bool valid(const job_spec& spec) const;
    void log_refusal(const char* call, const caller_address& caller, front_errc ec) const;
    /// A call for one job, as far as it decides whose jobs the caller may see.
    struct job_call {
        std::string name;
        job_id id;
        team_id team;
        queue_id open_queue; ///< The caller's queue if it is open to all, else empty.
    };
    [[nodiscard]] static job_call make_call(std::string name, const route& r);
    [[nodiscard]] bool may_see(const job_call& call, const job_owner& owner) const;
    /// The same; a call that concerns another team's job is logged and counted.
    [[nodiscard]] bool check_owner(const job_call& call, const job_owner& owner);
    [[nodiscard]] bool check_record(const job_call& call, std::string_view text);
    /// Reports `unknown_job` unless the store has the job and the caller may see it.
    void find_accepted(const job_call& call, done_callback done);
    void write_job(const job_call& call, const std::string& text, timestamp retry_until, bool maybe_written,
                   done_callback done);
    void write_cancellation(const job_id& id, done_callback done);
    void read_state(const job_call& call, state_callback done);

    const job_front_settings settings_;
    transaction_store& store_;
    leader_link& leader_;
    const clock& time_;
    logger log_;
    metric_registry& metrics_;
    std::shared_ptr<const fleet_config> config_;
    /// Callbacks of calls that end after the destruction of this object do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool store_unreachable_ = false; ///< Whether the latest write of a job that ended got no valid answer.
    timestamp next_probe_;
};

} // namespace mjm
