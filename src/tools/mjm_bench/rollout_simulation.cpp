#include "rollout_simulation.h"

#include "maintenance/availability_budget.h"
#include "maintenance/maintenance_codec.h"
#include "maintenance/wave_controller.h"
#include "permits/tests/simulated_store.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>

namespace mjm::bench {

namespace {

constexpr duration step_length{500'000};
constexpr std::uint64_t steps_per_second = 2;
constexpr std::size_t hosts_per_rack = 4;
constexpr std::size_t backfill_depth = 32;
const pool_id pool{"pool"};
const service_id service{"service"};

struct worker {
    std::size_t shard = 0;
    std::int64_t used = 0;
    std::int64_t tasks = 0;
    bool cordoned = false; ///< Its shard's owner starts nothing on it.
    bool rebooting = false;
    std::optional<timestamp> down_until;
    std::uint64_t boot = 1;
    bool done = false;
};

struct running_task {
    target_id host;
    std::int64_t slots = 0;
};

class rollout final : public host_power, public host_probe {
public:
    rollout(const deployment& where, rollout_method method, const rollout_settings& settings,
            std::uint64_t seed);
    rollout_result run();

    void request_reboot(const target_id& id, const std::string& boot, request_callback done) override;
    void state(const target_id& id, state_callback done) override;
    void run_probe(const target_id& id, std::function<void(bool)> done) override;
    void end_tasks(const target_id&, drain_policy) override {}

private:
    void after(duration delay, std::function<void()> action)
    {
        events_.emplace(now_ + delay, std::move(action));
    }
    void serve();
    void start_tasks(std::size_t shard);
    void fail_some();
    void drive_batches();
    void drive_controller();
    void reboot(const target_id& id);
    void set_cordon(const target_id& id, bool on);
    void measure();
    [[nodiscard]] bool finished() const;
    [[nodiscard]] bool serves(const worker& it) const { return !it.cordoned && !it.down_until; }

    const deployment& where_;
    rollout_method method_;
    rollout_settings settings_;
    seeded_random random_;
    fleet_config config_;
    std::vector<arrival> demand_;
    duration demand_length_;
    std::size_t next_arrival_ = 0;
    timestamp demand_start_;
    std::vector<std::deque<arrival>> queues_;
    std::map<target_id, worker> workers_;
    std::vector<std::vector<std::map<target_id, worker>::iterator>> shard_workers_;
    std::multimap<timestamp, running_task> tasks_;
    std::multimap<timestamp, std::function<void()>> events_;
    timestamp now_;
    std::uint64_t steps_ = 0;
    rollout_result result_;
    double waited_s_ = 0.0;
    std::int64_t started_ = 0;
    simulated_store store_;
    std::unique_ptr<simulated_store::client> client_;
    std::unique_ptr<wave_controller> controller_;
    cordon_document cordons_;
    std::uint64_t sequence_ = 0;
};

rollout::rollout(const deployment& where, rollout_method method, const rollout_settings& settings,
                 std::uint64_t seed)
    : where_{where}, method_{method}, settings_{settings}, random_{seed},
      queues_(where.workers_per_shard.size()),
      shard_workers_(where.workers_per_shard.size()), store_{seed}, client_{store_.connect()}
{
    const demand_settings recorded;
    demand_ = record_demand(where, recorded, seed);
    demand_length_ = recorded.length;
    config_.version = 1;
    std::int64_t hosts = 0;
    for (std::size_t shard = 0; shard < where.workers_per_shard.size(); ++shard) {
        for (std::size_t n = 0; n < where.workers_per_shard[shard]; ++n) {
            target_record record;
            record.endpoint.id = target_id{"z" + std::to_string(shard) + "-w" + std::to_string(n)};
            record.zone = zone_id{"z" + std::to_string(shard)};
            record.rack = rack_id{"r" + std::to_string(n / hosts_per_rack)};
            record.pool = pool;
            config_.targets[record.endpoint.id] = record;
            const auto added = workers_.try_emplace(record.endpoint.id).first;
            added->second.shard = shard;
            shard_workers_[shard].push_back(added);
            ++hosts;
        }
    }
    const auto least =
        static_cast<std::int64_t>(std::floor(settings.min_available_part * static_cast<double>(hosts)));
    config_.pools[pool] = {pool, least, false};
    config_.services[service] = {service, pool, false};
    if (method != rollout_method::controller)
        return;
    wave_controller_settings own;
    own.holder = "bench";
    controller_ = std::make_unique<wave_controller>(*client_, *this, *this, own);
    controller_->set_config(config_);
    client_->put({wave_key("w"), maintenance_codec::encode(make_wave("w", {{pool}, {}, {}}, config_)), 0, 0},
                 [](const tl::expected<store_revision, store_errc>&) {});
}

void rollout::start_tasks(std::size_t shard)
{
    std::deque<arrival>& queue = queues_[shard];
    for (std::size_t n = 0; n < std::min(queue.size(), backfill_depth);) {
        const arrival& it = queue[n];
        auto best = workers_.end();
        for (const auto& candidate : shard_workers_[shard]) {
            const worker& w = candidate->second;
            if (serves(w) && where_.slots_per_worker - w.used >= it.slots &&
                (best == workers_.end() || w.used < best->second.used))
                best = candidate;
        }
        if (best == workers_.end()) {
            ++n;
            continue;
        }
        best->second.used += it.slots;
        ++best->second.tasks;
        waited_s_ += std::chrono::duration<double>(now_ - it.at).count();
        ++started_;
        tasks_.emplace(now_ + it.run, running_task{best->first, it.slots});
        queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

void rollout::serve()
{
    while (!tasks_.empty() && tasks_.begin()->first <= now_) {
        const running_task ended = tasks_.begin()->second;
        tasks_.erase(tasks_.begin());
        worker& host = workers_.at(ended.host);
        // A failure has ended the tasks of the host before their time.
        host.used = std::max<std::int64_t>(0, host.used - ended.slots);
        host.tasks = std::max<std::int64_t>(0, host.tasks - 1);
    }
    while (!demand_.empty()) {
        if (next_arrival_ == demand_.size()) {
            next_arrival_ = 0;
            demand_start_ += demand_length_;
        }
        arrival it = demand_[next_arrival_];
        it.at = demand_start_ + it.at.time_since_epoch();
        if (it.at > now_)
            break;
        ++next_arrival_;
        queues_[it.home_shard].push_back(it);
    }
    for (std::size_t shard = 0; shard < queues_.size(); ++shard)
        start_tasks(shard);
}

void rollout::fail_some()
{
    const double chance = settings_.failures_per_host_day *
                          std::chrono::duration<double>(step_length).count() /
                          std::chrono::duration<double>(std::chrono::hours{24}).count();
    for (auto& [id, it] : workers_) {
        if (it.down_until && *it.down_until <= now_) {
            it.down_until.reset();
            ++it.boot;
            if (it.rebooting && method_ != rollout_method::controller) {
                it.done = true;
                set_cordon(id, false);
            }
            it.rebooting = false;
        }
        if (random_.chance(chance) && !it.down_until) {
            it.down_until = now_ + settings_.failure_length;
            it.used = 0;
            it.tasks = 0;
            std::erase_if(tasks_, [&failed = id](const auto& task) { return task.second.host == failed; });
        }
    }
}

void rollout::set_cordon(const target_id& id, bool on)
{
    worker& it = workers_.at(id);
    if (it.cordoned == on)
        return;
    it.cordoned = on;
    if (!on)
        return;
    budget_document others;
    for (const auto& [other, state] : workers_) {
        if (other == id)
            continue;
        if (state.cordoned)
            others.taken[other] = {"w", 1};
        else if (state.down_until)
            others.down.insert(other);
    }
    if (availability_budget{config_, pool}.refusal(others, id, "w") != wait_reason::none)
        ++result_.takes_against_budget;
}

void rollout::reboot(const target_id& id)
{
    worker& it = workers_.at(id);
    const auto spread = static_cast<std::uint64_t>((settings_.reboot_most - settings_.reboot_least).count());
    it.rebooting = true;
    it.down_until =
        now_ + settings_.reboot_least + duration{static_cast<duration::rep>(random_.below(spread))};
}

void rollout::drive_batches()
{
    std::size_t out = 0;
    for (auto& [id, it] : workers_) {
        if (!it.cordoned)
            continue;
        ++out;
        if (!it.rebooting && !it.down_until && it.tasks == 0)
            reboot(id);
    }
    if (out > 0)
        return;
    std::size_t width = method_ == rollout_method::serial ? 1 : (workers_.size() + 9) / 10;
    for (auto& [id, it] : workers_) {
        if (width == 0)
            break;
        if (it.done)
            continue;
        set_cordon(id, true);
        --width;
    }
}

void rollout::drive_controller()
{
    store_.advance(now_);
    controller_->tick(now_);
    if (steps_ % steps_per_second != 0)
        return;
    if (const kv_entry* entry = store_.find(cordon_key("fleet")))
        cordons_ = maintenance_codec::cordons(entry->value).value_or(cordon_document{});
    std::vector<listed_host> listed;
    std::map<std::size_t, shard_report> reports;
    for (auto& [id, it] : workers_) {
        set_cordon(id, cordons_.hosts.contains(id));
        if (!it.down_until)
            listed.push_back({id, host_state::live});
        shard_report& report = reports[it.shard];
        if (it.down_until)
            report.unreachable.insert(id);
        else
            report.running[id] = it.tasks;
    }
    ++sequence_;
    for (auto& [shard, report] : reports) {
        report.shard = {service, zone_id{"z" + std::to_string(shard)}};
        report.epoch = 1;
        report.sequence = sequence_;
        report.cordon_version = cordons_.version;
        controller_->observe_report(report, now_);
    }
    after(std::chrono::seconds{4}, [this, listed] { controller_->observe_hosts(listed, now_); });
}

void rollout::request_reboot(const target_id& id, const std::string& boot, request_callback done)
{
    after(step_length, [this, id, boot, done] {
        const worker& it = workers_.at(id);
        if (!it.down_until && std::to_string(it.boot) == boot)
            reboot(id);
        done({});
    });
}

void rollout::state(const target_id& id, state_callback done)
{
    after(step_length, [this, id, done] {
        const worker& it = workers_.at(id);
        done(host_power_state{!it.down_until, std::to_string(it.boot)});
    });
}

void rollout::run_probe(const target_id& id, std::function<void(bool)> done)
{
    after(std::chrono::seconds{1}, [this, id, done] { done(!workers_.at(id).down_until); });
}

bool rollout::finished() const
{
    if (method_ != rollout_method::controller)
        return std::all_of(workers_.begin(), workers_.end(), [](const auto& it) { return it.second.done; });
    const kv_entry* entry = store_.find(wave_key("w"));
    // The state is the only member of this name and value, so that the document need not be decoded.
    return entry != nullptr && entry->value.find("\"state\":\"finished\"") != std::string::npos;
}

void rollout::measure()
{
    const double step_s = std::chrono::duration<double>(step_length).count();
    std::int64_t available = 0;
    std::int64_t used = 0;
    std::int64_t out = 0;
    for (const auto& [id, it] : workers_) {
        used += it.used;
        if (serves(it))
            ++available;
        if (it.cordoned)
            ++out;
    }
    const std::int64_t needed = (used + where_.slots_per_worker - 1) / where_.slots_per_worker;
    result_.out_host_h += static_cast<double>(out) * step_s / 3600.0;
    result_.idle_host_h +=
        static_cast<double>(std::max<std::int64_t>(0, available - needed)) * step_s / 3600.0;
    if (available < config_.pools.at(pool).min_available)
        result_.below_minimum_s += step_s;
}

rollout_result rollout::run()
{
    while (!finished() && now_.time_since_epoch() < settings_.longest) {
        now_ += step_length;
        ++steps_;
        while (!events_.empty() && events_.begin()->first <= now_) {
            const std::function<void()> action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        fail_some();
        serve();
        if (method_ == rollout_method::controller)
            drive_controller();
        else
            drive_batches();
        measure();
    }
    const double length_s = std::chrono::duration<double>(now_.time_since_epoch()).count();
    result_.finished = finished();
    result_.rollout_s = length_s;
    result_.mean_wait_s = started_ > 0 ? waited_s_ / static_cast<double>(started_) : 0.0;
    result_.store_writes_per_host =
        static_cast<double>(store_.writes()) / static_cast<double>(workers_.size());
    result_.store_reads_per_s = static_cast<double>(store_.reads()) / length_s;
    return result_;
}

} // namespace

rollout_result simulate_rollout(const deployment& where, rollout_method method,
                                const rollout_settings& settings, std::uint64_t seed)
{
    return rollout{where, method, settings, seed}.run();
}

} // namespace mjm::bench
