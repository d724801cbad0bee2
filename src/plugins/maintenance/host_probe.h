#pragma once

#include "core/identifiers.h"
#include "maintenance/wave_document.h"

#include <functional>

namespace mjm {

/// What a wave asks of a cordoned target. Callbacks follow the rules of `kv_store`.
class host_probe {
public:
    host_probe() = default;
    host_probe(const host_probe&) = delete;
    host_probe& operator=(const host_probe&) = delete;
    virtual ~host_probe() = default;

    /// Runs a probe task on a cordoned host and tells whether it succeeded.
    virtual void run_probe(const target_id& host, std::function<void(bool succeeded)> done) = 0;
    /// Asks the shard's owner to checkpoint or stop what still runs on a cordoned host. May be repeated.
    virtual void end_tasks(const target_id& host, drain_policy policy) = 0;
};

} // namespace mjm
