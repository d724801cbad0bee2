#include "config_effect.h"

namespace mjm {

namespace {

using nlohmann::json;

std::string text_of(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

void remove_key_contents(json& document)
{
    for (const char* const table : {"teams", "owners", "operators"}) {
        if (!document.contains(table))
            continue;
        for (json& holder : document.at(table)) {
            if (!holder.is_object() || !holder.contains("keys"))
                continue;
            for (json& key : holder.at("keys"))
                key = json::object();
        }
    }
}

void add_differences(const json& before, const json& after, const config_change& at,
                     std::vector<config_change>& out)
{
    if (before == after)
        return;
    if (before.is_object() && after.is_object()) {
        json names = before;
        names.update(after);
        for (const auto& [name, ignored] : names.items()) {
            config_change below = at;
            if (at.table.empty())
                below.table = name;
            else if (at.record.empty())
                below.record = name;
            else
                below.member += (at.member.empty() ? "" : "/") + name;
            add_differences(before.value(name, json{}), after.value(name, json{}), below, out);
        }
        return;
    }
    config_change change = at;
    change.before = before.is_null() ? "" : text_of(before);
    change.after = after.is_null() ? "" : text_of(after);
    out.push_back(std::move(change));
}

} // namespace

std::optional<std::vector<config_change>> config_effect(const json& document, const json& patch)
{
    json after;
    try {
        after = document.patch(patch);
        remove_key_contents(after);
    } catch (const json::exception&) {
        return std::nullopt;
    }
    std::vector<config_change> changes;
    add_differences(document, after, {}, changes);
    return changes;
}

} // namespace mjm
