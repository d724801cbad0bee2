#include "configuration/config_progress.h"

#include <algorithm>

namespace mjm {

namespace {

constexpr std::size_t max_commits = 256;

} // namespace

void config_progress::committed(std::uint64_t version, timestamp when)
{
    commits_.emplace(version, when);
    if (commits_.size() > max_commits)
        commits_.erase(commits_.begin());
}

void config_progress::observe(const std::map<host_id, std::uint64_t>& members, timestamp now)
{
    last_observed_ = now;
    for (const auto& [host, version] : members) {
        // The version may decrease: a restarted process under the same name starts without a version.
        members_[host] = seen_member{version, now};
    }
    // A member whose record has expired may still run without access to the store, so it is kept for a while.
    std::erase_if(members_,
                  [&](const auto& entry) { return now - entry.second.last_seen > settings_.member_memory; });
}

version_progress config_progress::progress(std::uint64_t version, timestamp now) const
{
    version_progress result;
    bool live_reached = true;
    bool any_live = false;
    for (const auto& [host, member] : members_) {
        const bool reached = member.version >= version;
        const bool live = member.last_seen == last_observed_;
        (reached ? result.reached : result.silent).push_back(host);
        any_live = any_live || live;
        live_reached = live_reached && (reached || !live);
    }
    // A newer committed version implies this one, so the first known commit from this version on gives the
    // time.
    const auto commit = commits_.lower_bound(version);
    if (commit == commits_.end())
        return result;
    result.live_members_reached = any_live && live_reached;
    result.in_force_everywhere = now - commit->second >= settings_.grace + settings_.margin;
    return result;
}

} // namespace mjm
