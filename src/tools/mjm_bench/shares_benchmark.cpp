#include "benchmark.h"
#include "share_simulation.h"
#include "statistics.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <map>

namespace mjm::bench {

namespace {

/// Distance from weighted max-min fair shares in virtual time, for our queue and the baselines.
class shares_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string name() const override { return "shares"; }
    [[nodiscard]] std::string description() const override
    {
        return "Nearness to weighted max-min fair shares, utilisation and urgent start delay in virtual time";
    }
    void add_options(CLI::App& app) override
    {
        app.add_option("--seeds", seeds_, "Number of seeds, starting at 1")->check(CLI::Range(1, 1000));
        app.add_option("--minutes", minutes_, "Virtual time per run")->check(CLI::Range(10, 1440));
        app.add_option("--load", load_, "Mean offered work as a part of the capacity")
            ->check(CLI::Range(0.01, 2.0));
        app.add_flag("--skewed", skewed_, "Demand that differs from the shares instead of following them");
        app.add_option("--deployment", only_, "Run only this deployment");
    }
    [[nodiscard]] nlohmann::json run() override;
    void print(const nlohmann::json& result, std::ostream& out) const override;

private:
    int seeds_ = 5;
    int minutes_ = 30;
    double load_ = demand_settings{}.mean_load;
    bool skewed_ = false;
    std::string only_;
};

const registration<shares_benchmark> registered;

double part_above(const std::vector<double>& values, double bound)
{
    const auto above = std::count_if(values.begin(), values.end(), [bound](double v) { return v > bound; });
    return values.empty() ? 0.0 : static_cast<double>(above) / static_cast<double>(values.size());
}

void add_delays(std::map<std::string, std::vector<double>>& measures, const std::string& name,
                const std::vector<double>& delays)
{
    measures[name + "_median_s"].push_back(quantile(delays, 0.5));
    measures[name + "_p99_s"].push_back(quantile(delays, 0.99));
    measures[name + "_worst_s"].push_back(quantile(delays, 1.0));
}

nlohmann::json shares_benchmark::run()
{
    demand_settings settings;
    settings.length = std::chrono::minutes{minutes_};
    settings.mean_load = load_;
    nlohmann::json rows = nlohmann::json::array();
    const demand_shape shape = skewed_ ? demand_shape::skewed : demand_shape::proportional;
    for (const deployment& where : {consortium(shape), pilhas(shape), target_size(shape)}) {
        if (!only_.empty() && only_ != where.name)
            continue;
        std::vector<std::vector<arrival>> demands;
        for (int seed = 1; seed <= seeds_; ++seed)
            demands.push_back(record_demand(where, settings, static_cast<std::uint64_t>(seed)));
        for (const auto& [kind, kind_name] : enum_names<discipline_kind>::entries) {
            std::map<std::string, std::vector<double>> measures;
            for (const std::vector<arrival>& demand : demands) {
                const share_result r = simulate_shares(where, settings, demand, kind);
                measures["distance_10s"].push_back(r.distance[0]);
                measures["distance_1min"].push_back(r.distance[1]);
                measures["distance_10min"].push_back(r.distance[2]);
                measures["utilisation"].push_back(r.utilisation);
                add_delays(measures, "urgent", r.urgent_delay_s);
                add_delays(measures, "urgent_small", r.urgent_small_delay_s);
                add_delays(measures, "normal", r.normal_delay_s);
                add_delays(measures, "urgent_within", r.urgent_within_delay_s);
                add_delays(measures, "large", r.large_delay_s);
                measures["urgent_late"].push_back(part_above(r.urgent_delay_s, urgent_target_s));
                measures["urgent_small_late"].push_back(part_above(r.urgent_small_delay_s, urgent_target_s));
                measures["urgent_within_late"].push_back(
                    part_above(r.urgent_within_delay_s, urgent_target_s));
                measures["started"].push_back(static_cast<double>(r.started));
                measures["expired"].push_back(static_cast<double>(r.expired));
                measures["refused"].push_back(static_cast<double>(r.refused));
            }
            nlohmann::json row{{"deployment", where.name}, {"discipline", kind_name}};
            for (const auto& [measure, values] : measures)
                row["measures"][measure] = {{"mean", mean(values)}, {"spread", spread(values)}};
            rows.push_back(std::move(row));
        }
    }
    return {{"seeds", seeds_}, {"minutes", minutes_}, {"load", load_}, {"skewed", skewed_}, {"rows", rows}};
}

void shares_benchmark::print(const nlohmann::json& result, std::ostream& out) const
{
    out << "virtual time, " << result["seeds"] << " seeds, " << result["minutes"] << " min each, mean load "
        << result["load"] << (result["skewed"].get<bool>() ? ", demand skewed against shares" : "")
        << "; mean over seeds, (largest - smallest)\n"
        << "distance: part of the delivered slot time not given as weighted max-min fair; late: over "
        << urgent_target_s << " s\n";
    constexpr int name_width = 22;
    constexpr int value_width = 18;
    std::string last;
    const std::vector<std::string> shown{"distance_10s",
                                         "distance_1min",
                                         "distance_10min",
                                         "utilisation",
                                         "urgent_median_s",
                                         "urgent_p99_s",
                                         "urgent_worst_s",
                                         "urgent_late",
                                         "urgent_small_p99_s",
                                         "urgent_small_worst_s",
                                         "urgent_small_late",
                                         "urgent_within_median_s",
                                         "urgent_within_p99_s",
                                         "urgent_within_worst_s",
                                         "urgent_within_late",
                                         "normal_median_s",
                                         "normal_p99_s",
                                         "large_median_s",
                                         "large_p99_s",
                                         "started",
                                         "expired",
                                         "refused"};
    for (const nlohmann::json& first : result["rows"]) {
        const std::string where = first["deployment"];
        if (where == last)
            continue;
        last = where;
        out << '\n' << std::left << std::setw(name_width + 2) << where;
        for (const nlohmann::json& row : result["rows"]) {
            if (row["deployment"] == where)
                out << std::setw(value_width + 4) << row["discipline"].get<std::string>();
        }
        out << '\n';
        for (const std::string& measure : shown) {
            out << std::setw(name_width + 2) << measure;
            for (const nlohmann::json& row : result["rows"]) {
                if (row["deployment"] != where)
                    continue;
                const nlohmann::json& m = row["measures"][measure];
                std::ostringstream cell;
                const double value = m["mean"];
                cell << std::fixed << std::setprecision(value >= 1000.0 ? 0 : 3) << value << " ("
                     << m["spread"].get<double>() << ')';
                out << std::setw(value_width + 4) << cell.str();
            }
            out << '\n';
        }
    }
}

} // namespace

} // namespace mjm::bench
