#pragma once

#include "core/time_types.h"
#include "jobs/target_orders.h"

#include <functional>
#include <vector>

namespace mjm {

/// Service discovery of targets. An entry may appear late and may remain after its target has ended.
class target_directory {
public:
    struct handler {
        /// Replaces all targets that were reported before.
        std::function<void(const std::vector<target_info>&)> on_snapshot;
        std::function<void(const target_info&)> on_target;
        std::function<void(const target_id&)> on_removed;
    };

    target_directory() = default;
    target_directory(const target_directory&) = delete;
    target_directory& operator=(const target_directory&) = delete;
    virtual ~target_directory() = default;

    /// Reports targets to the handler until `close` is called, starting with a snapshot.
    virtual void open(handler h) = 0;
    virtual void close() = 0;
    virtual void tick() = 0;
    /// Returns the time whose state the reports so far include; the epoch before the first snapshot.
    [[nodiscard]] virtual timestamp view_time() const = 0;
};

} // namespace mjm
