#pragma once

#include "core/clock.h"
#include "jobs/fleet_config.h"
#include "jobs/transaction_store.h"
#include "logging/logger.h"

#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace mjm {

/// Why a caller's request was not granted.
enum class front_errc {
    no_config,          ///< This host has no configuration yet; nothing was done.
    no_such_queue,      ///< No queue has this address.
    unknown_key,        ///< The key belongs to no team.
    invalid_job,        ///< The job can't be run by any fleet; nothing was done.
    unsupported_job,    ///< It needs gangs or advice, which this version does not offer; nothing was done.
    unknown_job,        ///< No job of this name is known.
    store_unavailable,  ///< The store refused or can't be reached; nothing was done.
    outcome_unknown,    ///< The store did not answer; the change may have been made.
    leader_unavailable, ///< No leader could be asked.
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

/// Where the current leader's knowledge of jobs can be read. Callbacks run once, on the caller's thread.
class leader_link {
public:
    /// `unknown_job` when the leader does not know the job, `leader_unavailable` when no leader answered.
    using state_callback = std::function<void(tl::expected<job_state, front_errc>)>;
    using count_callback = std::function<void(tl::expected<std::size_t, front_errc>)>;

    leader_link() = default;
    leader_link(const leader_link&) = delete;
    leader_link& operator=(const leader_link&) = delete;
    virtual ~leader_link() = default;

    virtual void state_of(const job_id& id, state_callback done) = 0;
    virtual void waiting_jobs(const queue_id& queue, count_callback done) = 0;
};

/// Who calls, and for which queue.
struct caller_address {
    std::string host;
    std::string path; ///< Begins with the queue's prefix; the rest is the job's name.
    std::string key;  ///< Empty when the call carries none.
};

struct job_front_settings {
    /// Total of a job's tasks; more could not be recorded in one entry of the store.
    std::size_t max_tasks = 2000;
    /// Tries to write a job whose outcome is unknown, before the caller is told so.
    duration write_time{std::chrono::milliseconds{2400}};
    /// While the store is silent, one job in this time is tried; all others are refused at once.
    duration probe_interval{std::chrono::milliseconds{400}};
};

/// Takes callers' requests on any entry host: a job is accepted when the store has it. All callbacks run
/// once, later or from within the call.
class job_front {
public:
    using done_callback = std::function<void(tl::expected<void, front_errc>)>;

    job_front(job_front_settings settings, transaction_store& store, leader_link& leader, const clock& time,
              logger log);

    void set_config(std::shared_ptr<const fleet_config> config) { config_ = std::move(config); }
    [[nodiscard]] bool configured() const { return config_ != nullptr; }

    /// Accepts a job; a job of this name that was accepted before counts as accepted.
    void submit(const caller_address& caller, job_spec spec, done_callback done);
    void cancel(const caller_address& caller, done_callback done);
    void state_of(const caller_address& caller, leader_link::state_callback done);
    void waiting_jobs(const caller_address& caller, leader_link::count_callback done);

private:
    struct route {
        const queue_config* queue = nullptr;
        team_id team;
        job_id id; ///< Empty when the path ends with the queue's prefix.
    };
    [[nodiscard]] tl::expected<route, front_errc> resolve(const caller_address& caller) const;
    /// Whether a write is to be tried: always, but for a store that is silent and was tried just now.
    [[nodiscard]] bool may_try_store();
    [[nodiscard]] bool valid(const job_spec& spec) const;
    void log_refusal(const char* call, const caller_address& caller, front_errc ec) const;
    void write_job(const job_id& id, const std::string& text, timestamp give_up, bool maybe_written,
                   done_callback done);
    void read_state(const job_id& id, leader_link::state_callback done);
    void read_accepted(const job_id& id, leader_link::state_callback done);

    const job_front_settings settings_;
    transaction_store& store_;
    leader_link& leader_;
    const clock& time_;
    logger log_;
    std::shared_ptr<const fleet_config> config_;
    /// Callbacks of calls that end after the front do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    bool store_silent_ = false; ///< The latest write that has ended got no answer.
    timestamp next_probe_;
};

} // namespace mjm
