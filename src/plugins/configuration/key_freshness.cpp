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
    const std::optional<timestamp> until = common_promise_end();
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

// Returns the time until which the promises of all other committers hold, or std::nullopt if one is missing.
// Every committer can commit alone, so one promise per zone does not suffice. Before the returned time, no
// version newer than the one held here can be committed.
std::optional<timestamp> key_freshness::common_promise_end() const
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
    // Without any confirmation, it is unknown whether the keys held here are current.
    if (!confirmed_)
        return key_policy::refusing;
    if (now - *confirmed_ < settings_.fresh_for)
        return key_policy::fresh;
    const std::optional<timestamp> common = common_promise_end();
    if (self_unreachable_ && common && now < *common)
        return key_policy::outage_confirmed;
    // A promise binds its host even after that host can reach the store again. Keyed work is therefore not
    // refused between the end of an outage and the next read of the store.
    const timestamp last = promised_until_ ? std::max(*confirmed_, *promised_until_) : *confirmed_;
    return now - last < settings_.grace ? key_policy::grace : key_policy::refusing;
}

} // namespace mjm
