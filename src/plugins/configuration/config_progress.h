#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace mjm {

struct config_progress_settings {
    duration grace{std::chrono::seconds{4}};  ///< `key_freshness_settings::grace`.
    duration margin{std::chrono::seconds{1}}; ///< For clock rates and scheduling delays.
    duration member_memory{std::chrono::seconds{60}};
};

/// Which members have a version in force.
struct version_progress {
    bool in_force_everywhere = false;  ///< No host takes keyed work under an older version any more.
    bool live_members_reached = false; ///< Each member with a live record has the version.
    std::vector<host_id> reached;
    std::vector<host_id> silent; ///< Not known to have reached the version.
};

/// Tells when a committed version is in force everywhere. A host that holds an older version can confirm it
/// only as of a time before the commit, so it refuses keyed work once the grace has passed after the commit.
/// The records of live members alone do not suffice: a host whose record has lapsed may still run and have
/// its version confirmed by its peers.
class config_progress {
public:
    explicit config_progress(const config_progress_settings& settings) : settings_{settings} {}

    /// `version` was seen committed at `when`: the time of the answer to the write, or of the first read
    /// that showed it. The earliest time is kept.
    void committed(std::uint64_t version, timestamp when);
    /// Versions in force by the members' records in the store, as read at `now`.
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
    timestamp observed_;
};

} // namespace mjm
