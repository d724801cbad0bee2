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

/// A submission as it came from a caller; the HTTP layer has checked syntax and ranges.
struct caller_request {
    service_id service;
    std::string key; ///< As presented; empty when none was.
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
    request_id id; ///< Empty when no request came into being.
    outcome result;
    /// The call itself was refused for `result.why`; nothing is said about the request.
    bool call_refused = false;
    std::string next_ticket; ///< For the caller's next request that is not idempotent; may be empty.
};

struct front_settings {
    duration retry_delay{std::chrono::milliseconds{200}};
    /// After the deadline, how long the owner's answer is waited for before the owner counts as unreachable.
    duration settle_time{std::chrono::seconds{2}};
    /// How long a request that an owner had accepted waits for the next owner: longer than a member's lease
    /// plus the successor's poll and recovery.
    duration takeover_wait{std::chrono::seconds{12}};
    std::size_t max_outstanding = 8000;
};

/// Caller side of an entry host: checks keys, chooses shards, forwards requests to their owners and stays
/// with them until they have an outcome.
class front {
public:
    using answer_function = std::function<void(const caller_answer&)>;

    front(const routing_view& view, const clock& time, random_source& random, peer_client& peers,
          const front_settings& settings);
    ~front();
    front(const front&) = delete;
    front& operator=(const front&) = delete;

    /// Submits a request. `accepted` gets the identifier at once when one is assigned; `done` is called
    /// once with the outcome.
    void submit(const caller_request& call, const std::function<void(const request_id&)>& accepted,
                answer_function done);
    /// Outcome of an earlier request of the same team; with `wait`, when it has one.
    void look_up(const std::string& key, const request_id& id, bool wait, answer_function done);
    void cancel(const std::string& key, const request_id& id, answer_function done);
    /// Tickets for `count` requests of a service.
    [[nodiscard]] tl::expected<std::vector<std::string>, reason>
    issue_tickets(const service_id& service, const std::string& key, std::size_t count);
    /// New submissions are refused from now on; outstanding ones are seen through.
    void drain() { draining_ = true; }
    [[nodiscard]] std::size_t outstanding() const { return outstanding_.size(); }
    void tick();

private:
    enum class call_kind { submit, look_up, peek, cancel };

    struct call_state {
        std::uint64_t id = 0;
        call_kind kind = call_kind::submit;
        shard_id shard;
        request work;
        timestamp deadline; ///< The request must have been started by then.
        timestamp give_up;
        timestamp next_try;
        timestamp sent_at;
        std::optional<timestamp> disturbed_since; ///< Since when no owner has held on to the call.
        bool in_flight = false;
        bool may_switch = false; ///< Idempotent, and its identifier has not been given to the caller.
        /// Owners that an earlier copy may have reached, by shard and epoch.
        std::set<std::pair<shard_id, shard_epoch>> reached;
        shard_epoch last_epoch = 0;
        std::set<shard_id> tried;
        answer_function done;
    };

    [[nodiscard]] tl::expected<team_id, reason> authorize(const service_id& service,
                                                          const std::string& key) const;
    [[nodiscard]] std::string new_ticket(const service_id& service, const team_id& team);
    [[nodiscard]] std::string new_nonce();
    void begin(call_state call);
    void send(call_state& call);
    void send_local(call_state& call, const shard_route& route);
    void send_remote(call_state& call, const shard_route& route);
    void answered(std::uint64_t id, shard_epoch epoch, const outcome& result);
    void failed(std::uint64_t id, shard_epoch epoch, peer_errc ec);
    void note_disturbance(call_state& call);
    [[nodiscard]] bool switch_shard(call_state& call);
    /// Shards that have lately refused the team for lack of permits.
    [[nodiscard]] std::set<shard_id> without_permits(const team_id& team) const;
    void try_again(call_state& call);
    void give_up(call_state& call);
    void finish(std::uint64_t id, const outcome& result);
    void find_request(call_kind kind, const std::string& key, const request_id& id, answer_function done);

    const routing_view& view_;
    const clock& time_;
    random_source& random_;
    peer_client& peers_;
    front_settings settings_;
    std::map<std::uint64_t, call_state> outstanding_;
    std::map<std::pair<shard_id, team_id>, timestamp> permitless_until_;
    std::uint64_t last_call_ = 0;
    bool draining_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace mjm
