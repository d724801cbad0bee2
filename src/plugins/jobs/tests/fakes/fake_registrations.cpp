#include "fake_registrations.h"

#include <set>

namespace mjm {

namespace {

// The platform's `heartbeat-ms`.
constexpr std::chrono::milliseconds heartbeat_interval{1500};

} // namespace

void fake_registrations::step()
{
    std::vector<target_info> listed = fleet_.listed();
    for (std::size_t i = 0; i < other_targets; ++i) {
        target_info other;
        other.id = target_id{"other" + std::to_string(i)};
        other.service = service_id{"others"};
        listed.push_back(std::move(other));
    }
    std::set<target_id> present;
    for (const target_info& info : listed) {
        present.insert(info.id);
        const auto it = registered_.find(info.id);
        if (it == registered_.end() || !(it->second.info == info) ||
            loop_.time().now() >= it->second.next_heartbeat)
            write(info);
    }
    std::erase_if(registered_, [&](const auto& entry) {
        if (present.contains(entry.first))
            return false;
        store_.remove(std::string{prefix} + entry.first.str());
        return true;
    });
}

void fake_registrations::write(const target_info& info)
{
    written_.push_back(info);
    registration& r = registered_[info.id];
    // The first heartbeats are spread over the interval.
    const bool first = r.value.empty();
    const duration until_next =
        first ? heartbeat_interval * static_cast<std::int64_t>(registered_.size() % 100) / 100
              : duration{heartbeat_interval};
    r = {std::to_string(written_.size() - 1), info, loop_.time().now() + until_next};
    store_.put(std::string{prefix} + info.id.str(), r.value);
}

const target_info& fake_registrations::decode(const std::string& value) const
{
    return written_.at(std::stoul(value));
}

void fake_store_directory::open(handler h)
{
    prefix_watch::handler watch;
    watch.on_snapshot = [this, h](const std::vector<kv_entry>& entries) {
        std::vector<target_info> targets;
        targets.reserve(entries.size());
        for (const kv_entry& e : entries)
            targets.push_back(registrations_.decode(e.value));
        h.on_snapshot(targets);
    };
    watch.on_change = [this, h](const store_change& change) {
        if (change.removed)
            h.on_removed(target_id{change.entry.key.substr(fake_registrations::prefix.size())});
        else
            h.on_target(registrations_.decode(change.entry.value));
    };
    watch_ = std::make_unique<prefix_watch>(
        store_, time_,
        prefix_watch_settings{std::string{fake_registrations::prefix}, std::chrono::milliseconds{300}},
        watch);
    watch_->tick();
}

void fake_store_directory::tick()
{
    if (watch_)
        watch_->tick();
}

} // namespace mjm
