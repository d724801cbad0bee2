#include "membership/tests/member_fleet.h"

#include <algorithm>

namespace mjm {

member_fleet::member_fleet(std::uint64_t seed, int shard_count) : store{seed}, random{seed + 1}
{
    for (int n = 0; n < shard_count; ++n)
        shards.insert({service_id{"s" + std::to_string(n)}, zone_id{"a"}});
}

member_fleet::process& member_fleet::start(const std::string& host, const std::string& zone)
{
    processes.push_back(std::make_unique<process>());
    process& it = *processes.back();
    it.host = host_id{host};
    it.zone = zone_id{zone};
    it.store = store.connect();
    it.random = std::make_unique<seeded_random>(random.next());
    member self;
    self.endpoint = {it.host, "127.0.0.1", 1};
    self.zone = it.zone;
    it.agent = std::make_unique<membership_agent>(self, *it.store, *it.random, membership_settings{});
    it.agent->on_gain(
        [this, &it](const shard_id& shard, shard_epoch epoch) { record_gain(it, shard, epoch); });
    it.agent->set_shards(shards);
    return it;
}

void member_fleet::record_gain(const process& it, const shard_id& shard, shard_epoch epoch)
{
    const auto [found, added] = gained_by_.emplace(std::pair{shard, epoch}, &it);
    if (!added)
        violations.push_back(to_string(shard) + " epoch " + std::to_string(epoch) + " gained by " +
                             it.host.str() + " and " + found->second->host.str());
}

void member_fleet::kill(process& it)
{
    it.agent.reset();
    it.paused = false;
}

void member_fleet::pause(process& it)
{
    it.paused = true;
    it.store->pause();
}

void member_fleet::resume(process& it)
{
    it.paused = false;
    it.store->resume();
}

void member_fleet::step()
{
    now += step_time;
    store.advance(now);
    for (const std::unique_ptr<process>& it : processes) {
        if (it->agent && !it->paused)
            it->agent->tick(now);
    }
    // Two processes may both consider themselves owner of a shard only at different epochs, so that targets
    // can refuse the older one.
    std::set<std::pair<shard_id, shard_epoch>> seen;
    for (const std::unique_ptr<process>& it : processes) {
        if (!it->agent)
            continue;
        for (const auto& [shard, epoch] : it->agent->owned()) {
            if (!seen.emplace(shard, epoch).second)
                violations.push_back(to_string(shard) + " has two owners at epoch " + std::to_string(epoch));
        }
    }
}

void member_fleet::run(duration time)
{
    for (const timestamp end = now + time; now < end;)
        step();
}

std::optional<int> member_fleet::steps_until(const std::function<bool()>& done, int max_steps)
{
    for (int n = 0; n <= max_steps; ++n) {
        if (done())
            return n;
        step();
    }
    return std::nullopt;
}

bool member_fleet::all_owned(const std::string& zone) const
{
    std::map<shard_id, int> owners;
    for (const std::unique_ptr<process>& it : processes) {
        if (!it->agent || it->zone.str() != zone)
            continue;
        for (const auto& [shard, epoch] : it->agent->owned())
            ++owners[shard];
    }
    return std::all_of(shards.begin(), shards.end(),
                       [&](const shard_id& it) { return it.zone.str() != zone || owners[it] == 1; });
}

bool member_fleet::balanced(const std::string& zone) const
{
    std::size_t least = shards.size();
    std::size_t most = 0;
    for (const std::unique_ptr<process>& it : processes) {
        if (!it->agent || it->zone.str() != zone || it->agent->superseded() || it->agent->has_left())
            continue;
        const std::size_t count = it->agent->owned().size();
        least = std::min(least, count);
        most = std::max(most, count);
    }
    return all_owned(zone) && most - least <= 1;
}

} // namespace mjm
