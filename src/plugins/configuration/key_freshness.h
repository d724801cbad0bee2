#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/time_types.h"

#include <map>
#include <optional>
#include <set>

namespace mjm {

/// Whether keyed work is accepted, by how certain this host is that its configuration is current.
enum class key_policy {
    fresh,            ///< Accepted: the configuration was confirmed within `fresh_for`.
    outage_confirmed, ///< Accepted: this host cannot reach the store, and no committer will commit for now.
    grace,            ///< Accepted: `grace` has not passed since the last confirmation or common promise.
    refusing,         ///< Refused.
};

template <>
struct enum_names<key_policy> {
    static constexpr std::array<std::pair<key_policy, std::string_view>, 4> entries{{
        {key_policy::fresh, "fresh"},
        {key_policy::outage_confirmed, "outage_confirmed"},
        {key_policy::grace, "grace"},
        {key_policy::refusing, "refusing"},
    }};
};

struct key_freshness_settings {
    duration fresh_for{std::chrono::seconds{3}}; ///< Since the last confirmation.
    duration grace{std::chrono::seconds{4}};     ///< Since the last confirmation or common promise.
    duration promise{std::chrono::seconds{3}};   ///< Length of a promise of `commit_promise`.
};

/// Determines the `key_policy` from confirmations and from other hosts' reports on the store's reachability.
class key_freshness {
public:
    explicit key_freshness(const key_freshness_settings& settings) : settings_{settings} {}

    /// Sets the hosts that can commit, this host included, with their zones.
    void set_committers(const std::map<host_id, zone_id>& committers, const host_id& self);
    /// Records that the configuration held here was the newest at `when`.
    void confirmed_at(timestamp when);
    /// Records that a host reports the store as unreachable and promises not to commit for `promise` after
    /// `asked`, the time at which this host sent its query. `version` is the newest version seen by that
    /// host.
    void store_unreachable_reported(const host_id& from, timestamp asked, std::uint64_t version);
    /// Records that a host reports the store as reachable, so that its earlier promise no longer counts.
    void store_reachable_reported(const host_id& from);
    /// Sets the version held here. The promise of a host that has seen a newer one does not count.
    void set_version(std::uint64_t version) { version_ = version; }
    /// Sets the time since which this host has a commit of unknown effect (see `commit_promise`), or
    /// std::nullopt if it has none. From that time on, the promises of the other hosts do not show that no
    /// newer version exists.
    void set_commit_outstanding(std::optional<timestamp> since);
    /// Sets whether this host's own calls to the store fail.
    void set_self_unreachable(bool unreachable) { self_unreachable_ = unreachable; }

    [[nodiscard]] key_policy policy(timestamp now) const;

private:
    [[nodiscard]] std::optional<timestamp> common_promise_end() const;

    struct promise {
        timestamp until;
        std::uint64_t version = 0;
    };

    key_freshness_settings settings_;
    std::map<host_id, zone_id> committers_;
    host_id self_;
    std::map<host_id, promise> promises_;
    std::optional<timestamp> confirmed_;
    /// Latest time before which, by the promises of all committers, no newer version can have been committed.
    std::optional<timestamp> promised_until_;
    std::optional<timestamp> own_commit_since_;
    std::uint64_t version_ = 0;
    bool self_unreachable_ = false;
};

} // namespace mjm
