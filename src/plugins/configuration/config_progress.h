#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mjm {

struct config_progress_settings {
    duration grace{std::chrono::seconds{4}};  ///< Value of `key_freshness_settings::grace`.
    duration margin{std::chrono::seconds{1}}; ///< Allowance for clock rates and scheduling delays.
    /// How long a member is kept after its record was last read.
    duration member_memory{std::chrono::seconds{60}};
};

/// How far a version has spread among the members.
struct version_progress {
    bool in_force_everywhere = false;  ///< No host accepts keyed work under an older version.
    bool live_members_reached = false; ///< Every member with a live record has the version.
    std::vector<host_id> reached;      ///< Members that hold the version or a newer one.
    std::vector<host_id> silent;       ///< Members not known to hold the version.
};

/// Determines when a committed version is in force everywhere. A host with an older version can confirm that
/// version only as of a time before the commit, so it refuses keyed work once the grace period after the
/// commit has passed. The records of live members do not show this: a host whose record has expired may still
/// run and have its version confirmed by its peers.
class config_progress {
public:
    explicit config_progress(const config_progress_settings& settings) : settings_{settings} {}

    /// Records that `version` was committed by `when`, the time of the answer to the write or of the first
    /// read that returned the version. The first time reported for a version is kept.
    void committed(std::uint64_t version, timestamp when);
    /// Records the versions in force according to the members' records in the store, as read at `now`.
    void observe(const std::map<host_id, std::uint64_t>& members, timestamp now);
    [[nodiscard]] version_progress progress(std::uint64_t version, timestamp now) const;

private:
    struct seen_member {
        std::uint64_t version = 0;
        timestamp last_seen;
    };

    config_progress_settings settings_;
    std::map<std::uint64_t, timestamp> commits_;
    std::map<host_id, seen_member> members_;
    timestamp last_observed_; ///< When the records were last read.
};

} // namespace mjm
