#pragma once

#include "core/clock.h"
#include "core/hybrid_clock.h"
#include "timeline/timeline_event.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace mjm {

struct timeline_batch {
    std::vector<timeline_event> events;
    std::uint64_t next = 0;   ///< Pass as `since` to the next fetch.
    std::uint64_t missed = 0; ///< Events after `since` that were dropped before this fetch.
};

/// Events of one process, stamped with a hybrid logical clock. Holds the newest `capacity` events; older
/// ones are dropped and counted. Thread-safe; recording never waits for a reader's output.
class timeline {
public:
    timeline(const host_id& host, const zone_id& zone, const clock& time, std::size_t capacity);

    void record(timeline_kind kind, timeline_fields fields = {});
    /// Timestamp to send along with a message.
    [[nodiscard]] hybrid_time stamp();
    /// Merges the timestamp of a received message, so that later events here order after the sender's.
    void observe(const hybrid_time& remote);

    /// At most `max` events with sequence numbers above `since`, oldest first; numbers start at 1. A `since`
    /// above the last number comes from an earlier process and counts as 0.
    [[nodiscard]] timeline_batch fetch(std::uint64_t since, std::size_t max) const;
    /// The same as JSON: `{"next": 7, "missed": 0, "events": [...]}`.
    [[nodiscard]] std::string fetch_json(std::uint64_t since, std::size_t max) const;
    /// Events no longer held.
    [[nodiscard]] std::uint64_t dropped() const;

private:
    const host_id host_;
    const zone_id zone_;
    const clock& time_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    hybrid_clock clock_;
    std::deque<timeline_event> events_;
    std::uint64_t dropped_ = 0; ///< Also the sequence number before that of the first event held.
};

} // namespace mjm
