#include "permits/permit_document.h"

#include "core/invariant.h"
#include "permits/permit_allocation.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mjm {

namespace {

nlohmann::json counts_to_json(const std::map<shard_id, std::int64_t>& counts)
{
    nlohmann::json out = nlohmann::json::object();
    for (const auto& [shard, count] : counts)
        out[to_string(shard)] = count;
    return out;
}

bool read_count(const nlohmann::json& value, std::int64_t& out)
{
    if (!value.is_number_integer() || value.get<std::int64_t>() < 0)
        return false;
    out = value.get<std::int64_t>();
    return true;
}

bool counts_from_json(const nlohmann::json& value, std::map<shard_id, std::int64_t>& out)
{
    if (!value.is_object())
        return false;
    for (const auto& [name, count] : value.items()) {
        const std::optional<shard_id> shard = parse_shard_id(name);
        if (!shard || !read_count(count, out[*shard]))
            return false;
    }
    return true;
}

bool grants_from_json(const nlohmann::json& value, std::map<shard_id, permit_grant>& out)
{
    if (!value.is_object())
        return false;
    for (const auto& [name, grant] : value.items()) {
        const std::optional<shard_id> shard = parse_shard_id(name);
        if (!shard || !grant.is_object() || !grant.contains("count") || !grant.contains("epoch") ||
            !grant["epoch"].is_number_unsigned() || !read_count(grant["count"], out[*shard].count))
            return false;
        out[*shard].epoch = grant["epoch"].get<shard_epoch>();
    }
    return true;
}

} // namespace

std::int64_t permit_document::granted() const
{
    std::int64_t sum = 0;
    for (const auto& [shard, grant] : grants)
        sum += grant.count;
    return sum;
}

std::int64_t permit_document::free() const
{
    return std::max<std::int64_t>(0, limit - granted());
}

std::int64_t permit_document::count_of(const shard_id& shard) const
{
    const auto it = grants.find(shard);
    return it == grants.end() ? 0 : it->second.count;
}

std::int64_t permit_document::usable_by(const shard_id& shard) const
{
    const auto it = caps.find(shard);
    return it == caps.end() ? count_of(shard) : std::min(count_of(shard), it->second);
}

void permit_document::set_count(const shard_id& shard, std::int64_t count)
{
    grants[shard].count = count;
    const auto it = caps.find(shard);
    if (it != caps.end() && count <= it->second)
        caps.erase(it);
}

void permit_document::set_limit(std::int64_t new_limit, std::uint64_t version)
{
    limit = new_limit;
    limit_version = version;
    if (granted() <= limit) {
        caps.clear();
        return;
    }
    // A cap never rises while the grants exceed the limit: a shard whose cap is lowered in exchange may not
    // have read its new cap yet. A raised limit is used through free permits once the grants are within it.
    std::map<shard_id, std::int64_t> usable;
    for (const auto& [shard, grant] : grants)
        usable[shard] = usable_by(shard);
    for (const auto& [shard, part] : divide_in_proportion(limit, usable)) {
        if (part < count_of(shard))
            caps[shard] = part;
    }
}

bool permit_document::check_limit(const team_id& team) const
{
    std::int64_t usable = 0;
    for (const auto& [shard, grant] : grants)
        usable += usable_by(shard);
    return check_invariant(usable <= limit, invariant::team_limit,
                           "team " + team.str() + ": " + std::to_string(usable) + " usable permits, limit " +
                               std::to_string(limit));
}

std::string permit_document::to_json() const
{
    nlohmann::json out;
    out["limit"] = limit;
    out["limit_version"] = limit_version;
    out["grants"] = nlohmann::json::object();
    for (const auto& [shard, grant] : grants)
        out["grants"][to_string(shard)] = {{"count", grant.count}, {"epoch", grant.epoch}};
    out["wanted"] = counts_to_json(wanted);
    out["caps"] = counts_to_json(caps);
    return out.dump();
}

std::optional<permit_document> permit_document::from_json(std::string_view text)
{
    const nlohmann::json in = nlohmann::json::parse(text, nullptr, false);
    if (!in.is_object())
        return std::nullopt;
    for (const char* name : {"limit", "limit_version", "grants", "wanted", "caps"}) {
        if (!in.contains(name))
            return std::nullopt;
    }
    permit_document out;
    if (!read_count(in["limit"], out.limit) || !in["limit_version"].is_number_unsigned() ||
        !grants_from_json(in["grants"], out.grants) || !counts_from_json(in["wanted"], out.wanted) ||
        !counts_from_json(in["caps"], out.caps))
        return std::nullopt;
    out.limit_version = in["limit_version"].get<std::uint64_t>();
    return out;
}

std::string permit_key(const team_id& team)
{
    return "permits/" + team.str();
}

} // namespace mjm
