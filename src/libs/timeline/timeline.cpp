#include "timeline/timeline.h"

#include <algorithm>
#include <utility>

namespace mjm {

timeline::timeline(const host_id& host, const zone_id& zone, const clock& time, std::size_t capacity)
    : host_{host}, zone_{zone}, time_{time}, capacity_{std::max<std::size_t>(capacity, 1)}
{
}

void timeline::record(timeline_kind kind, timeline_fields fields)
{
    const wall_time now = time_.wall_now();
    const std::lock_guard lock{mutex_};
    if (events_.size() == capacity_) {
        events_.pop_front();
        ++dropped_;
    }
    events_.push_back({clock_.tick(now), host_, zone_, kind, std::move(fields)});
}

hybrid_time timeline::stamp()
{
    const wall_time now = time_.wall_now();
    const std::lock_guard lock{mutex_};
    return clock_.tick(now);
}

void timeline::observe(const hybrid_time& remote)
{
    const wall_time now = time_.wall_now();
    const std::lock_guard lock{mutex_};
    clock_.observe(remote, now);
}

timeline_batch timeline::fetch(std::uint64_t since, std::size_t max) const
{
    const std::lock_guard lock{mutex_};
    if (since > dropped_ + events_.size())
        since = 0;
    timeline_batch batch;
    const std::uint64_t first = std::max(since, dropped_);
    batch.missed = first - since;
    const std::size_t begin = static_cast<std::size_t>(first - dropped_);
    const std::size_t n = std::min(max, events_.size() - begin);
    const std::deque<timeline_event>::const_iterator it =
        events_.begin() + static_cast<std::ptrdiff_t>(begin);
    batch.events.assign(it, it + static_cast<std::ptrdiff_t>(n));
    batch.next = first + n;
    return batch;
}

std::string timeline::fetch_json(std::uint64_t since, std::size_t max) const
{
    const timeline_batch batch = fetch(since, max);
    std::string out = "{\"next\":" + std::to_string(batch.next) +
                      ",\"missed\":" + std::to_string(batch.missed) + ",\"events\":[";
    for (std::size_t n = 0; n < batch.events.size(); ++n) {
        if (n > 0)
            out += ',';
        out += to_json(batch.events[n]);
    }
    return out + "]}";
}

std::uint64_t timeline::dropped() const
{
    const std::lock_guard lock{mutex_};
    return dropped_;
}

} // namespace mjm
