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
    if (!first_observation_)
        first_observation_ = now;
    for (const auto& [host, version] : members) {
        // Replaced, not raised: a restarted process under the same name starts without a version.
        members_[host] = seen_member{version, now};
    }
    // A member whose record has lapsed may still run, cut off from the store.
    std::erase_if(members_,
                  [&](const auto& entry) { return now - entry.second.last_seen > settings_.member_memory; });
}

version_progress config_progress::progress(std::uint64_t version, timestamp now) const
{
    version_progress result;
    for (const auto& [host, member] : members_)
        (member.version >= version ? result.reached : result.silent).push_back(host);
    // A newer version committed implies this one; the first that is known gives the time.
    const auto commit = commits_.lower_bound(version);
    if (commit == commits_.end())
        return result;
    const bool elapsed = now - commit->second >= settings_.grace + settings_.margin;
    // Until the memory is filled there may be lapsed members that were never observed.
    const bool all_known = first_observation_ && now - *first_observation_ >= settings_.member_memory;
    result.in_force_everywhere = elapsed || (all_known && result.silent.empty());
    return result;
}

} // namespace mjm
