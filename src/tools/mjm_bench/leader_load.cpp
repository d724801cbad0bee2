#include "leader_load.h"

#include "core/executor.h"
#include "jobs/job_codec.h"
#include "jobs/job_keys.h"
#include "jobs/revision_history.h"

#include <ctime>
#include <deque>
#include <unordered_map>

namespace mjm::bench {

namespace {

constexpr std::chrono::milliseconds network_delay{2};
constexpr std::chrono::milliseconds store_delay{6};
constexpr std::chrono::milliseconds tick_interval{20};
// What is left of the leader's own lease, which is renewed all the time.
constexpr std::chrono::milliseconds leader_lease{1500};
constexpr std::int64_t target_milli_cpu = 64000;
constexpr std::int64_t task_milli_cpu = 9000;
constexpr int tasks_per_job = 8;

double thread_processor_s()
{
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

double process_processor_s()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

/// Events in virtual time; counts the processor time of those that enter the leader.
class simulation_loop {
public:
    void after(duration delay, std::function<void()> event)
    {
        events_.emplace(std::pair{clock_.now() + delay, ++sequence_}, std::move(event));
    }
    void run_until(timestamp end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end) {
            const timestamp at = events_.begin()->first.first;
            const std::function<void()> event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            if (at > clock_.now())
                clock_.advance(at - clock_.now());
            event();
        }
        if (end > clock_.now())
            clock_.advance(end - clock_.now());
    }
    template <typename Function>
    void measured(Function f)
    {
        const double before = thread_processor_s();
        f();
        leader_s += thread_processor_s() - before;
    }
    [[nodiscard]] const manual_clock& time() const { return clock_; }

    double leader_s = 0.0;

private:
    manual_clock clock_;
    std::map<std::pair<timestamp, std::uint64_t>, std::function<void()>> events_;
    std::uint64_t sequence_ = 0;
};

class loop_executor final : public executor {
public:
    explicit loop_executor(simulation_loop& loop) : loop_{loop} {}
    void post(std::function<void()> work) override
    {
        loop_.after(duration{0}, [this, work = std::move(work)] { loop_.measured(work); });
    }

private:
    simulation_loop& loop_;
};

/// A store that accepts each transaction and reports the jobs that the load submits.
class simulated_store final : public transaction_store {
public:
    explicit simulated_store(simulation_loop& loop) : loop_{loop} {}

    void submit(const std::string& key, const std::string& value)
    {
        inbox_.push_back({{key, value, ++revision_}, false});
    }

    void get(const std::string& /*key*/, get_callback done) override
    {
        answer([done] { done(tl::unexpected{store_errc::not_found}); });
    }
    void list(const std::string& /*prefix*/, const std::string& /*after*/, page_callback done) override
    {
        answer([this, done, sent_at = loop_.time().now()] {
            history_.add(sent_at, revision_);
            done(store_page{{}, false, revision_});
        });
    }
    void watch(const std::string& prefix, store_revision after, duration wait, watch_callback done) override
    {
        poll(prefix, after, loop_.time().now() + wait, std::move(done));
    }
    void commit(store_transaction /*transaction*/, commit_callback done) override
    {
        answer([this, done, sent_at = loop_.time().now()] {
            history_.add(sent_at, ++revision_);
            done(revision_);
        });
    }
    void grant_lease(duration /*ttl*/, lease_callback done) override
    {
        answer([done] { done(store_lease_id{1}); });
    }
    void renew_lease(store_lease_id /*lease*/, done_callback done) override
    {
        answer([done] { done({}); });
    }
    void end_lease(store_lease_id /*lease*/, done_callback done) override
    {
        answer([done] { done({}); });
    }
    [[nodiscard]] timestamp complete_until(store_revision revision) const override
    {
        return history_.complete_until(revision);
    }

private:
    void answer(std::function<void()> event)
    {
        loop_.after(store_delay, [this, event = std::move(event)] { loop_.measured(event); });
    }
    void poll(const std::string& prefix, store_revision after, timestamp until, watch_callback done)
    {
        loop_.after(store_delay, [this, prefix, after, until, done = std::move(done)] {
            store_changes out;
            if (prefix == job_keys::inbox)
                out.changes.assign(inbox_.begin(), inbox_.end());
            out.revision = revision_;
            if (out.changes.empty() && loop_.time().now() < until) {
                poll(prefix, after, until, done);
                return;
            }
            if (prefix == job_keys::inbox)
                inbox_.clear();
            loop_.measured([&] { done(out); });
        });
    }

    simulation_loop& loop_;
    std::deque<store_change> inbox_;
    store_revision revision_ = 1;
    revision_history history_;
};

/// Targets that run each task for its time and report ends to a waiting observation.
class simulated_targets final : public target_orders {
public:
    simulated_targets(simulation_loop& loop, random_source& random) : loop_{loop}, random_{random} {}

    void start(const target_ref& target, const start_order& order, order_callback done) override
    {
        loop_.after(network_delay, [this, id = target.id, order, done = std::move(done)] {
            state& t = targets_[id];
            t.running[order.task] = order.run;
            const std::chrono::milliseconds run_time{static_cast<std::int64_t>(400 + random_.below(1200))};
            loop_.after(run_time, [this, id, task = order.task, run = order.run] { end(id, task, run); });
            reply([this, done] { done(order_answer{clock_ms()}); });
        });
    }
    void stop(const target_ref& /*target*/, const task_key& /*task*/, run_number /*run*/,
              fencing_token /*token*/, order_callback done) override
    {
        loop_.after(network_delay, [this, done = std::move(done)] {
            reply([this, done] { done(order_answer{clock_ms()}); });
        });
    }
    void observe(const target_ref& target, const lease_request& request, report_callback done) override
    {
        loop_.after(network_delay, [this, id = target.id, request, done = std::move(done)] {
            state& t = targets_[id];
            std::erase_if(
                t.ended, [&request](const listed_end& e) { return e.sequence <= request.ends_acknowledged; });
            if (!t.ended.empty() || request.wait.count() == 0) {
                report(id, done);
                return;
            }
            t.waiting = done;
            loop_.after(request.wait, [this, id, n = ++t.waits] {
                state& later = targets_[id];
                if (later.waiting && later.waits == n)
                    report(id, std::exchange(later.waiting, {}));
            });
        });
    }
    void pace(const target_ref& /*target*/, const task_key& /*task*/, run_number /*run*/, int /*percent*/,
              fencing_token /*token*/, order_callback done) override
    {
        reply([this, done] { done(order_answer{clock_ms()}); });
    }

    std::uint64_t ended = 0;

private:
    struct state {
        std::map<task_key, run_number> running;
        std::vector<listed_end> ended;
        std::uint64_t last_end = 0;
        std::uint64_t waits = 0;
        report_callback waiting;
    };

    void reply(std::function<void()> event)
    {
        loop_.after(network_delay, [this, event = std::move(event)] { loop_.measured(event); });
    }
    void end(const target_id& id, const task_key& task, run_number run)
    {
        state& t = targets_[id];
        t.running.erase(task);
        t.ended.push_back({++t.last_end, task, run, run_end::done, {}});
        ++ended;
        if (t.waiting)
            report(id, std::exchange(t.waiting, {}));
    }
    void report(const target_id& id, const report_callback& done)
    {
        const state& t = targets_[id];
        target_report out;
        out.clock_ms = clock_ms();
        out.incarnation = 1;
        for (const auto& [task, run] : t.running)
            out.running.push_back({task, run, {}, full_pace, 0.0});
        out.ended = t.ended;
        reply([done, out] { done(out); });
    }
    [[nodiscard]] std::int64_t clock_ms() const { return to_ms(loop_.time().now().time_since_epoch()); }

    simulation_loop& loop_;
    random_source& random_;
    std::unordered_map<target_id, state> targets_;
};

class simulated_directory final : public target_directory {
public:
    simulated_directory(simulation_loop& loop, std::vector<target_info> targets, duration heartbeat)
        : loop_{loop}, targets_{std::move(targets)}, heartbeat_{heartbeat}
    {
    }
    void open(handler h) override
    {
        handler_ = std::move(h);
        handler_.on_snapshot(targets_);
        for (std::size_t n = 0; n < targets_.size(); ++n)
            beat(n, heartbeat_ * static_cast<std::int64_t>(n) / static_cast<std::int64_t>(targets_.size()));
    }
    void close() override { handler_ = {}; }
    void tick() override {}
    [[nodiscard]] timestamp view_time() const override { return loop_.time().now(); }

private:
    void beat(std::size_t n, duration delay)
    {
        loop_.after(delay, [this, n] {
            if (!handler_.on_target)
                return;
            loop_.measured([this, n] { handler_.on_target(targets_[n]); });
            beat(n, heartbeat_);
        });
    }

    simulation_loop& loop_;
    std::vector<target_info> targets_;
    duration heartbeat_;
    handler handler_;
};

std::shared_ptr<const fleet_config> make_config(int pools)
{
    std::shared_ptr<fleet_config> config = std::make_shared<fleet_config>();
    for (int p = 0; p < pools; ++p) {
        const std::string name = "pool" + std::to_string(p);
        queue_config q;
        q.id = queue_id{"queue" + std::to_string(p)};
        q.prefix = "/" + name + "/";
        q.service = service_id{name};
        q.stretch = 1.6;
        q.objective_allowance = std::chrono::milliseconds{600};
        q.max_attempts = 2;
        config->queues.push_back(q);
        config->services.emplace(q.service, service_config{q.service, true, false});
    }
    return config;
}

std::vector<target_info> make_targets(int count, int pools)
{
    std::vector<target_info> out;
    for (int n = 0; n < count; ++n) {
        target_info t;
        t.id = target_id{"i-" + std::to_string(100000 + n)};
        t.service = service_id{"pool" + std::to_string(n % pools)};
        t.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1000 + n)};
        t.capacity = {target_milli_cpu, 262144, 0, 0};
        t.incarnation = 1;
        t.host = "host" + std::to_string(n);
        t.rack = rack_id{"r" + std::to_string(n / 8)};
        out.push_back(std::move(t));
    }
    return out;
}

job_record make_job(std::uint64_t number, int pool, std::int64_t accepted_ms)
{
    job_record record;
    record.id = job_id{"job" + std::to_string(1000000 + number)};
    record.queue = queue_id{"queue" + std::to_string(pool)};
    record.service = service_id{"pool" + std::to_string(pool)};
    record.team = team_id{"team" + std::to_string(number % 20)};
    record.accepted_ms = accepted_ms;
    record.spec.payload = "spec";
    step_spec step;
    step.tasks = tasks_per_job;
    step.need = {task_milli_cpu, 18000, 0, 0};
    step.estimate = std::chrono::seconds{1};
    record.spec.steps.push_back(step);
    return record;
}

} // namespace

leader_load_result run_leader_load(const leader_load_settings& settings)
{
    leader_load_result result;
    simulation_loop loop;
    seeded_random random{settings.seed};
    simulated_store store{loop};
    simulated_targets targets{loop, random};
    simulated_directory directory{loop, make_targets(settings.targets, settings.pools), settings.heartbeat};
    loop_executor later{loop};
    metric_registry metrics;
    const double process_before = process_processor_s();
    const double thread_before = thread_processor_s();
    {
        log_settings log;
        log.queue_capacity = 1 << 20;
        log_sink sink{log, loop.time(), [&result](const std::string& line) {
                          ++result.log_lines;
                          result.log_bytes += line.size() + 1;
                      }};
        job_leader leader{
            {},
            {store, targets, directory, nullptr, later, loop.time(), logger{sink, "jobs"}, metrics},
            1,
            make_config(settings.pools),
            [&loop] { return loop.time().now() + leader_lease; },
            [](const std::string&) {}};
        const timestamp end = loop.time().now() + settings.length;
        const double jobs_per_s = settings.load * settings.targets * static_cast<double>(target_milli_cpu) /
                                  static_cast<double>(task_milli_cpu * tasks_per_job);
        double owed = 0.0;
        std::uint64_t jobs = 0;
        while (loop.time().now() < end) {
            loop.measured([&leader] { leader.tick(); });
            owed += jobs_per_s * std::chrono::duration<double>(tick_interval).count();
            for (; owed >= 1.0; owed -= 1.0, ++jobs) {
                const job_record job =
                    make_job(jobs, static_cast<int>(jobs % static_cast<std::uint64_t>(settings.pools)),
                             loop.time().unix_ms());
                store.submit(job_keys::of(job_keys::accepted, job.id), encode_job(job));
            }
            loop.run_until(loop.time().now() + tick_interval);
        }
    }
    result.runs = targets.ended;
    result.processor_s = loop.leader_s;
    result.log_processor_s =
        (process_processor_s() - process_before) - (thread_processor_s() - thread_before);
    return result;
}

} // namespace mjm::bench
