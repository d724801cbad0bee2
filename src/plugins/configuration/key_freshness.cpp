#include "configuration/key_freshness.h"

#include <algorithm>

namespace mjm {

void key_freshness::set_committers(const std::map<host_id, zone_id>& committers, const host_id& self)
{
    committers_ = committers;
    self_ = self;
    std::erase_if(promises_, [this](const auto& entry) { return !committers_.contains(entry.first); });
}

void key_freshness::confirmed_at(timestamp when)
{
    confirmed_ = confirmed_ ? std::max(*confirmed_, when) : when;
}

void key_freshness::store_unreachable_reported(const host_id& from, timestamp asked, std::uint64_t version)
{
    if (!committers_.contains(from))
        return;
    promise& known = promises_[from];
    known.until = std::max(known.until, asked + settings_.promise);
    known.version = std::max(known.version, version);
    const std::optional<timestamp> until = common_promise();
    if (until)
        promised_until_ = promised_until_ ? std::max(*promised_until_, *until) : *until;
}

void key_freshness::set_commit_outstanding(std::optional<timestamp> since)
{
    own_commit_since_ = since;
    if (since && promised_until_)
        promised_until_ = std::min(*promised_until_, *since);
}

void key_freshness::store_reachable_reported(const host_id& from)
{
    promises_.erase(from);
}

// Any committer can commit alone, so the promises of all of them are needed, not one per zone. Until the
// earliest of them ends, no committed version can exist that is newer than the one held here.
std::optional<timestamp> key_freshness::common_promise() const
{
    std::optional<timestamp> until = own_commit_since_;
    for (const auto& [host, zone] : committers_) {
        if (host == self_)
            continue;
        const auto it = promises_.find(host);
        if (it == promises_.end() || it->second.version > version_)
            return std::nullopt;
        until = until ? std::min(*until, it->second.until) : it->second.until;
    }
    return until;
}

key_policy key_freshness::policy(timestamp now) const
{
    // A host that never held a confirmed version cannot tell whether its keys are current.
    if (!confirmed_)
        return key_policy::refusing;
    if (now - *confirmed_ < settings_.fresh_for)
        return key_policy::fresh;
    const std::optional<timestamp> common = common_promise();
    if (self_unreachable_ && common && now < *common)
        return key_policy::outage_confirmed;
    // A promise stays binding on the host that gave it even when that host reaches the store again, so
    // the end of an outage does not refuse keyed work until the next read of the store.
    const timestamp last = promised_until_ ? std::max(*confirmed_, *promised_until_) : *confirmed_;
    return now - last < settings_.grace ? key_policy::grace : key_policy::refusing;
}

} // namespace mjm
