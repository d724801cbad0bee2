#include "permits/tests/permit_fleet.h"

#include <algorithm>

namespace mjm {

permit_fleet::permit_fleet(std::uint64_t seed, std::size_t shard_count, std::int64_t initial_limit)
    : store{seed}, random{seed + 1}, limit{initial_limit}
{
    shards.resize(shard_count);
    for (std::size_t n = 0; n < shard_count; ++n) {
        shards[n].id = {service_id{"s" + std::to_string(n)}, zone_id{"a"}};
        replace_owner(n);
    }
}

void permit_fleet::replace_owner(std::size_t n)
{
    shard& it = shards[n];
    owner next;
    next.epoch = it.owners.size() + 1;
    next.store = store.connect();
    next.random = std::make_unique<seeded_random>(random.next());
    next.agent =
        std::make_unique<permit_agent>(it.id, next.epoch, *next.store, *next.random, permit_agent_settings{});
    next.agent->set_limits({{team, limit}}, config_version);
    it.owners.push_back(std::move(next));
}

void permit_fleet::set_limit_at(std::size_t n, std::int64_t value, std::uint64_t version)
{
    shards[n].current().agent->set_limits({{team, value}}, version);
}

void permit_fleet::set_limit(std::int64_t value)
{
    limit = value;
    ++config_version;
    for (std::size_t n = 0; n < shards.size(); ++n)
        set_limit_at(n, value, config_version);
}

void permit_fleet::run_tasks(shard& it)
{
    for (std::int64_t n = it.running; n > 0; --n)
        it.running -= random.chance(it.end_chance) ? 1 : 0;
    for (owner& each : it.owners) {
        const bool fenced = &each != &it.current();
        if (each.paused)
            continue;
        // The targets refuse tasks of a former owner, so it starts none, but it still reports its demand.
        if (!fenced)
            it.running += std::max<std::int64_t>(
                0, std::min(it.wanted - it.running, each.agent->held(team) - it.running));
        each.seen_in_use = it.running;
        each.agent->set_demand(team, std::max(it.wanted, it.running), it.running);
        each.agent->tick(now);
    }
}

void permit_fleet::step()
{
    now += step_time;
    store.advance(now);
    for (shard& it : shards)
        run_tasks(it);
    check();
}

void permit_fleet::run(duration time)
{
    for (const timestamp end = now + time; now < end;)
        step();
}

std::int64_t permit_fleet::held_sum()
{
    std::int64_t sum = 0;
    for (std::size_t n = 0; n < shards.size(); ++n)
        sum += held(n);
    return sum;
}

permit_document permit_fleet::document() const
{
    const kv_entry* entry = store.find(permit_key(team));
    return entry == nullptr ? permit_document{}
                            : permit_document::from_json(entry->value).value_or(permit_document{});
}

std::optional<int> permit_fleet::steps_until(const std::function<bool()>& done, int max_steps)
{
    for (int n = 0; n <= max_steps; ++n) {
        if (done())
            return n;
        step();
    }
    return std::nullopt;
}

void permit_fleet::check()
{
    const permit_document stored = document();
    limits_written_[stored.limit_version] = stored.limit;
    std::uint64_t oldest_version = stored.limit_version;
    std::int64_t held_total = 0;
    for (shard& it : shards) {
        const auto grant = stored.grants.find(it.id);
        for (const owner& each : it.owners) {
            const std::int64_t held_here = each.agent->held(team);
            const bool grant_is_current = grant == stored.grants.end() || grant->second.epoch == each.epoch;
            if (!grant_is_current)
                continue;
            if (held_here > 0)
                oldest_version = std::min(oldest_version, each.agent->limit_version(team));
            held_total += held_here;
            if (held_here > stored.count_of(it.id))
                violations.push_back(to_string(it.id) + " holds more permits than its grant");
        }
        // Each running task needs a permit of the shard's grant, so the number of running tasks is within the
        // limit unless the limit has been lowered and tasks have not ended yet.
        if (it.running > stored.count_of(it.id))
            violations.push_back(to_string(it.id) + " runs more tasks than its grant");
    }
    // A limit stays in force until the last owner that holds permits has read a later one.
    std::int64_t limit_in_force = 0;
    for (auto it = limits_written_.lower_bound(oldest_version); it != limits_written_.end(); ++it)
        limit_in_force = std::max(limit_in_force, it->second);
    if (held_total > limit_in_force)
        violations.push_back("held permits " + std::to_string(held_total) + " exceed limit " +
                             std::to_string(limit_in_force));
    if (!stored.check_limit(team))
        violations.push_back("usable permits in the stored document exceed its limit");
}

} // namespace mjm
