#pragma once

#include "core/enum_names.h"
#include "core/identifiers.h"
#include "core/time_types.h"

#include <map>
#include <optional>
#include <set>

namespace mjm {

/// Whether keyed work may be taken, given how certain this host is that its configuration is current.
enum class key_policy { fresh, outage_confirmed, grace, refusing };

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
    duration fresh_for{std::chrono::seconds{3}};
    duration grace{std::chrono::seconds{4}};
    duration promise{std::chrono::seconds{3}};
};

/// Decides `key_policy` from confirmations and from other hosts' reports about the store.
class key_freshness {
public:
    explicit key_freshness(const key_freshness_settings& settings) : settings_{settings} {}

    /// Hosts that could commit a change, by zone; this host included.
    void set_committers(const std::map<host_id, zone_id>& committers, const host_id& self);
    void confirmed_at(timestamp when);
    /// A host reports that it cannot reach the store and promises not to commit for `promise` after
    /// `asked`, the time at which this host sent the question. `version` is the newest version it has seen.
    void store_unreachable_reported(const host_id& from, timestamp asked, std::uint64_t version);
    /// A host reports that it does reach the store, so its earlier promise no longer counts.
    void store_reachable_reported(const host_id& from);
    /// The newest version held here; a promise of a host that has seen a newer one is no confirmation.
    void set_version(std::uint64_t version) { version_ = version; }
    /// Since when this host itself has a commit whose effect is not known (`commit_promise`), if it has:
    /// from then on the promises of the others do not show that no newer version exists.
    void set_commit_outstanding(std::optional<timestamp> since);
    /// This host's own store calls fail.
    void set_self_unreachable(bool unreachable) { self_unreachable_ = unreachable; }

    [[nodiscard]] key_policy policy(timestamp now) const;

private:
    [[nodiscard]] std::optional<timestamp> common_promise() const;

    struct promise {
        timestamp until;
        std::uint64_t version = 0;
    };

    key_freshness_settings settings_;
    std::map<host_id, zone_id> committers_;
    host_id self_;
    std::map<host_id, promise> promises_;
    std::optional<timestamp> confirmed_;
    std::optional<timestamp>
        promised_until_; ///< No unseen commit before this, by promises of all committers.
    std::optional<timestamp> own_commit_since_;
    std::uint64_t version_ = 0;
    bool self_unreachable_ = false;
};

} // namespace mjm
