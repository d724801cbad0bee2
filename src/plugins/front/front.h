#pragma once

#include "core/clock.h"
#include "core/random_source.h"
#include "front/routing_view.h"
#include "platform/peer_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace mjm {

/// A caller's submission. The HTTP layer has checked its syntax and ranges.
struct caller_request {
    service_id service;
    std::string key; ///< As the caller presented it; empty if there was none.
    priority urgency = priority::normal;
    bool idempotent = false;
    std::string ticket;
    resources declared;
    duration declared_run{0};
    duration timeout{std::chrono::seconds{30}};
    std::string body;
};

/// Answer to a caller.
struct caller_answer {
    request_id id; ///< Empty if no request was created.
    outcome result;
    /// Whether the call itself was refused for `result.why`; the answer then tells nothing about the request.
    bool call_refused = false;
    std::string next_ticket; ///< For the caller's next non-idempotent request; may be empty.
};

struct front_settings {
    duration retry_delay{std::chrono::milliseconds{200}};
    /// How long after its deadline a call still waits for the owner's answer before the owner counts as
    /// unreachable.
    duration late_answer_wait{std::chrono::seconds{2}};
    /// How long a request that an owner had accepted waits for the next owner. Longer than a member's lease
    /// plus the successor's polling interval and recovery.
    duration takeover_wait{std::chrono::seconds{12}};
    std::size_t max_outstanding = 8000;
};

/// The part of an entry host that serves callers. Checks keys, chooses shards, forwards requests to their
/// owners and tracks them until they have an outcome.
class front {
public:
    using answer_function = std::function<void(const caller_answer&)>;

    front(const routing_view& view, const clock& time, random_source& random, peer_client& peers,
          const front_settings& settings);
    ~front();
    front(const front&) = delete;
    front& operator=(const front&) = delete;

    /// Submits a request. `accepted`, unless empty, is called with the request's identifier as soon as one is
    /// assigned; `done` is called once with the outcome.
    void submit(const caller_request& call, const std::function<void(const request_id&)>& accepted,
                answer_function done);
    /// Reports the outcome of an earlier request of the same team. With `wait`, waits until it has one;
    /// otherwise answers at once.
    void look_up(const std::string& key, const request_id& id, bool wait, answer_function done);
    /// Cancels an earlier request of the same team.
    void cancel(const std::string& key, const request_id& id, answer_function done);
    /// Returns tickets for `count` requests of a service, or the reason why there are none.
    [[nodiscard]] tl::expected<std::vector<std::string>, reason>
    issue_tickets(const service_id& service, const std::string& key, std::size_t count);
    /// Refuses new submissions from now on; outstanding calls are completed.
    void drain() { draining_ = true; }
    /// Returns the number of calls that await their outcome.
    [[nodiscard]] std::size_t outstanding() const { return outstanding_.size(); }
    /// Sends the calls whose next attempt is due; the owner of the front calls it regularly.
    void tick();

private:
    /// `look_up` waits for the outcome, `peek` answers at once.
    enum class call_kind { submit, look_up, peek, cancel };

    struct call_state {
        std::uint64_t id = 0;
        call_kind kind = call_kind::submit;
        shard_id shard;
        request work;
        timestamp deadline; ///< The request must have been started by then.
        /// When the call is abandoned, unless `takeover_wait` after `interrupted_since` is later.
        timestamp abandon_at;
        timestamp next_attempt;
        timestamp sent_at;
        /// Since when no owner has kept the call; unset until an attempt has ended without an outcome.
        std::optional<timestamp> interrupted_since;
        bool in_flight = false;
        /// Whether the request is idempotent and its identifier has not been given to the caller.
        bool may_switch_shard = false;
        /// Owners that an earlier copy of the request may have reached, by shard and epoch.
        std::set<std::pair<shard_id, shard_epoch>> reached_owners;
        shard_epoch last_epoch = 0;
        std::set<shard_id> tried_shards;
        answer_function done;
    };

    [[nodiscard]] tl::expected<team_id, reason> authorize(const service_id& service,
                                                          const std::string& key) const;
    [[nodiscard]] std::string new_ticket(const service_id& service, const team_id& team);
    [[nodiscard]] std::string new_nonce();
    void start_call(call_state call);
    void send(call_state& call);
    void send_local(call_state& call, const shard_route& route);
    void send_remote(call_state& call, const shard_route& route);
    void handle_outcome(std::uint64_t id, shard_epoch epoch, const outcome& result);
    void handle_failure(std::uint64_t id, shard_epoch epoch, peer_errc ec);
    void record_interruption(call_state& call);
    /// Assigns the call to another shard with a new identifier. Returns false if there is none.
    [[nodiscard]] bool switch_shard(call_state& call);
    /// Returns the shards that have recently refused the team for lack of permits.
    [[nodiscard]] std::set<shard_id> shards_without_permits(const team_id& team) const;
    void schedule_retry(call_state& call);
    void abandon(call_state& call);
    void finish(std::uint64_t id, const outcome& result);
    void start_request_call(call_kind kind, const std::string& key, const request_id& id,
                            answer_function done);

    const routing_view& view_;
    const clock& time_;
    random_source& random_;
    peer_client& peers_;
    front_settings settings_;
    std::map<std::uint64_t, call_state> outstanding_;
    /// When a shard that refused a team for lack of permits may be chosen for it again.
    std::map<std::pair<shard_id, team_id>, timestamp> avoided_until_;
    std::uint64_t last_call_ = 0;
    bool draining_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace mjm
