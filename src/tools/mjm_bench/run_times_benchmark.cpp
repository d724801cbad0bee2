#include "benchmark.h"
#include "core/random_source.h"
#include "jobs/run_time_model.h"
#include "jobs/work_order.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <numbers>
#include <vector>

namespace mjm::bench {

namespace {

/// Where the expected run times of the jobs come from.
enum class knowledge { declared, learned, exact };
constexpr std::array<std::pair<knowledge, const char*>, 3> sources{
    {{knowledge::declared, "declared"}, {knowledge::learned, "learned"}, {knowledge::exact, "exact"}}};

constexpr std::int64_t step_ms = 10;
constexpr double turn_s = 4.5;  ///< The queue asks its peak for one turn of four.
constexpr double peak = 5.0;    ///< Demand in the queue's turn, as a multiple of its mean.
constexpr double trough = 0.05; ///< Demand in the other turns.
constexpr std::int64_t task_milli_cpu = 2000;
constexpr std::uint32_t tasks_per_job = 8;
constexpr double tail_share = 0.03;
constexpr double tail_factor = 7.0;

/// A queue's tasks: their mean run time, and the factor by which callers declare it too short.
struct kind {
    const char* queue;
    double mean_s;
    double declared_factor;
};
constexpr std::array<kind, 2> kinds{{{"quick", 0.54, 1.0}, {"long", 1.4, 0.4}}};

struct open_job {
    std::unique_ptr<job> state;
    double true_s = 0.0;
    std::uint32_t waiting = tasks_per_job;
    std::uint32_t open = tasks_per_job;
    std::int64_t in_time_ms = 0; ///< When its caller needs the result, by the true run time.
};

struct result {
    std::size_t jobs = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
    double mean_s = 0.0; ///< Of the jobs that ended.
};

double log_normal(random_source& random, double mean, double spread)
{
    const double u = std::max(random.uniform01(), 1e-12);
    const double z = std::sqrt(-2.0 * std::log(u)) * std::cos(2.0 * std::numbers::pi * random.uniform01());
    return mean * std::exp(spread * z - spread * spread / 2.0);
}

/// Plays one pool whose queues ask five times their mean in their turns. Jobs are ordered by `rank_job`.
class pool_simulation {
public:
    pool_simulation(knowledge source, std::uint64_t seed, int hosts, double load, double declared_spread)
        : source_{source}, random_{seed}, slots_{hosts * 8}, declared_spread_{declared_spread}
    {
        for (std::size_t n = 0; n < kinds.size(); ++n)
            rate_[n] = load * static_cast<double>(slots_) / static_cast<double>(kinds.size()) /
                       (kinds[n].mean_s * (1.0 + tail_share * (tail_factor - 1.0)) * tasks_per_job);
    }

    result run(std::int64_t length_ms)
    {
        for (std::int64_t now = 0; now < length_ms; now += step_ms) {
            end_tasks(now);
            for (std::size_t n = 0; n < kinds.size(); ++n) {
                const bool turn =
                    static_cast<std::int64_t>(static_cast<double>(now) / (turn_s * 1000.0)) % 4 ==
                    static_cast<std::int64_t>(n);
                const double rate = rate_[n] * (turn ? peak : trough);
                if (random_.chance(rate * static_cast<double>(step_ms) / 1000.0))
                    arrive(n, now);
            }
            start_tasks(now);
        }
        return out_;
    }

private:
    struct running {
        std::int64_t end_ms = 0;
        std::int64_t start_ms = 0;
        open_job* owner = nullptr;
    };

    void arrive(std::size_t n, std::int64_t now)
    {
        const kind& k = kinds[n];
        open_job j;
        j.true_s = log_normal(random_, k.mean_s, 0.5) * (random_.chance(tail_share) ? tail_factor : 1.0);
        const double declared_s = j.true_s * k.declared_factor * log_normal(random_, 1.0, declared_spread_);
        job_record record;
        record.id = job_id{std::to_string(out_.jobs)};
        record.queue = queue_id{k.queue};
        record.accepted_ms = now;
        step_spec step;
        step.tasks = tasks_per_job;
        step.need.milli_cpu = task_milli_cpu;
        step.estimate = std::chrono::milliseconds{static_cast<std::int64_t>(declared_s * 1000.0)};
        record.spec.steps.push_back(step);
        j.state = std::make_unique<job>(std::move(record));
        const duration exact = std::chrono::milliseconds{static_cast<std::int64_t>(j.true_s * 1000.0)};
        if (source_ == knowledge::exact)
            j.state->set_expected_run_times({exact});
        else if (source_ == knowledge::learned)
            j.state->set_expected_run_times(
                {model_.expect(class_of(j.state->record().queue, step), step.estimate).typical});
        j.in_time_ms = now + static_cast<std::int64_t>((1.6 * j.true_s + 0.6) * 1000.0);
        ++out_.jobs;
        jobs_.push_back(std::make_unique<open_job>(std::move(j)));
    }

    void start_tasks(std::int64_t now)
    {
        std::vector<std::pair<work_rank, open_job*>> order;
        for (const std::unique_ptr<open_job>& j : jobs_) {
            if (j->waiting > 0)
                order.emplace_back(rank_job(*j->state, 0,
                                            objective_of(*j->state, j->state->record().accepted_ms, 1.6,
                                                         std::chrono::milliseconds{600}),
                                            now),
                                   j.get());
        }
        std::sort(order.begin(), order.end());
        for (const auto& [rank, j] : order) {
            while (j->waiting > 0 && static_cast<int>(running_.size()) < slots_) {
                --j->waiting;
                const double run_s = j->true_s * (0.85 + 0.3 * random_.uniform01());
                running_.push_back({now + static_cast<std::int64_t>(run_s * 1000.0), now, j});
            }
        }
    }

    void end_tasks(std::int64_t now)
    {
        for (const running& r : running_) {
            if (r.end_ms > now)
                continue;
            job& j = *r.owner->state;
            model_.record(class_of(j.record().queue, j.step(0)), service_id{"pool"},
                          target_id{std::to_string(random_.below(60))}, j.step(0).estimate,
                          std::chrono::milliseconds{r.end_ms - r.start_ms});
            j.finish_task({0, 0, --r.owner->open});
            if (r.owner->open > 0)
                continue;
            const std::int64_t took = now - j.record().accepted_ms;
            ++(now <= r.owner->in_time_ms ? out_.in_time : out_.late);
            const double ended = static_cast<double>(out_.in_time + out_.late);
            out_.mean_s += (static_cast<double>(took) / 1000.0 - out_.mean_s) / ended;
        }
        std::erase_if(running_, [now](const running& r) { return r.end_ms <= now; });
        std::erase_if(jobs_, [](const std::unique_ptr<open_job>& j) { return j->open == 0; });
    }

    const knowledge source_;
    seeded_random random_;
    const int slots_;
    const double declared_spread_;
    std::array<double, kinds.size()> rate_{};
    run_time_model model_;
    std::vector<std::unique_ptr<open_job>> jobs_;
    std::vector<running> running_;
    result out_;
};

/// What callers get by where the expected run times come from.
class run_times_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string name() const override { return "run-times"; }
    [[nodiscard]] std::string description() const override
    {
        return "Jobs in time when ordered by declared, learned and exact run times";
    }
    void add_options(CLI::App& app) override
    {
        app.add_option("--hosts", hosts_, "Hosts of the pool, with 8 places each")->check(CLI::Range(1, 500));
        app.add_option("--load", load_, "Mean work as a part of the pool's capacity")
            ->check(CLI::Range(0.01, 5.0));
        app.add_option("--spread", spread_, "Spread of the declared run times")->check(CLI::Range(0.0, 3.0));
        app.add_option("--seeds", seeds_, "Number of seeds")->check(CLI::Range(1, 100));
        app.add_option("--seconds", seconds_, "Length of a run in virtual time")->check(CLI::Range(1, 3600));
    }
    [[nodiscard]] nlohmann::json run() override
    {
        nlohmann::json out = nlohmann::json::array();
        for (const auto& [source, label] : sources) {
            result sum;
            for (std::uint64_t seed = 1; seed <= seeds_; ++seed) {
                pool_simulation play{source, seed, hosts_, load_, spread_};
                const result r = play.run(seconds_ * 1000);
                sum.jobs += r.jobs;
                sum.in_time += r.in_time;
                sum.late += r.late;
                sum.mean_s += r.mean_s / static_cast<double>(seeds_);
            }
            const double jobs = static_cast<double>(std::max<std::size_t>(sum.jobs, 1));
            out.push_back({{"source", label},
                           {"jobs", sum.jobs},
                           {"in_time", static_cast<double>(sum.in_time) / jobs},
                           {"late", static_cast<double>(sum.late) / jobs},
                           {"mean_s", sum.mean_s}});
        }
        return out;
    }
    void print(const nlohmann::json& rows, std::ostream& out) const override
    {
        out << "run times    jobs  in time   late  mean s\n" << std::fixed << std::setprecision(3);
        for (const nlohmann::json& row : rows)
            out << std::setw(9) << row["source"].get<std::string>() << std::setw(8)
                << row["jobs"].get<std::size_t>() << std::setw(9) << row["in_time"].get<double>()
                << std::setw(7) << row["late"].get<double>() << std::setw(8) << row["mean_s"].get<double>()
                << '\n';
    }

private:
    int hosts_ = 40;
    double load_ = 0.45;
    double spread_ = 0.5;
    std::uint64_t seeds_ = 5;
    std::int64_t seconds_ = 120;
};

const registration<run_times_benchmark> registered;

} // namespace

} // namespace mjm::bench
