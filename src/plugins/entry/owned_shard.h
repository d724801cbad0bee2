#pragma once

#include "permits/permit_agent.h"
#include "shard/shard_owner.h"

#include <memory>

namespace mjm {

/// A shard that this host owns: its owner state machine and its permits.
class owned_shard {
public:
    owned_shard(const shard_id& shard, shard_epoch epoch, kv_store& store, const clock& time,
                random_source& random, target_client& targets, target_lease::confirm_function confirm,
                std::function<void(const shard_event_record&)> report, std::function<bool()> store_reachable,
                const permit_agent_settings& permit_settings, const shard_owner_settings& settings);
    ~owned_shard();
    owned_shard(const owned_shard&) = delete;
    owned_shard& operator=(const owned_shard&) = delete;

    void configure(const fleet_config& config);
    void tick(timestamp now);
    /// Ends ownership. The permits stay with the shard, for its next owner.
    void close();

    [[nodiscard]] shard_owner& owner() { return owner_; }
    [[nodiscard]] const shard_owner& owner() const { return owner_; }

private:
    class agent_permits;

    permit_agent agent_;
    std::unique_ptr<agent_permits> permits_;
    shard_owner owner_;
    timestamp next_permit_tick_;
};

} // namespace mjm
