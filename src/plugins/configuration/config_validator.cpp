#include "configuration/config_validator.h"

#include "configuration/config_codec.h"
#include "configuration/key_hash.h"

#include <arpa/inet.h>

#include <array>
#include <cmath>
#include <utility>

namespace mjm {

namespace {

constexpr std::size_t max_errors = 50;
constexpr double max_share = 1e6;
constexpr std::int64_t max_limit = 1'000'000;
constexpr std::int64_t max_slots = 1024;
constexpr std::int64_t max_connections = 65'536;
constexpr std::int64_t max_capacity = std::int64_t{1} << 40;
constexpr std::size_t min_salt_digits = 32;
constexpr std::size_t hash_digits = 64;
constexpr std::size_t min_secret_digits = 64;

/// Collects the errors of one document. Identifiers are valid names, so pointers need no escaping.
class config_checker {
public:
    explicit config_checker(const fleet_config& config) : config_{config} {}

    std::vector<config_error> run()
    {
        check_authority();
        check_weights();
        for (const auto& [id, owner] : config_.owners)
            check_keys("/owners/" + id.str(), owner.keys);
        for (const auto& [id, record] : config_.operators)
            check_keys("/operators/" + id.str(), record.keys);
        check_teams();
        check_services();
        check_targets();
        check_pools();
        return std::move(errors_);
    }

private:
    void add(config_rule rule, std::string pointer, std::string detail)
    {
        if (errors_.size() < max_errors)
            errors_.push_back(config_error{rule, std::move(pointer), std::move(detail)});
    }
    void check_range(std::int64_t value, std::int64_t low, std::int64_t high, const std::string& pointer)
    {
        if (value < low || value > high)
            add(config_rule::range, pointer,
                "found " + std::to_string(value) + ", allowed " + std::to_string(low) + " to " +
                    std::to_string(high));
    }

    void check_authority()
    {
        if (config_.ticket_secret.size() < min_secret_digits || !is_hex(config_.ticket_secret))
            add(config_rule::key, "/ticket_secret", "must be at least 64 hexadecimal digits");
        for (const auto& [month, owner] : config_.calendar) {
            if (!is_month(month))
                add(config_rule::month, "/calendar", "\"" + month + "\" is not a month YYYY-MM");
            else if (!config_.owners.contains(owner))
                add(config_rule::reference, "/calendar/" + month, "no owner " + owner.str());
        }
        const auto authority = config_.owners.find(config_.authority);
        if (authority != config_.owners.end() && authority->second.keys.empty())
            add(config_rule::key, "/owners/" + config_.authority.str() + "/keys",
                "the owner that holds the authority needs a key, otherwise no change could be accepted");
    }

    void check_weights()
    {
        const std::array<std::pair<const char*, double>, 4> weights{
            {{"buffer_cost", config_.weights.buffer_cost},
             {"rollout_time", config_.weights.rollout_time},
             {"moves", config_.weights.moves},
             {"share_adherence", config_.weights.share_adherence}}};
        for (const auto& [name, value] : weights) {
            if (!std::isfinite(value) || value < 0 || value > max_share)
                add(config_rule::range, std::string{"/weights/"} + name, "must be 0 to 1000000");
        }
    }

    void check_keys(const std::string& holder, const std::vector<key_record>& keys)
    {
        for (const key_record& key : keys) {
            const std::string pointer = holder + "/keys/" + key.id.str();
            if (key.salt.size() < min_salt_digits || !is_hex(key.salt))
                add(config_rule::key, pointer + "/salt", "must be at least 32 hexadecimal digits");
            if (key.hash.size() != hash_digits || !is_hex(key.hash))
                add(config_rule::key, pointer + "/hash", "must be 64 hexadecimal digits");
            const auto [it, inserted] = pointers_by_hash_.emplace(key.salt + key.hash, pointer);
            if (!inserted)
                add(config_rule::key, pointer, "duplicates the key at " + it->second);
        }
    }

    void check_teams()
    {
        for (const auto& [id, team] : config_.teams) {
            const std::string pointer = "/teams/" + id.str();
            if (!config_.owners.contains(team.owner))
                add(config_rule::reference, pointer + "/owner", "no owner " + team.owner.str());
            if (!std::isfinite(team.share) || team.share <= 0 || team.share > max_share)
                add(config_rule::range, pointer + "/share", "must be above 0 and at most 1000000");
            check_range(team.limit, 0, max_limit, pointer + "/limit");
            check_keys(pointer, team.keys);
        }
    }

    void check_services()
    {
        std::map<pool_id, service_id> served;
        for (const auto& [id, service] : config_.services) {
            const std::string pointer = "/services/" + id.str() + "/pool";
            if (!config_.pools.contains(service.pool))
                add(config_rule::reference, pointer, "no pool " + service.pool.str());
            // A shard is the pool of one service in a zone: two services with one pool would fence each
            // other's targets.
            const auto [it, inserted] = served.emplace(service.pool, id);
            if (!inserted)
                add(config_rule::one_service, pointer, "pool already serves " + it->second.str());
        }
    }

    void check_targets()
    {
        std::map<std::pair<std::string, std::uint16_t>, target_id> addresses;
        for (const auto& [id, target] : config_.targets) {
            const std::string pointer = "/targets/" + id.str();
            if (!config_.pools.contains(target.pool))
                add(config_rule::reference, pointer + "/pool", "no pool " + target.pool.str());
            else if (!target.cordoned)
                ++available_[target.pool];
            if (!is_valid_name(target.zone.str()))
                add(config_rule::name, pointer + "/zone", "not a valid identifier");
            if (!is_valid_name(target.rack.str()))
                add(config_rule::name, pointer + "/rack", "not a valid identifier");
            std::array<unsigned char, sizeof(in6_addr)> address{};
            const char* const text = target.endpoint.address.c_str();
            if (inet_pton(AF_INET, text, address.data()) != 1 &&
                inet_pton(AF_INET6, text, address.data()) != 1)
                add(config_rule::range, pointer + "/address", "not an IP address");
            const auto [it, inserted] =
                addresses.emplace(std::pair{target.endpoint.address, target.endpoint.port}, id);
            if (!inserted)
                add(config_rule::duplicate_host, pointer + "/address",
                    "same address and port as target " + it->second.str());
            check_range(target.capacity.milli_cpu, 1, max_capacity, pointer + "/capacity/milli_cpu");
            check_range(target.capacity.memory_mib, 1, max_capacity, pointer + "/capacity/memory_mib");
            check_range(target.capacity.accelerators, 0, max_slots, pointer + "/capacity/accelerators");
            check_range(target.capacity.slots, 1, max_slots, pointer + "/capacity/slots");
            check_range(target.connections, 1, max_connections, pointer + "/connections");
        }
    }

    void check_pools()
    {
        for (const auto& [id, pool] : config_.pools) {
            const std::string pointer = "/pools/" + id.str() + "/min_available";
            check_range(pool.min_available, 0, max_limit, pointer);
            const std::int64_t available = available_[id];
            if (pool.min_available > available)
                add(config_rule::budget, pointer,
                    "requires " + std::to_string(pool.min_available) + " hosts, " +
                        std::to_string(available) + " are in the pool and not cordoned");
        }
    }

    const fleet_config& config_;
    std::map<std::string, std::string> pointers_by_hash_;
    std::map<pool_id, std::int64_t> available_;
    std::vector<config_error> errors_;
};

} // namespace

bool is_month(std::string_view text)
{
    constexpr std::string_view digits = "0123456789";
    if (text.size() != 7 || text[4] != '-' || text.substr(0, 4).find_first_not_of(digits) != text.npos ||
        text.substr(5).find_first_not_of(digits) != text.npos)
        return false;
    const std::string_view month = text.substr(5);
    return month >= "01" && month <= "12";
}

std::vector<config_error> validate_config(const fleet_config& config)
{
    return config_checker{config}.run();
}

tl::expected<fleet_config, std::vector<config_error>> check_document(std::string_view text,
                                                                     const fleet_config* before)
{
    if (text.size() > max_document_size)
        return tl::unexpected{
            std::vector<config_error>{{config_rule::size, "",
                                       "found " + std::to_string(text.size()) + " bytes, allowed " +
                                           std::to_string(max_document_size)}}};
    tl::expected<fleet_config, config_error> config = decode_config(text);
    if (!config)
        return tl::unexpected{std::vector<config_error>{config.error()}};
    std::vector<config_error> errors = validate_config(*config);
    if (before != nullptr && config->authority_month < before->authority_month)
        errors.push_back({config_rule::month, "/authority_month",
                          "earlier than the month in force, " + before->authority_month});
    if (!errors.empty())
        return tl::unexpected{std::move(errors)};
    return std::move(*config);
}

} // namespace mjm
