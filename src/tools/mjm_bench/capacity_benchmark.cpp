#include "benchmark.h"
#include "measured_fleet.h"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <iomanip>

namespace mjm::bench {

namespace {

struct sized_case {
    std::string name;
    fleet_size size;
};

nlohmann::json to_json(const sized_case& which, const node_cost& cost)
{
    return {{"case", which.name},
            {"hosts", which.size.zones * which.size.hosts_per_zone},
            {"shards", which.size.zones * which.size.services},
            {"targets", which.size.zones * which.size.services * which.size.targets_per_shard},
            {"teams", which.size.teams},
            {"requests_per_s", which.size.requests_per_s},
            {"cpu_percent", cost.cpu_percent},
            {"heap_kib", cost.heap_kib},
            {"store_reads_per_s", cost.store_reads_per_s},
            {"store_writes_per_s", cost.store_writes_per_s},
            {"store_lease_calls_per_s", cost.store_lease_calls_per_s},
            {"target_control_calls_per_s", cost.target_control_calls_per_s},
            {"peer_bytes_per_s", cost.peer_bytes_per_s},
            {"config_bytes", cost.config_bytes}};
}

/// The base case and one case for each dimension, from which the slopes follow.
std::vector<sized_case> slope_cases()
{
    constexpr double low_rate = 10.0;
    constexpr double high_rate = 40.0;
    const fleet_size base;
    std::vector<sized_case> cases{{"base", base}};
    const auto add = [&](const char* name, auto change) {
        sized_case it{name, base};
        change(it.size);
        cases.push_back(it);
    };
    add("hosts x3", [](fleet_size& it) { it.hosts_per_zone = 6; });
    add("services x4", [](fleet_size& it) { it.services = 20; });
    add("targets x4", [](fleet_size& it) { it.targets_per_shard = 12; });
    add("teams 52", [](fleet_size& it) { it.teams = 52; });
    add("10 requests/s", [&](fleet_size& it) { it.requests_per_s = low_rate; });
    add("40 requests/s", [&](fleet_size& it) { it.requests_per_s = high_rate; });
    add("40 requests/s, teams 52", [&](fleet_size& it) {
        it.requests_per_s = high_rate;
        it.teams = 52;
    });
    return cases;
}

/// About one availability zone's density of the target: 8 hosts and 76 targets a zone, 1.4 targets a pool.
sized_case target_case()
{
    sized_case it{"target, 7 zones", {}};
    it.size.zones = 7;
    it.size.hosts_per_zone = 8;
    it.size.services = 54;
    it.size.targets_per_shard = 1;
    it.size.teams = 52;
    it.size.requests_per_s = 1.0;
    return it;
}

} // namespace

/// Cost of one entry host against the size of the fleet, for docs/CAPACITY.md.
class capacity_benchmark final : public benchmark {
public:
    [[nodiscard]] std::string name() const override { return "capacity"; }
    [[nodiscard]] std::string description() const override
    {
        return "cost of an entry host against the size of the fleet, in virtual time over fakes";
    }
    void add_options(CLI::App& app) override
    {
        app.add_option("--seconds", seconds_, "Measured virtual time")->check(CLI::Range(5, 600));
        app.add_flag("--target", target_, "Also the target's size, which takes minutes");
    }
    [[nodiscard]] nlohmann::json run() override
    {
        std::vector<sized_case> cases = slope_cases();
        if (target_)
            cases.push_back(target_case());
        nlohmann::json rows = nlohmann::json::array();
        for (const sized_case& it : cases) {
            measured_fleet fleet{it.size};
            rows.push_back(to_json(it, fleet.run(std::chrono::seconds{10}, std::chrono::seconds{seconds_})));
        }
        return rows;
    }
    void print(const nlohmann::json& result, std::ostream& out) const override
    {
        constexpr int name_width = 26;
        constexpr int width = 10;
        out << "per entry host; store calls and bytes per second\n"
            << std::left << std::setw(name_width) << "case" << std::right;
        for (const char* column : {"hosts", "shards", "targets", "teams", "req/s", "cpu %", "heap KiB",
                                   "reads", "writes", "leases", "targets/s", "peer B/s", "config B"})
            out << std::setw(width) << column;
        out << '\n' << std::fixed << std::setprecision(2);
        for (const nlohmann::json& row : result) {
            out << std::left << std::setw(name_width) << row["case"].get<std::string>() << std::right;
            for (const char* column :
                 {"hosts", "shards", "targets", "teams", "requests_per_s", "cpu_percent", "heap_kib",
                  "store_reads_per_s", "store_writes_per_s", "store_lease_calls_per_s",
                  "target_control_calls_per_s", "peer_bytes_per_s", "config_bytes"})
                out << std::setw(width) << row[column].get<double>();
            out << '\n';
        }
    }

private:
    int seconds_ = 30;
    bool target_ = false;
};

static const registration<capacity_benchmark> registered;

} // namespace mjm::bench
