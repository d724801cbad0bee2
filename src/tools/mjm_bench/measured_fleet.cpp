#include "measured_fleet.h"

#include "configuration/config_codec.h"
#include "configuration/config_head.h"
#include "configuration/key_hash.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace mjm::bench {

namespace {

constexpr duration step_length{std::chrono::milliseconds{20}};
constexpr duration task_length{std::chrono::milliseconds{200}};
constexpr std::uint64_t ns_per_s = 1'000'000'000;

std::uint64_t thread_cpu_ns()
{
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * ns_per_s + static_cast<std::uint64_t>(now.tv_nsec);
}

double heap_kib()
{
    constexpr double bytes_per_kib = 1024.0;
    return static_cast<double>(mallinfo2().uordblks) / bytes_per_kib;
}

/// Wraps a callback so that its processor time counts for the host.
template <typename Callback>
Callback metered(node_meter& meter, Callback done)
{
    return [&meter, done = std::move(done)](auto&& result) {
        meter.time([&] { done(std::forward<decltype(result)>(result)); });
    };
}

class metered_store final : public kv_store {
public:
    metered_store(kv_store& inner, node_meter& meter) : inner_{inner}, meter_{meter} {}

    void get(const std::string& key, store_revision known, get_callback done) override
    {
        ++meter_.store_reads;
        inner_.get(key, known, metered(meter_, std::move(done)));
    }
    void put(const kv_write& write, put_callback done) override
    {
        ++meter_.store_writes;
        inner_.put(write, metered(meter_, std::move(done)));
    }
    void erase(const std::string& key, std::optional<store_revision> expected, erase_callback done) override
    {
        ++meter_.store_writes;
        inner_.erase(key, expected, metered(meter_, std::move(done)));
    }
    void list(const std::string& prefix, list_callback done) override
    {
        ++meter_.store_reads;
        inner_.list(prefix, metered(meter_, std::move(done)));
    }
    void grant_lease(duration ttl, lease_callback done) override
    {
        ++meter_.store_lease_calls;
        inner_.grant_lease(ttl, metered(meter_, std::move(done)));
    }
    void keep_alive(store_lease_id lease, erase_callback done) override
    {
        ++meter_.store_lease_calls;
        inner_.keep_alive(lease, metered(meter_, std::move(done)));
    }

private:
    kv_store& inner_;
    node_meter& meter_;
};

class metered_targets final : public target_client {
public:
    metered_targets(target_client& inner, node_meter& meter) : inner_{inner}, meter_{meter} {}

    void challenge(const target_endpoint& target, challenge_callback done) override
    {
        ++meter_.target_control_calls;
        inner_.challenge(target, metered(meter_, std::move(done)));
    }
    void open_lease(const target_endpoint& target, const lease_token& token, const std::string& challenge,
                    duration ttl, lease_callback done) override
    {
        ++meter_.target_control_calls;
        inner_.open_lease(target, token, challenge, ttl, metered(meter_, std::move(done)));
    }
    void renew(const target_endpoint& target, const lease_token& token, renew_callback done) override
    {
        ++meter_.target_control_calls;
        inner_.renew(target, token, metered(meter_, std::move(done)));
    }
    void start(const target_endpoint& target, const lease_token& token, const start_order& order,
               result_callback done) override
    {
        inner_.start(target, token, order, metered(meter_, std::move(done)));
    }
    void fetch(const target_endpoint& target, const task_id& task, result_callback done) override
    {
        inner_.fetch(target, task, metered(meter_, std::move(done)));
    }
    void stop(const target_endpoint& target, const lease_token& token, const task_id& task,
              stop_callback done) override
    {
        inner_.stop(target, token, task, metered(meter_, std::move(done)));
    }

private:
    target_client& inner_;
    node_meter& meter_;
};

class metered_peers final : public peer_client {
public:
    metered_peers(fake_peer_network& network, const host_id& self, node_meter& meter)
        : inner_{network, self}, meter_{meter}
    {
    }

    void forward(const peer_endpoint& peer, const forwarded_request& message, outcome_callback done) override
    {
        inner_.forward(peer, message, metered(meter_, std::move(done)));
    }
    void cancel(const peer_endpoint& peer, const shard_id& shard, const request_id& request_to_cancel,
                outcome_callback done) override
    {
        inner_.cancel(peer, shard, request_to_cancel, metered(meter_, std::move(done)));
    }
    void exchange_status(const peer_endpoint& peer, const std::string& message,
                         message_callback done) override
    {
        meter_.peer_bytes += message.size();
        inner_.exchange_status(peer, message,
                               [this, done](const tl::expected<std::string, peer_errc>& answer) {
                                   meter_.peer_bytes += answer ? answer->size() : 0;
                                   meter_.time([&] { done(answer); });
                               });
    }

private:
    fake_peer_client inner_;
    node_meter& meter_;
};

std::string team_name(std::size_t number)
{
    return "team" + std::to_string(number);
}

std::string service_name(std::size_t number)
{
    return "service" + std::to_string(number);
}

} // namespace

void node_meter::time(const std::function<void()>& work)
{
    const std::uint64_t begin = thread_cpu_ns();
    work();
    cpu_ns += thread_cpu_ns() - begin;
}

class measured_fleet::metered_host {
public:
    metered_host(measured_fleet& fleet, const member& self)
        : store{fleet.store_, meter}, targets{fleet.targets_, meter},
          peers{fleet.peers_, self.endpoint.id, meter}, events{self.endpoint.id, self.zone, fleet.time_,
                                                               event_capacity}
    {
        entry_node_settings settings;
        settings.self = self;
        node = std::make_unique<entry_node>(settings, entry_services{store, targets, peers, fleet.host_list_,
                                                                     fleet.time_, fleet.random_, events});
        fake_peer_network::handlers handlers;
        handlers.forward = [this](const forwarded_request& message,
                                  const std::function<void(outcome)>& done) {
            meter.time([&] { node->on_forward(message, [done](const outcome& it) { done(it); }); });
        };
        handlers.status = [this](const std::string& message) {
            std::string answer;
            meter.time([&] { answer = node->on_status(message); });
            return answer;
        };
        fleet.peers_.set_host(self.endpoint.id, std::move(handlers));
    }

    static constexpr std::size_t event_capacity = 100;

    node_meter meter;
    metered_store store;
    metered_targets targets;
    metered_peers peers;
    timeline events;
    std::unique_ptr<entry_node> node;
};

measured_fleet::measured_fleet(const fleet_size& size) : size_{size}
{
    build_config();
    for (std::size_t z = 0; z < size_.zones; ++z) {
        for (std::size_t h = 0; h < size_.hosts_per_zone; ++h) {
            member self;
            const std::string zone = "z" + std::to_string(z);
            self.endpoint = {host_id{zone + "-h" + std::to_string(h)}, "127.0.0.1", 1};
            self.zone = zone_id{zone};
            hosts_.push_back(std::make_unique<metered_host>(*this, self));
        }
    }
}

measured_fleet::~measured_fleet() = default;

void measured_fleet::build_config()
{
    config_.version = 1;
    config_.authority_month = "2026-12";
    config_.authority = owner_id{"owner"};
    config_.calendar["2026-12"] = owner_id{"owner"};
    config_.ticket_secret = "00112233445566778899aabbccddeeff";
    for (std::size_t t = 0; t < size_.teams; ++t) {
        const team_id id{team_name(t)};
        const key_record key{key_id{"k"}, "00112233", *hash_key("00112233", "key-" + id.str())};
        config_.teams[id] = team_record{id, owner_id{"owner"}, 1.0, 1000, {key}};
    }
    std::vector<listed_host> listed;
    for (std::size_t s = 0; s < size_.services; ++s) {
        const std::string name = service_name(s);
        config_.services[service_id{name}] = {service_id{name}, pool_id{name}, false};
        config_.pools[pool_id{name}] = {pool_id{name}, 0, false};
        for (std::size_t n = 0; n < size_.zones * size_.targets_per_shard; ++n) {
            target_record record;
            record.endpoint = {target_id{name + "-t" + std::to_string(n)}, "127.0.0.1", 1};
            record.zone = zone_id{"z" + std::to_string(n % size_.zones)};
            record.rack = rack_id{"r" + std::to_string(n / 4)};
            record.pool = pool_id{name};
            record.capacity = resources{64'000, 262'144, 0, 8};
            record.assignment = 1;
            config_.targets[record.endpoint.id] = record;
            targets_.add(record.endpoint.id);
            listed.push_back({record.endpoint.id, host_state::live});
        }
    }
    host_list_.set(std::move(listed));
    config_head head;
    head.version = 1;
    head.snapshot_version = 1;
    const std::string text = encode_config(config_);
    config_bytes_ = text.size();
    (void)store_.model().put({config_snapshot_key(1), text, {}, 0}, time_.now());
    (void)store_.model().put({std::string{config_head_key}, encode_head(head), {}, 0}, time_.now());
}

void measured_fleet::step()
{
    constexpr int rounds = 6;
    time_.advance(step_length);
    for (const std::unique_ptr<metered_host>& host : hosts_)
        host->meter.time([&] { host->node->tick(); });
    submit_due();
    for (int i = 0; i < rounds; ++i)
        pump_.deliver_round();
    if (size_.requests_per_s == 0.0)
        return;
    for (const auto& [id, record] : config_.targets) {
        for (const task_run& run : std::vector<task_run>{targets_.model(id).runs()}) {
            if (run.state == task_state::running && time_.now() - run.started >= task_length)
                targets_.finish(id, run.task, true, "done");
        }
        targets_.model(id).clear_runs();
    }
}

void measured_fleet::submit_due()
{
    due_requests_ += size_.requests_per_s * std::chrono::duration<double>(step_length).count();
    for (; due_requests_ >= 1.0; due_requests_ -= 1.0) {
        for (const std::unique_ptr<metered_host>& host : hosts_) {
            caller_request call;
            call.service = service_id{service_name(random_.below(size_.services))};
            call.key = "key-" + team_name(random_.below(size_.teams));
            call.idempotent = true;
            call.body = "{}";
            host->meter.time([&] { host->node->callers().submit(call, {}, [](const caller_answer&) {}); });
        }
    }
}

void measured_fleet::advance(duration d)
{
    const timestamp end = time_.now() + d;
    while (time_.now() < end)
        step();
}

node_cost measured_fleet::run(duration warm_up, duration measured)
{
    advance(warm_up);
    for (const std::unique_ptr<metered_host>& host : hosts_)
        host->meter = node_meter{};
    advance(measured);

    node_cost cost;
    node_meter total;
    for (const std::unique_ptr<metered_host>& host : hosts_) {
        total.store_reads += host->meter.store_reads;
        total.store_writes += host->meter.store_writes;
        total.store_lease_calls += host->meter.store_lease_calls;
        total.target_control_calls += host->meter.target_control_calls;
        total.peer_bytes += host->meter.peer_bytes;
        total.cpu_ns += host->meter.cpu_ns;
    }
    const double host_seconds =
        static_cast<double>(hosts_.size()) * std::chrono::duration<double>(measured).count();
    cost.cpu_percent =
        100.0 * static_cast<double>(total.cpu_ns) / (host_seconds * static_cast<double>(ns_per_s));
    cost.store_reads_per_s = static_cast<double>(total.store_reads) / host_seconds;
    cost.store_writes_per_s = static_cast<double>(total.store_writes) / host_seconds;
    cost.store_lease_calls_per_s = static_cast<double>(total.store_lease_calls) / host_seconds;
    cost.target_control_calls_per_s = static_cast<double>(total.target_control_calls) / host_seconds;
    // Each byte is sent by one host and received by another; a host's share counts both directions.
    cost.peer_bytes_per_s = 2.0 * static_cast<double>(total.peer_bytes) / host_seconds;
    cost.config_bytes = static_cast<double>(config_bytes_);
    const double before = heap_kib();
    for (const std::unique_ptr<metered_host>& host : hosts_)
        host->node.reset();
    cost.heap_kib = (before - heap_kib()) / static_cast<double>(hosts_.size());
    return cost;
}

} // namespace mjm::bench
