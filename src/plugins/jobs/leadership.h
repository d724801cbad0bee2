#pragma once

#include "core/clock.h"
#include "core/enum_names.h"
#include "core/random_source.h"
#include "jobs/prefix_watch.h"
#include "jobs/target_orders.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace mjm {

struct leadership_settings {
    std::string key = "mjm/leader";
    std::string self; ///< Value of the key while this host leads: its address for other entry hosts.
    /// Time without a renewal after which another host may lead. It bounds how long a lost leader is missed.
    duration ttl{std::chrono::milliseconds{2000}};
    duration renew_interval{std::chrono::milliseconds{500}};
    /// The leader stops trusting its lease this long before the store can end it.
    duration margin{std::chrono::milliseconds{300}};
    /// Candidates wait up to this long, so that seldom two of them try at a time.
    duration longest_jitter{std::chrono::milliseconds{60}};
    /// Added to the wait, so that hosts with more processor time are elected first.
    duration handicap{0};
    duration retry{std::chrono::milliseconds{200}};
};

enum class leadership_event {
    gained,
    lost,
    leader_changed,
    leader_missing, ///< No host leads; this one may become a candidate.
    not_elected,    ///< An attempt to lead has failed.
    lease_doubtful,
    lease_confirmed,
};

template <>
struct enum_names<leadership_event> {
    static constexpr std::array<std::pair<leadership_event, std::string_view>, 7> entries{{
        {leadership_event::gained, "leadership_gained"},
        {leadership_event::lost, "leadership_lost"},
        {leadership_event::leader_changed, "leader_changed"},
        {leadership_event::leader_missing, "leader_missing"},
        {leadership_event::not_elected, "not_elected"},
        {leadership_event::lease_doubtful, "lease_doubtful"},
        {leadership_event::lease_confirmed, "lease_confirmed"},
    }};
};

/// Elects one entry host by a leased key of the store. The key's revision is the leader's fencing token.
class leadership {
public:
    using handler = std::function<void(leadership_event event, const std::string& detail)>;

    leadership(transaction_store& store, const clock& time, random_source& random,
               leadership_settings settings, handler on_event);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void tick();
    /// Gives the leadership up, also when it is asked for again later.
    void resign();
    /// Stops leading because a newer leader was met; stays a candidate.
    void step_down(const std::string& why);

    [[nodiscard]] bool leading() const;
    /// Whether no other host can lead at this moment.
    [[nodiscard]] bool certain() const;
    [[nodiscard]] fencing_token token() const;
    /// The current leader's value of the key; empty when none is known.
    [[nodiscard]] const std::string& leader() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
