#include "fake_registrations.h"

#include <set>

namespace mjm {

namespace {

// The platform's `heartbeat-ms`.
constexpr std::chrono::milliseconds heartbeat_interval{1500};
constexpr const char* other_value = "none";

} // namespace

void fake_registrations::step()
{
    write_other_entries();
    std::set<target_id> present;
    for (const target_info& info : fleet_.listed()) {
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

void fake_registrations::write_other_entries()
{
    const timestamp now = loop_.time().now();
    while (next_other_.size() < other_entries)
        next_other_.push_back(now + heartbeat_interval * static_cast<std::int64_t>(next_other_.size()) /
                                        static_cast<std::int64_t>(other_entries));
    for (std::size_t i = 0; i < next_other_.size(); ++i) {
        if (now < next_other_[i])
            continue;
        next_other_[i] = now + heartbeat_interval;
        store_.put(std::string{prefix} + "other" + std::to_string(i), other_value);
    }
}

const target_info* fake_registrations::decode(const std::string& value) const
{
    return value == other_value ? nullptr : &written_.at(std::stoul(value));
}

void fake_store_directory::open(handler h)
{
    prefix_watch::handler watch;
    watch.on_snapshot = [this, h](const std::vector<kv_entry>& entries) {
        std::vector<target_info> targets;
        targets.reserve(entries.size());
        for (const kv_entry& e : entries) {
            if (const target_info* info = registrations_.decode(e.value))
                targets.push_back(*info);
        }
        h.on_snapshot(targets);
    };
    watch.on_change = [this, h](const store_change& change) {
        if (change.removed)
            h.on_removed(target_id{change.entry.key.substr(fake_registrations::prefix.size())});
        else if (const target_info* info = registrations_.decode(change.entry.value))
            h.on_target(*info);
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
