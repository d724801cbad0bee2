#include "benchmark.h"
#include "leader_load.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iomanip>

namespace mjm::bench {

namespace {

constexpr double microseconds_per_second = 1e6;

/// Processor time of a leader for each run, by the number of targets and the load.
class leader_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string name() const override { return "leader"; }
    [[nodiscard]] std::string description() const override
    {
        return "Processor time of a leader per run, from the plan to the stored end";
    }
    void add_options(CLI::App& app) override
    {
        app.add_option("--targets", targets_, "Numbers of targets")->check(CLI::Range(1, 5000));
        app.add_option("--loads", loads_, "Offered work as multiples of the targets' capacity")
            ->check(CLI::Range(0.01, 20.0));
        app.add_option("--seconds", seconds_, "Length of a run in virtual time")->check(CLI::Range(1, 600));
    }
    [[nodiscard]] nlohmann::json run() override
    {
        nlohmann::json out = nlohmann::json::array();
        for (const int targets : targets_) {
            for (const double load : loads_) {
                leader_load_settings settings;
                settings.targets = targets;
                settings.load = load;
                settings.length = std::chrono::seconds{seconds_};
                const leader_load_result r = run_leader_load(settings);
                const double runs = static_cast<double>(std::max<std::uint64_t>(r.runs, 1));
                out.push_back({{"targets", targets},
                               {"load", load},
                               {"runs", r.runs},
                               {"leader_us", r.processor_s / runs * microseconds_per_second},
                               {"log_thread_us", r.log_processor_s / runs * microseconds_per_second},
                               {"log_lines", static_cast<double>(r.log_lines) / runs},
                               {"log_bytes", static_cast<double>(r.log_bytes) / runs}});
            }
        }
        return out;
    }
    void print(const nlohmann::json& result, std::ostream& out) const override
    {
        out << "targets  load     runs  leader us/run  log thread us/run  log lines/run  log bytes/run\n"
            << std::fixed << std::setprecision(1);
        for (const nlohmann::json& row : result)
            out << std::setw(7) << row["targets"].get<int>() << std::setw(6) << row["load"].get<double>()
                << std::setw(9) << row["runs"].get<std::uint64_t>() << std::setw(15)
                << row["leader_us"].get<double>() << std::setw(19) << row["log_thread_us"].get<double>()
                << std::setw(15) << row["log_lines"].get<double>() << std::setw(15)
                << row["log_bytes"].get<double>() << '\n';
    }

private:
    std::vector<int> targets_{50, 350, 540, 1100};
    std::vector<double> loads_{0.5, 5.0};
    int seconds_ = 10;
};

const registration<leader_benchmark> registered;

} // namespace

} // namespace mjm::bench
