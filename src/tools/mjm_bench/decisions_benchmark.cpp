#include "benchmark.h"
#include "core/random_source.h"
#include "scheduling/fair_queue.h"
#include "scheduling/placement.h"
#include "scheduling/target_health.h"
#include "statistics.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <iomanip>
#include <map>
#include <string>
#include <utility>

namespace mjm::bench {

namespace {

constexpr timestamp start{std::chrono::hours{1}};
constexpr resources one_slot{.milli_cpu = 1000, .memory_mib = 1024, .accelerators = 0, .slots = 1};
const std::vector<std::size_t> queue_lengths{100, 1000, 10'000, 100'000};
const std::vector<std::size_t> team_counts{6, 52, 208};
const std::vector<std::size_t> target_counts{12, 50, 530};

/// Durations of single calls in nanoseconds, by operation.
using samples = std::map<std::string, std::vector<double>>;

template <typename Call>
auto timed(samples& into, const std::string& operation, const Call& call)
{
    const auto before = std::chrono::steady_clock::now();
    auto result = call();
    const auto after = std::chrono::steady_clock::now();
    into[operation].push_back(std::chrono::duration<double, std::nano>(after - before).count());
    return result;
}

/// Time of each scheduling decision against queue length, number of teams and number of targets.
class decisions_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string name() const override { return "decisions"; }
    [[nodiscard]] std::string description() const override
    {
        return "Time of each scheduling decision against queue length, teams and targets";
    }
    void add_options(CLI::App& app) override
    {
        app.add_option("--calls", calls_, "Timed calls of each operation")->check(CLI::Range(10, 1'000'000));
    }
    [[nodiscard]] nlohmann::json run() override;
    void print(const nlohmann::json& result, std::ostream& out) const override;

private:
    [[nodiscard]] samples measure_queue(std::size_t length, std::size_t teams) const;
    [[nodiscard]] samples measure_targets(std::size_t targets) const;

    int calls_ = 3000;
};

const registration<decisions_benchmark> registered;

/// A queue kept at one length.
class filled_queue {
public:
    filled_queue(std::size_t length, std::size_t teams)
        : queue{{.max_queued = length + 1, .max_queued_per_team = length + 1}}
    {
        queue.set_capacity({.milli_cpu = 960'000, .memory_mib = 3'840'000, .accelerators = 0, .slots = 120});
        for (std::size_t n = 0; n < teams; ++n) {
            names.emplace_back("team" + std::to_string(n));
            queue.set_share(names.back(), 1.0 + static_cast<double>(n % 4));
        }
        for (std::size_t n = 0; n < length; ++n)
            (void)queue.enqueue(next_task(), now);
    }

    queued_task next_task()
    {
        // As long as real identifiers, which do not fit into the string object itself.
        std::string id = std::to_string(next_++);
        id.insert(0, 32 - id.size(), '0');
        now += std::chrono::microseconds{100};
        return {.id = request_id{id},
                .team = names[random.below(names.size())],
                .urgency = random.chance(0.05) ? priority::urgent : priority::normal,
                .need = one_slot,
                .expected_run = std::chrono::seconds{1},
                .enqueued = now,
                .deadline = now + std::chrono::minutes{10 + random.below(10)}};
    }

    fair_queue queue;
    seeded_random random{17};
    std::vector<team_id> names;
    timestamp now = start;

private:
    std::uint64_t next_ = 0;
};

samples decisions_benchmark::measure_queue(std::size_t length, std::size_t teams) const
{
    filled_queue f{length, teams};
    samples times;
    const auto any_team = [](const team_id&) { return true; };
    const auto any_task = [](const queued_task&) { return true; };
    const pick_context all{.may_start = any_team, .fits = any_task};
    const pick_context one{.may_start = [&f](const team_id& t) { return t == f.names.back(); },
                           .fits = any_task};
    const pick_context no_team{.may_start = [](const team_id&) { return false; }, .fits = any_task};
    const pick_context no_room{.may_start = any_team,
                               .fits = [](const queued_task&) { return false; },
                               .has_capacity = [](const resources&) { return false; }};
    std::vector<queued_task> running;
    const auto pick_and_refill = [&](const std::string& operation, const pick_context& context) {
        const std::optional<queued_task> task =
            timed(times, operation, [&] { return f.queue.pick(context, f.now); });
        if (!task)
            return;
        f.queue.task_started(task->team, task->need, f.now);
        running.push_back(*task);
        queued_task more = f.next_task();
        more.team = task->team;
        (void)f.queue.enqueue(more, f.now);
        if (running.size() > 100) {
            const std::size_t n = f.random.below(running.size());
            std::swap(running[n], running.back());
            f.queue.task_finished(running.back().team, running.back().need, f.now);
            running.pop_back();
        }
    };
    for (int n = 0; n < calls_; ++n) {
        const queued_task task = f.next_task();
        (void)timed(times, "enqueue", [&] { return f.queue.enqueue(task, f.now); });
        (void)timed(times, "cancel", [&] { return f.queue.cancel(task.id); });
        pick_and_refill("pick", all);
        pick_and_refill("pick_one_team_may_start", one);
        pick_and_refill("pick_no_team_may_start", no_team);
        pick_and_refill("pick_no_room", no_room);
    }
    return times;
}

samples decisions_benchmark::measure_targets(std::size_t targets) const
{
    samples times;
    seeded_random random{23};
    std::vector<placement_candidate> candidates;
    std::vector<target_id> names;
    for (std::size_t n = 0; n < targets; ++n) {
        names.emplace_back("target" + std::to_string(n));
        const auto busy = static_cast<std::int64_t>(random.below(9));
        candidates.push_back(
            {.id = names.back(),
             .rack = rack_id{"rack" + std::to_string(n / 4)},
             .capacity = {.milli_cpu = 8000, .memory_mib = 8192, .accelerators = 0, .slots = 8},
             .reserved =
                 {.milli_cpu = busy * 1000, .memory_mib = busy * 1024, .accelerators = 0, .slots = busy},
             .reported_used = {}});
    }
    target_health health{{}};
    health.set_targets(names);
    const std::vector<team_id> teams{team_id{"a"}, team_id{"b"}};
    timestamp now = start;
    for (int n = 0; n < calls_; ++n) {
        now += std::chrono::milliseconds{1};
        (void)timed(times, "placement", [&] { return choose_target(candidates, one_slot, random); });
        const request_id id{"request" + std::to_string(n)};
        const target_id& target = names[random.below(names.size())];
        const team_id& team = teams[random.below(2)];
        (void)timed(times, "health_success", [&] {
            health.record_success(target, id, team, now);
            return 0;
        });
        // The last target fails everything and so takes the path of an ejection decision.
        const request_id failed{"failed" + std::to_string(n)};
        (void)timed(times, "health_failure", [&] {
            health.record_failure(names.back(), failed, team, now);
            return 0;
        });
        (void)timed(times, "health_weight", [&] { return health.weight(target, now); });
    }
    return times;
}

nlohmann::json decisions_benchmark::run()
{
    nlohmann::json rows = nlohmann::json::array();
    std::map<std::string, std::map<std::size_t, std::vector<double>>> by_length; // at each team count
    std::map<std::string, std::map<std::size_t, std::vector<double>>> by_teams;  // at each length
    for (const std::size_t teams : team_counts) {
        for (const std::size_t length : queue_lengths) {
            for (const auto& [operation, ns] : measure_queue(length, teams)) {
                const double median = quantile(ns, 0.5);
                rows.push_back({{"operation", operation},
                                {"queued", length},
                                {"teams", teams},
                                {"median_ns", median},
                                {"p99_ns", quantile(ns, 0.99)}});
                by_length[operation][teams].push_back(median);
                by_teams[operation][length].push_back(median);
            }
        }
    }
    std::map<std::string, std::vector<double>> by_targets;
    for (const std::size_t targets : target_counts) {
        for (const auto& [operation, ns] : measure_targets(targets)) {
            const double median = quantile(ns, 0.5);
            rows.push_back({{"operation", operation},
                            {"targets", targets},
                            {"median_ns", median},
                            {"p99_ns", quantile(ns, 0.99)}});
            by_targets[operation].push_back(median);
        }
    }
    const auto numbers = [](const std::vector<std::size_t>& n) {
        return std::vector<double>(n.begin(), n.end());
    };
    nlohmann::json slopes = nlohmann::json::array();
    for (const auto& [operation, lines] : by_length) {
        for (const auto& [teams, medians] : lines) {
            slopes.push_back({{"operation", operation},
                              {"against", "queued"},
                              {"teams", teams},
                              {"exponent", fitted_exponent(numbers(queue_lengths), medians)}});
        }
    }
    for (const auto& [operation, lines] : by_teams) {
        for (const auto& [length, medians] : lines) {
            slopes.push_back({{"operation", operation},
                              {"against", "teams"},
                              {"queued", length},
                              {"exponent", fitted_exponent(numbers(team_counts), medians)}});
        }
    }
    for (const auto& [operation, medians] : by_targets) {
        slopes.push_back({{"operation", operation},
                          {"against", "targets"},
                          {"exponent", fitted_exponent(numbers(target_counts), medians)}});
    }
    return {{"calls", calls_}, {"rows", rows}, {"slopes", slopes}};
}

void decisions_benchmark::print(const nlohmann::json& result, std::ostream& out) const
{
    constexpr int wide = 26;
    constexpr int narrow = 10;
    const auto field = [](const nlohmann::json& row, const char* key) {
        return row.contains(key) ? row[key].dump() : std::string{"-"};
    };
    out << std::left << std::setw(wide) << "operation" << std::right << std::setw(narrow) << "queued"
        << std::setw(narrow) << "teams" << std::setw(narrow) << "targets" << std::setw(narrow) << "median ns"
        << std::setw(narrow) << "p99 ns" << '\n';
    out << std::fixed << std::setprecision(0);
    for (const nlohmann::json& row : result["rows"]) {
        out << std::left << std::setw(wide) << row["operation"].get<std::string>() << std::right
            << std::setw(narrow) << field(row, "queued") << std::setw(narrow) << field(row, "teams")
            << std::setw(narrow) << field(row, "targets") << std::setw(narrow)
            << row["median_ns"].get<double>() << std::setw(narrow) << row["p99_ns"].get<double>() << '\n';
    }
    out << "\nfitted exponent b of time = a n^b\n" << std::setprecision(2);
    for (const nlohmann::json& row : result["slopes"]) {
        out << std::left << std::setw(wide) << row["operation"].get<std::string>() << " against "
            << std::setw(narrow) << row["against"].get<std::string>() << std::right << std::setw(narrow)
            << row["exponent"].get<double>() << "  (queued " << field(row, "queued") << ", teams "
            << field(row, "teams") << ")\n";
    }
}

} // namespace

} // namespace mjm::bench
