#include "fleet_fixture.h"

#include "configuration/config_codec.h"
#include "configuration/config_head.h"
#include "configuration/key_hash.h"

#include <algorithm>

namespace mjm {

namespace {

constexpr duration step_length{std::chrono::milliseconds{20}};

key_record make_key(const std::string& key)
{
    const std::string salt = "00112233";
    return key_record{key_id{"k-" + key}, salt, *hash_key(salt, key)};
}

team_record make_team(const std::string& id, std::int64_t limit)
{
    return team_record{team_id{id}, owner_id{"o1"}, 1.0, limit, {make_key("key-" + id)}};
}

target_record make_target(const std::string& zone, std::size_t number, const std::string& pool)
{
    target_record record;
    record.endpoint = {target_id{pool + "-" + zone + "-" + std::to_string(number)}, "127.0.0.1",
                       static_cast<std::uint16_t>(9000 + number)};
    record.zone = zone_id{zone};
    record.rack = rack_id{zone + "-r" + std::to_string(number / 4)};
    record.pool = pool_id{pool};
    record.capacity = resources{64'000, 262'144, 0, 8};
    record.assignment = 1;
    return record;
}

} // namespace

template <typename Result>
bool cuttable_store::refuse(const std::function<void(Result)>& done)
{
    if (!cut_)
        return false;
    const auto fail = [done] { done(Result{tl::unexpected{store_errc::unreachable}}); };
    pump_.add(call_pump::direction::answer, "cut", fail, fail);
    return true;
}

void cuttable_store::get(const std::string& key, store_revision known, get_callback done)
{
    if (!refuse<tl::expected<kv_read, store_errc>>(done))
        shared_.get(key, known, std::move(done));
}

void cuttable_store::put(const kv_write& write, put_callback done)
{
    if (!refuse<tl::expected<store_revision, store_errc>>(done))
        shared_.put(write, std::move(done));
}

void cuttable_store::erase(const std::string& key, std::optional<store_revision> expected,
                           erase_callback done)
{
    if (!refuse<tl::expected<void, store_errc>>(done))
        shared_.erase(key, expected, std::move(done));
}

void cuttable_store::list(const std::string& prefix, list_callback done)
{
    if (!refuse<tl::expected<std::vector<kv_entry>, store_errc>>(done))
        shared_.list(prefix, std::move(done));
}

void cuttable_store::grant_lease(duration ttl, lease_callback done)
{
    if (!refuse<tl::expected<store_lease_id, store_errc>>(done))
        shared_.grant_lease(ttl, std::move(done));
}

void cuttable_store::keep_alive(store_lease_id lease, erase_callback done)
{
    if (!refuse<tl::expected<void, store_errc>>(done))
        shared_.keep_alive(lease, std::move(done));
}

fleet_fixture::fleet_fixture(const fleet_options& options) : random{options.seed}
{
    if (options.wrap_targets)
        wrapped_targets = options.wrap_targets(targets);
    previous_handler_ = set_invariant_handler([this](invariant which, const std::string& detail) {
        violations.push_back(std::string{name_of(which)} + " " + detail);
    });
    config.version = 1;
    config.authority_month = "2026-12";
    config.calendar["2026-12"] = owner_id{"o1"};
    config.authority = owner_id{"o1"};
    config.ticket_secret = "abcdef0123456789abcdef0123456789";
    config.teams[team_id{"t1"}] = make_team("t1", options.team_limit);
    config.teams[team_id{"t2"}] = make_team("t2", options.team_limit);
    config.services[service_id{"lens"}] = {service_id{"lens"}, pool_id{"lens"}, false};
    config.services[service_id{"browse"}] = {service_id{"browse"}, pool_id{"browse"}, true};
    config.pools[pool_id{"lens"}] = {pool_id{"lens"}, 0, false};
    config.pools[pool_id{"browse"}] = {pool_id{"browse"}, 0, false};

    std::vector<listed_host> listed;
    for (std::size_t z = 1; z <= options.zones; ++z) {
        const std::string zone = "z" + std::to_string(z);
        for (std::size_t n = 0; n < options.targets_per_zone; ++n) {
            for (const std::string pool : {"lens", "browse"}) {
                const target_record record = make_target(zone, n, pool);
                config.targets[record.endpoint.id] = record;
                targets.add(record.endpoint.id, options.target);
                listed.push_back({record.endpoint.id, mjm::host_state::live});
            }
        }
        for (std::size_t n = 1; n <= options.hosts_per_zone; ++n) {
            host_state host;
            const std::string id = zone + "h" + std::to_string(n);
            host.self.endpoint = {host_id{id}, "127.0.0.1", static_cast<std::uint16_t>(8000 + z * 10 + n)};
            host.self.zone = zone_id{zone};
            nodes_.emplace(id, std::move(host));
        }
    }
    host_list.set(listed);
    commit(config);
    for (auto& [id, host] : nodes_)
        start_node(host);
}

fleet_fixture::~fleet_fixture()
{
    for (auto& [id, host] : nodes_) {
        host.link->close();
        host.node.reset();
    }
    set_invariant_handler(previous_handler_);
}

void fleet_fixture::commit(const fleet_config& committed)
{
    config = committed;
    config_head head;
    head.version = committed.version;
    head.snapshot_version = committed.version;
    const timestamp now = time.now();
    (void)store.model().put({config_snapshot_key(committed.version), encode_config(committed), {}, 0}, now);
    (void)store.model().put({std::string{config_head_key}, encode_head(head), {}, 0}, now);
}

void fleet_fixture::start_node(host_state& host)
{
    constexpr std::size_t event_capacity = 1000;
    if (!host.events)
        host.events = std::make_unique<timeline>(host.self.endpoint.id, host.self.zone, time, event_capacity);
    if (!host.store)
        host.store = std::make_unique<cuttable_store>(store, pump);
    host.peers = std::make_unique<fake_peer_client>(peers, host.self.endpoint.id);
    host.paused = false;
    host.link = std::make_shared<host_link>(host.self.endpoint.id.str(), observer);
    host.linked_to_store = std::make_unique<linked_store>(host.link, *host.store);
    host.linked_to_targets = std::make_unique<linked_targets>(
        host.link, wrapped_targets ? *wrapped_targets : static_cast<target_client&>(targets));
    host.linked_to_peers = std::make_unique<linked_peers>(host.link, *host.peers);
    host.linked_to_list = std::make_unique<linked_host_list>(host.link, host_list);
    entry_node_settings settings;
    settings.self = host.self;
    host.node = std::make_unique<entry_node>(
        settings, entry_services{*host.linked_to_store, *host.linked_to_targets, *host.linked_to_peers,
                                 *host.linked_to_list, time, random, *host.events});
    entry_node* node = host.node.get();
    const std::shared_ptr<host_link> link = host.link;
    fake_peer_network::handlers handlers;
    handlers.forward = [node, link](const forwarded_request& message,
                                    const std::function<void(outcome)>& done) {
        link->deliver([node, message, done] {
            node->on_forward(message, [done](const outcome& result) { done(result); });
        });
    };
    handlers.cancel = [node, link](const shard_id& shard, const request_id& request,
                                   const std::function<void(outcome)>& done) {
        link->deliver([node, shard, request, done] {
            node->on_cancel(shard, request, [done](const outcome& result) { done(result); });
        });
    };
    // The fake network takes an answer at once only; a paused host gives one that is ignored.
    handlers.status = [node, link](const std::string& message) {
        return link->paused() ? std::string{} : node->on_status(message);
    };
    peers.set_host(host.self.endpoint.id, std::move(handlers));
}

void fleet_fixture::kill(const std::string& id)
{
    host_state& host = nodes_.at(id);
    peers.remove_host(host.self.endpoint.id);
    host.link->close();
    host.node.reset();
}

void fleet_fixture::pause(const std::string& id, bool on)
{
    host_state& host = nodes_.at(id);
    host.paused = on;
    host.link->pause(on);
}

void fleet_fixture::restart(const std::string& id)
{
    start_node(nodes_.at(id));
}

void fleet_fixture::partition_zones(const std::string& a, const std::string& b, bool on)
{
    for (const auto& [first, left] : nodes_) {
        for (const auto& [second, right] : nodes_) {
            if (left.self.zone.str() == a && right.self.zone.str() == b)
                peers.set_partitioned(left.self.endpoint.id, right.self.endpoint.id, on);
        }
    }
}

void fleet_fixture::run(duration d)
{
    const timestamp end = time.now() + d;
    while (time.now() < end)
        step();
}

bool fleet_fixture::run_until(const std::function<bool()>& done, duration limit)
{
    const timestamp end = time.now() + limit;
    while (!done()) {
        if (time.now() >= end)
            return false;
        step();
    }
    return true;
}

void fleet_fixture::step()
{
    constexpr int rounds = 6;
    time.advance(step_length);
    targets.expire();
    for (auto& [id, host] : nodes_) {
        if (host.node && !host.paused)
            host.node->tick();
    }
    for (int i = 0; i < rounds; ++i) {
        if (before_round)
            before_round();
        pump.deliver_round();
    }
    finish_due_tasks();
    for (auto& [team, highest] : highest_)
        highest = std::max(highest, running_of(team));
}

void fleet_fixture::finish_due_tasks()
{
    if (run_time_ == duration{0})
        return;
    for (const auto& [id, record] : config.targets) {
        for (const start_order& order : targets.running_orders(id)) {
            if (failing_targets.contains(id)) {
                targets.finish(id, order.task, false, "broken target");
                continue;
            }
            const timestamp since = seen_.try_emplace(order.task, time.now()).first->second;
            if (time.now() - since >= run_time_)
                targets.finish(id, order.task, true, "done " + order.request.str());
        }
    }
}

std::vector<std::string> fleet_fixture::hosts() const
{
    std::vector<std::string> ids;
    for (const auto& [id, host] : nodes_)
        ids.push_back(id);
    return ids;
}

std::string fleet_fixture::owner_of(const shard_id& shard)
{
    std::string owner;
    shard_epoch newest = 0;
    for (auto& [id, host] : nodes_) {
        if (!host.node)
            continue;
        for (const shard_status& status : host.node->status().shards) {
            if (status.shard == shard && status.epoch > newest) {
                newest = status.epoch;
                owner = id;
            }
        }
    }
    return owner;
}

caller_request fleet_fixture::call(const std::string& team, bool idempotent, const std::string& ticket)
{
    caller_request request;
    request.service = service_id{team.empty() ? "browse" : "lens"};
    if (!team.empty())
        request.key = "key-" + team;
    request.idempotent = idempotent;
    request.ticket = ticket;
    request.timeout = std::chrono::seconds{30};
    request.body = "{}";
    return request;
}

std::string fleet_fixture::ticket(const std::string& host, const std::string& team)
{
    const tl::expected<std::vector<std::string>, reason> issued =
        node(host).callers().issue_tickets(service_id{"lens"}, "key-" + team, 1);
    return issued ? issued->at(0) : std::string{};
}

std::shared_ptr<submission> fleet_fixture::submit(const std::string& host, const caller_request& request)
{
    std::shared_ptr<submission> result = std::make_shared<submission>();
    result->ticket = request.ticket;
    node(host).callers().submit(request, {}, [result](const caller_answer& answer) {
        result->id = answer.id;
        result->answers.push_back(answer);
    });
    return result;
}

std::size_t fleet_fixture::runs_of(const request_id& id) const
{
    std::size_t n = 0;
    fake_target& all = const_cast<fleet_fixture*>(this)->targets;
    for (const auto& [target, record] : config.targets) {
        const std::vector<task_run>& runs = all.model(target).runs();
        n += static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [&](const task_run& run) { return run.request == id; }));
    }
    return n;
}

std::int64_t fleet_fixture::running_of(const std::string& team) const
{
    std::int64_t n = 0;
    for (const auto& [target, record] : config.targets) {
        const std::vector<start_order> orders = targets.running_orders(target);
        n += std::count_if(orders.begin(), orders.end(),
                           [&](const start_order& order) { return order.team.str() == team; });
    }
    return n;
}

} // namespace mjm
