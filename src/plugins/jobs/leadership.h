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
    /// Time without a renewal after which another host may lead. It bounds how long the fleet has no leader
    /// after a failure.
    duration ttl{std::chrono::milliseconds{2000}};
    duration renew_interval{std::chrono::milliseconds{500}};
    /// The leader considers its lease expired this long before the store can end it.
    duration margin{std::chrono::milliseconds{300}};
    /// Largest random delay of a candidate, so that two of them rarely try at the same time.
    duration max_jitter{std::chrono::milliseconds{60}};
    /// Fixed delay of a candidate, by which hosts with more processor time are elected first.
    duration handicap{0};
    duration retry{std::chrono::milliseconds{200}}; ///< Pause after a failed attempt to lead.
};

enum class leadership_event {
    gained,
    lost,
    leader_changed,
    leader_missing,    ///< No host leads; this one becomes a candidate unless it has resigned.
    not_elected,       ///< An attempt to lead has failed.
    lease_unconfirmed, ///< The lease was not renewed in time; another host may lead.
    lease_confirmed,   ///< The lease was renewed after `lease_unconfirmed`.
};

template <>
struct enum_names<leadership_event> {
    static constexpr std::array<std::pair<leadership_event, std::string_view>, 7> entries{{
        {leadership_event::gained, "leadership_gained"},
        {leadership_event::lost, "leadership_lost"},
        {leadership_event::leader_changed, "leader_changed"},
        {leadership_event::leader_missing, "leader_missing"},
        {leadership_event::not_elected, "not_elected"},
        {leadership_event::lease_unconfirmed, "lease_doubtful"},
        {leadership_event::lease_confirmed, "lease_confirmed"},
    }};
};

/// Elects one entry host as the leader by a key of the store with a lease. The key's revision is the leader's
/// fencing token.
class leadership {
public:
    using handler = std::function<void(leadership_event event, const std::string& detail)>;

    leadership(transaction_store& store, const clock& time, random_source& random,
               leadership_settings settings, handler on_event);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void tick();
    /// Ends the leadership for good, including a term that a pending attempt to lead would begin.
    void resign();
    /// Ends the current term because a newer leader exists. This host remains a candidate.
    void step_down(const std::string& why);
    /// Ends the current term, and an attempt to lead, after an exception may have interrupted either. This
    /// host remains a candidate.
    void recover(const std::string& why);

    [[nodiscard]] bool leading() const;
    /// Returns the time until which no other host can lead; the epoch if this one does not.
    [[nodiscard]] timestamp lease_until() const;
    [[nodiscard]] fencing_token token() const;
    /// Returns the address of the current leader; empty if none is known.
    [[nodiscard]] const std::string& leader() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace mjm
