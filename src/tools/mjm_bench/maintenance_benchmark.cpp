#include "benchmark.h"
#include "maintenance/maintenance_plan.h"
#include "rollout_simulation.h"
#include "statistics.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <iomanip>
#include <utility>

namespace mjm::bench {

namespace {

constexpr int plan_repeats = 5;

/// Roll-out of a maintenance wave against baselines, and the time to make a plan.
class maintenance_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string name() const override { return "maintenance"; }
    [[nodiscard]] std::string description() const override
    {
        return "Roll-out time, host-hours and budget violations of maintenance waves; time to make a plan";
    }
    void add_options(CLI::App& app) override
    {
        app.add_option("--seeds", seeds_, "Number of seeds, starting at 1")->check(CLI::Range(1, 1000));
        app.add_option("--failures", settings_.failures_per_host_day, "Unplanned failures per host and day")
            ->check(CLI::Range(0.0, 100.0));
        app.add_option("--min-part", settings_.min_available_part, "Hosts that must be available")
            ->check(CLI::Range(0.0, 1.0));
        app.add_option("--deployment", only_, "Run only this deployment");
        app.add_flag("--plan-only", plan_only_, "Measure only the time to make a plan");
    }
    [[nodiscard]] nlohmann::json run() override;
    void print(const nlohmann::json& result, std::ostream& out) const override;

private:
    [[nodiscard]] nlohmann::json run_method(const deployment& where, rollout_method method) const;

    int seeds_ = 5;
    bool plan_only_ = false;
    std::string only_;
    rollout_settings settings_;
};

const registration<maintenance_benchmark> registered;

fleet_config plan_fleet(int hosts, int pools)
{
    fleet_config config;
    for (int p = 0; p < pools; ++p) {
        const pool_id id{"p" + std::to_string(p)};
        config.pools[id] = {id, 0, false};
    }
    for (int n = 0; n < hosts; ++n) {
        target_record record;
        record.endpoint.id = target_id{"w" + std::to_string(n)};
        record.zone = zone_id{"z" + std::to_string(n % 7)};
        record.rack = rack_id{"r" + std::to_string(n / 28)};
        record.pool = pool_id{"p" + std::to_string(n % pools)};
        config.targets[record.endpoint.id] = record;
    }
    return config;
}

double plan_ms(int hosts, int pools)
{
    const fleet_config config = plan_fleet(hosts, pools);
    std::vector<double> measured;
    for (int n = 0; n < plan_repeats; ++n) {
        const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
        const maintenance_plan plan = maintenance_plan::make(config, {}, {});
        measured.push_back(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count());
        if (plan.hosts.size() != static_cast<std::size_t>(hosts))
            return -1.0;
    }
    return quantile(measured, 0.5);
}

nlohmann::json maintenance_benchmark::run_method(const deployment& where, rollout_method method) const
{
    std::map<std::string, std::vector<double>> values;
    for (int seed = 1; seed <= seeds_; ++seed) {
        const rollout_result r = simulate_rollout(where, method, settings_, static_cast<std::uint64_t>(seed));
        values["finished"].push_back(r.finished ? 1.0 : 0.0);
        values["rollout_s"].push_back(r.rollout_s);
        values["out_host_h"].push_back(r.out_host_h);
        values["idle_host_h"].push_back(r.idle_host_h);
        values["mean_wait_s"].push_back(r.mean_wait_s);
        values["takes_against_budget"].push_back(static_cast<double>(r.takes_against_budget));
        values["below_minimum_s"].push_back(r.below_minimum_s);
        values["store_writes_per_host"].push_back(r.store_writes_per_host);
        values["store_reads_per_s"].push_back(r.store_reads_per_s);
    }
    nlohmann::json out;
    for (const auto& [measure, list] : values)
        out[measure] = {{"mean", mean(list)}, {"spread", spread(list)}};
    return out;
}

nlohmann::json maintenance_benchmark::run()
{
    nlohmann::json out;
    const std::vector<std::pair<const char*, rollout_method>> methods{
        {"controller", rollout_method::controller},
        {"serial", rollout_method::serial},
        {"fixed_batches", rollout_method::fixed_batches}};
    for (const deployment& where :
         {consortium(demand_shape::proportional), pilhas(demand_shape::proportional),
          target_size(demand_shape::proportional)}) {
        if (plan_only_ || (!only_.empty() && only_ != where.name))
            continue;
        for (const auto& [name, method] : methods)
            out["rollout"][where.name][name] = run_method(where, method);
    }
    for (const auto& [hosts, pools] :
         std::vector<std::pair<int, int>>{{50, 5}, {50, 36}, {132, 96}, {265, 192}, {530, 48}, {530, 385}})
        out["plan"].push_back({{"hosts", hosts}, {"pools", pools}, {"ms", plan_ms(hosts, pools)}});
    return out;
}

void maintenance_benchmark::print(const nlohmann::json& result, std::ostream& out) const
{
    out << std::fixed << std::setprecision(2);
    if (result.contains("rollout")) {
        for (const auto& [where, methods] : result["rollout"].items()) {
            for (const auto& [method, measures] : methods.items()) {
                out << where << ' ' << method << '\n';
                for (const auto& [measure, value] : measures.items())
                    out << "  " << std::left << std::setw(24) << measure << std::right << std::setw(12)
                        << value["mean"].get<double>() << " spread " << value["spread"].get<double>() << '\n';
            }
        }
    }
    for (const nlohmann::json& it : result["plan"])
        out << "plan " << it["hosts"] << " hosts, " << it["pools"] << " pools: " << it["ms"].get<double>()
            << " ms\n";
}

} // namespace

} // namespace mjm::bench
