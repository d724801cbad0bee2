#include "load_config.h"

#include "blocking_http.h"
#include "configuration/config_codec.h"
#include "configuration/config_head.h"
#include "configuration/config_validator.h"
#include "configuration/key_hash.h"
#include "core/executor.h"
#include "kernel/program_options.h"
#include "platform/http_kv_store.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <future>
#include <iostream>

namespace mjm {

namespace {

constexpr std::size_t targets_per_rack = 4;
constexpr std::size_t salt_digits = 32;
constexpr std::size_t secret_digits = 64;
constexpr const char* month = "2026-12";

/// The callbacks only fulfil a promise, so that they can run on the network thread.
class direct_executor final : public executor {
public:
    void post(std::function<void()> work) override { work(); }
};

key_record make_key(const std::string& key)
{
    const std::string salt(salt_digits, 'a');
    return key_record{key_id{"k1"}, salt, hash_key(salt, key).value_or("")};
}

fleet_config make_config(const load_config_settings& settings, const fleet_plan& plan)
{
    const owner_id owner{"owner1"};
    fleet_config config;
    config.version = 1;
    config.authority_month = month;
    config.calendar[month] = owner;
    config.authority = owner;
    config.ticket_secret = std::string(secret_digits, 'b');
    config.owners[owner] = owner_record{owner, {make_key("key-owner1")}};
    config.operators[operator_id{"operator1"}] =
        operator_record{operator_id{"operator1"}, {make_key("key-operator1")}};
    for (const plan_team& team : plan.teams)
        config.teams[team.id] = team_record{team.id, owner, team.share, team.limit, {make_key(team.key)}};
    for (const service_id& service : plan.services) {
        const pool_id pool{service.str()};
        config.services[service] = service_record{service, pool, false};
        config.pools[pool] = pool_record{pool, 1, false};
    }
    std::size_t index = 0;
    for (const plan_target& target : plan.targets) {
        target_record record;
        record.endpoint = target.endpoint;
        record.zone = target.zone;
        record.rack = rack_id{target.zone.str() + "-r" + std::to_string(index++ / targets_per_rack)};
        record.pool = pool_id{target.service.str()};
        record.capacity = resources{64'000, 262'144, 0, settings.slots};
        record.assignment = 1;
        config.targets[target.endpoint.id] = record;
    }
    return config;
}

bool put(kv_store& store, const std::string& key, const std::string& value)
{
    using result = tl::expected<store_revision, store_errc>;
    const std::shared_ptr<std::promise<result>> answer = std::make_shared<std::promise<result>>();
    std::future<result> waiting = answer->get_future();
    store.put(kv_write{key, value, store_revision{0}, 0},
              [answer](const result& r) { answer->set_value(r); });
    const result written = waiting.get();
    if (!written)
        std::cerr << "write of " << key << " failed: " << name_of(written.error()) << '\n';
    return written.has_value();
}

} // namespace

fleet_plan make_plan(const load_config_settings& settings)
{
    fleet_plan plan;
    plan.teams = settings.teams;
    for (const std::string& service : settings.services)
        plan.services.emplace_back(service);
    std::size_t index = 0;
    for (std::size_t z = 1; z <= settings.zones; ++z) {
        for (const service_id& service : plan.services) {
            for (std::size_t n = 0; n < settings.targets_per_shard; ++n, ++index)
                plan.targets.push_back(plan_target{{target_id{settings.id_prefix + std::to_string(index)},
                                                    settings.target_address,
                                                    static_cast<std::uint16_t>(settings.first_port + index)},
                                                   zone_id{"z" + std::to_string(z)},
                                                   service});
        }
    }
    return plan;
}

int write_first_config(const load_config_settings& settings)
{
    const fleet_plan plan = make_plan(settings);
    const fleet_config config = make_config(settings, plan);
    const std::vector<config_error> errors = validate_config(config);
    for (const config_error& it : errors)
        std::cerr << it.pointer << ": " << it.detail << '\n';
    if (!errors.empty())
        return exit_settings_error;

    direct_executor replies;
    blocking_http http;
    http_kv_store store{http.client(), replies, platform_endpoint{settings.store, "mjm_load"}};
    config_head head;
    head.version = config.version;
    head.snapshot_version = config.version;
    // The head is written last: it is the commit point, and names the snapshot.
    if (!put(store, config_snapshot_key(config.version), encode_config(config)) ||
        !put(store, std::string{config_head_key}, encode_head(head)))
        return exit_runtime_failure;

    nlohmann::json hosts = nlohmann::json::array();
    for (const plan_target& target : plan.targets)
        hosts.push_back({{"id", target.endpoint.id.str()}, {"state", "live"}});
    const tl::expected<http_response, http_errc> listed =
        http.call(settings.platform_admin, "PUT", "/admin/hosts", nlohmann::json{{"hosts", hosts}}.dump());
    if (!listed || listed->status != 200) {
        std::cerr << "the host list was not accepted\n";
        return exit_runtime_failure;
    }
    if (!settings.plan_file.empty() && !(std::ofstream{settings.plan_file} << encode_plan(plan)).flush()) {
        std::cerr << settings.plan_file << ": cannot be written\n";
        return exit_runtime_failure;
    }
    std::cout << "configuration 1: " << plan.services.size() << " services, " << plan.teams.size()
              << " teams, " << plan.targets.size() << " targets in " << settings.zones << " zones\n";
    return exit_success;
}

} // namespace mjm
