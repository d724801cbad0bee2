#include "maintenance/maintenance_plan.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace mjm {

namespace {

struct due_host {
    duration due{0};
    target_id id;
};

/// Hosts of one rack that are out together.
using batch = std::vector<due_host>;

struct pool_work {
    pool_id id;
    std::vector<batch> batches; ///< In reverse order: the last one is next.
    duration host_duration{0};
    duration laxity{0}; ///< Time that is left when all batches follow each other without a gap.
};

struct running_batch {
    duration end{0};
    std::size_t pool = 0;
    std::int64_t hosts = 0;

    friend bool operator>(const running_batch& a, const running_batch& b) { return a.end > b.end; }
};

std::vector<batch> split(const std::vector<std::pair<const target_record*, duration>>& hosts,
                         std::int64_t width)
{
    std::map<std::pair<zone_id, rack_id>, batch> racks;
    for (const auto& [record, due] : hosts)
        racks[{record->zone, record->rack}].push_back({due, record->endpoint.id});
    std::vector<batch> batches;
    for (auto& [rack, members] : racks) {
        std::sort(members.begin(), members.end(),
                  [](const due_host& a, const due_host& b) { return a.due < b.due; });
        for (std::size_t n = 0; n < members.size(); n += static_cast<std::size_t>(width)) {
            const std::size_t last = std::min(members.size(), n + static_cast<std::size_t>(width));
            batches.emplace_back(members.begin() + static_cast<std::ptrdiff_t>(n),
                                 members.begin() + static_cast<std::ptrdiff_t>(last));
        }
    }
    std::sort(batches.begin(), batches.end(),
              [](const batch& a, const batch& b) { return a.front().due > b.front().due; });
    return batches;
}

} // namespace

maintenance_plan maintenance_plan::make(const fleet_config& config, const plan_input& input,
                                        const plan_settings& settings)
{
    maintenance_plan plan;
    std::map<pool_id, std::vector<std::pair<const target_record*, duration>>> members;
    std::map<pool_id, std::int64_t> slack;
    for (const auto& [id, record] : config.targets) {
        const auto since = input.since_last.find(id);
        const duration due =
            settings.period - (since == input.since_last.end() ? settings.period : since->second);
        members[record.pool].emplace_back(&record, due);
        if (!record.cordoned && !input.down.contains(id))
            ++slack[record.pool];
    }

    std::vector<pool_work> work;
    for (const auto& [pool, hosts] : members) {
        const auto record = config.pools.find(pool);
        const std::int64_t least = record == config.pools.end() ? 0 : record->second.min_available;
        const std::int64_t width = std::min({slack[pool] - least, settings.per_pool, settings.hosts_at_once});
        if (width < 1) {
            plan.warnings.push_back({pool, plan_warning_kind::no_slack, duration{0}});
            continue;
        }
        pool_work next;
        next.id = pool;
        next.batches = split(hosts, width);
        const auto measured = input.measured.find(pool);
        next.host_duration = measured == input.measured.end() ? settings.default_duration : measured->second;
        next.laxity = duration::max();
        duration end{0};
        for (auto it = next.batches.rbegin(); it != next.batches.rend(); ++it) {
            end += next.host_duration;
            next.laxity = std::min(next.laxity, it->front().due - end);
        }
        work.push_back(std::move(next));
    }
    // Pools with the least time to spare go first, as each pool's batches follow each other.
    std::stable_sort(work.begin(), work.end(),
                     [](const pool_work& a, const pool_work& b) { return a.laxity < b.laxity; });

    std::vector<std::map<plan_warning_kind, duration>> found(work.size());
    std::priority_queue<running_batch, std::vector<running_batch>, std::greater<>> running;
    std::vector<bool> busy(work.size());
    std::int64_t free = settings.hosts_at_once;
    duration now{0};
    std::size_t first = 0;
    while (true) {
        while (first < work.size() && work[first].batches.empty())
            ++first;
        for (std::size_t n = first; n < work.size() && free > 0; ++n) {
            pool_work& pool = work[n];
            if (busy[n] || pool.batches.empty() ||
                static_cast<std::int64_t>(pool.batches.back().size()) > free)
                continue;
            const batch hosts = std::move(pool.batches.back());
            pool.batches.pop_back();
            const duration end = now + pool.host_duration;
            for (const due_host& it : hosts) {
                plan.hosts[it.id] = {now, end, it.due};
                if (end > it.due)
                    found[n][plan_warning_kind::late] = end;
                else if (end > it.due - settings.margin)
                    found[n][plan_warning_kind::tight] = end;
            }
            plan.end = std::max(plan.end, end);
            busy[n] = true;
            free -= static_cast<std::int64_t>(hosts.size());
            running.push({end, n, static_cast<std::int64_t>(hosts.size())});
        }
        if (running.empty())
            break;
        const running_batch done = running.top();
        running.pop();
        now = done.end;
        busy[done.pool] = false;
        free += done.hosts;
    }
    for (std::size_t n = 0; n < work.size(); ++n) {
        if (!found[n].empty())
            plan.warnings.push_back({work[n].id, found[n].begin()->first, found[n].begin()->second});
    }
    return plan;
}

} // namespace mjm
