#include "entry/owned_shard.h"

namespace mjm {

namespace {

/// The agent plans over all teams; its store calls are at least 100 ms apart anyway.
constexpr duration permit_tick_interval{std::chrono::milliseconds{60}};

} // namespace

/// Lets the shard's owner draw on a permit agent.
class owned_shard::agent_permits final : public permit_source {
public:
    explicit agent_permits(permit_agent& agent) : agent_{agent} {}

    [[nodiscard]] std::int64_t held(const team_id& team) const override { return agent_.held(team); }
    void set_demand(const team_id& team, std::int64_t wanted, std::int64_t in_use) override
    {
        agent_.set_demand(team, wanted, in_use);
    }

private:
    permit_agent& agent_;
};

owned_shard::owned_shard(const shard_id& shard, shard_epoch epoch, kv_store& store, const clock& time,
                         random_source& random, target_client& targets,
                         target_lease::confirm_function confirm,
                         std::function<void(const shard_event_record&)> report,
                         std::function<bool()> store_reachable, const permit_agent_settings& permit_settings,
                         const shard_owner_settings& settings)
    : agent_{shard, epoch, store, random, permit_settings}, permits_{std::make_unique<agent_permits>(agent_)},
      owner_{shard, epoch,
             shard_owner::environment{time, random, targets, *permits_, std::move(confirm), std::move(report),
                                      std::move(store_reachable)},
             settings}
{
    agent_.on_gain([this] { owner_.tick(); });
}

owned_shard::~owned_shard() = default;

void owned_shard::configure(const fleet_config& config)
{
    std::map<team_id, std::int64_t> limits;
    for (const auto& [id, team] : config.teams)
        limits[id] = team.limit;
    agent_.set_limits(limits, config.version);
    owner_.configure(config);
}

void owned_shard::tick(timestamp now)
{
    if (now >= next_permit_tick_) {
        next_permit_tick_ = now + permit_tick_interval;
        agent_.tick(now);
    }
    owner_.tick();
}

void owned_shard::close()
{
    agent_.on_gain({});
    owner_.close();
}

} // namespace mjm
