#pragma once

#include "core/time_types.h"
#include "entry/status_message.h"

#include <map>
#include <optional>
#include <set>

namespace mjm {

/// Latest status of each other entry host.
class fleet_view {
public:
    /// Status older than this says nothing about load any more.
    static constexpr duration load_validity{std::chrono::seconds{10}};

    void record(const status_message& message, timestamp received);
    void forget_except(const std::set<host_id>& hosts);

    [[nodiscard]] std::optional<shard_load> load(const shard_id& shard, timestamp now) const;
    /// Tasks by team in the shards of all other hosts.
    [[nodiscard]] std::map<team_id, std::int64_t> running_elsewhere() const;

private:
    struct entry {
        status_message message;
        timestamp received;
    };
    std::map<host_id, entry> hosts_;
};

} // namespace mjm
