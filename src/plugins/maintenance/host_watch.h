#pragma once

#include "configuration/fleet_config.h"
#include "core/time_types.h"
#include "maintenance/shard_report.h"
#include "platform/host_list.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace mjm {

/// What the host list and the shard owners tell about targets.
class host_watch {
public:
    explicit host_watch(duration down_after) : down_after_{down_after} {}

    void set_config(const fleet_config& config);
    void observe_hosts(const std::vector<listed_host>& hosts, timestamp now);
    void observe_report(const shard_report& report, timestamp now);

    /// True once the host list was read.
    [[nodiscard]] bool ready() const { return ready_; }
    /// Time since when the host is missing, leaving or unreachable for its owners; nothing when it is well.
    [[nodiscard]] std::optional<timestamp> bad_since(const target_id& host) const;
    [[nodiscard]] bool down(const target_id& host, timestamp now) const;
    [[nodiscard]] bool listed_live(const target_id& host) const { return live_.contains(host); }
    [[nodiscard]] const std::set<shard_id>& shards_of(const target_id& host) const;

    /// True when every shard of the host reports cordons of `version` or later at its epoch in `owners` or a
    /// later one.
    [[nodiscard]] bool in_force(const target_id& host, std::uint64_t version,
                                const std::map<shard_id, shard_epoch>& owners) const;
    /// As `in_force`, and every owner has fenced the host and runs no task on it.
    [[nodiscard]] bool drained(const target_id& host, std::uint64_t version,
                               const std::map<shard_id, shard_epoch>& owners) const;

private:
    [[nodiscard]] const shard_report* current(const shard_id& shard, std::uint64_t version,
                                              const std::map<shard_id, shard_epoch>& owners) const;

    duration down_after_;
    bool ready_ = false;
    std::map<target_id, std::set<shard_id>> shards_;
    std::map<shard_id, shard_report> reports_;
    std::set<target_id> live_;
    std::map<target_id, timestamp> unlisted_;
    std::map<target_id, timestamp> unreachable_;
};

} // namespace mjm
