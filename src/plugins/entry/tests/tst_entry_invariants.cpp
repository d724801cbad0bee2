#include "faulty_targets.h"
#include "fleet_fixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace mjm;
using namespace std::chrono_literals;

namespace {

bool reported(const fleet_fixture& fleet, std::string_view name)
{
    return std::any_of(fleet.violations.begin(), fleet.violations.end(),
                       [&](const std::string& it) { return it.starts_with(name); });
}

/// Permits that are gone as soon as they have been used once.
class vanishing_permits final : public permit_source {
public:
    [[nodiscard]] std::int64_t held(const team_id&) const override { return reads_++ == 0 ? 1 : 0; }
    void set_demand(const team_id&, std::int64_t, std::int64_t) override {}

private:
    mutable int reads_ = 0;
};

/// A view whose configuration takes a key for a team without a name.
class nameless_view final : public routing_view {
public:
    explicit nameless_view(const fleet_config& config) : config_{std::make_shared<fleet_config>(config)}
    {
        team_record team = config_->teams.at(team_id{"t1"});
        team.id = team_id{};
        config_->teams.clear();
        config_->teams[team_id{}] = team;
    }
    [[nodiscard]] std::shared_ptr<const fleet_config> config() const override { return config_; }
    [[nodiscard]] key_policy keys() const override { return key_policy::fresh; }
    [[nodiscard]] std::optional<shard_route> route(const shard_id&) const override { return std::nullopt; }
    [[nodiscard]] const std::vector<shard_id>& shards_of(const service_id&) const override { return shards_; }
    [[nodiscard]] std::optional<shard_load> load(const shard_id&) const override { return std::nullopt; }
    [[nodiscard]] const zone_id& zone() const override { return zone_; }

private:
    std::shared_ptr<fleet_config> config_;
    std::vector<shard_id> shards_;
    zone_id zone_{"z1"};
};

} // namespace

TEST_CASE("whole_answer fires when a target's client hands on another task's answer")
{
    fleet_options options;
    options.wrap_targets = [](target_client& inner) { return std::make_unique<crossed_targets>(inner); };
    fleet_fixture fleet{options};
    fleet.run(5s);
    const std::shared_ptr<submission> sent = fleet.submit("z1h1", fleet_fixture::call("t1", true));
    fleet.run(2s);
    REQUIRE(sent->answered());
    CHECK(sent->kind() == outcome_kind::unknown);
    CHECK(reported(fleet, "whole_answer"));
}

TEST_CASE("team_limit fires when a start finds its permit gone")
{
    fleet_fixture fleet;
    vanishing_permits permits;
    const shard_id shard{service_id{"lens"}, zone_id{"z1"}};
    shard_owner owner{shard,
                      1,
                      shard_owner::environment{fleet.time,
                                               fleet.random,
                                               fleet.targets,
                                               permits,
                                               [](const std::function<void(bool)>& done) { done(true); },
                                               {},
                                               [] { return true; }},
                      {}};
    owner.configure(fleet.config);
    owner.tick();
    fleet.pump.deliver_all(1000);
    request work;
    work.id = request_id{"r1"};
    work.team = team_id{"t1"};
    work.service = shard.service;
    work.idempotent = true;
    work.timeout = 10s;
    owner.submit(work, [](const outcome&) {});
    CHECK(reported(fleet, "team_limit"));
    owner.close();
}

TEST_CASE("team_key fires when keyed work would be taken for no team")
{
    fleet_fixture fleet;
    fake_peer_client peers{fleet.peers, host_id{"z1h1"}};
    const nameless_view view{fleet.config};
    front callers{view, fleet.time, fleet.random, peers, {}};
    caller_request call = fleet_fixture::call("t1", false);
    call.ticket = ticket_codec{fleet.config.ticket_secret}.encode(ticket{{service_id{"lens"}, zone_id{"z1"}},
                                                                         1,
                                                                         team_id{},
                                                                         fleet.time.wall_now(),
                                                                         "0123456789abcdef0123456789abcdef"});
    callers.submit(call, {}, [](const caller_answer&) {});
    CHECK(reported(fleet, "team_key"));
}
