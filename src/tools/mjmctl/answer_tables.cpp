#include "answer_tables.h"

#include "text_table.h"

namespace mjm {

namespace {

using nlohmann::json;

const json empty_list = json::array();

std::string text_of(const json& value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_array())
        return value.dump(-1, ' ', false, json::error_handler_t::replace);
    std::string out;
    for (const json& item : value)
        out += (out.empty() ? "" : ",") + text_of(item);
    return out;
}

std::string cell(const json& object, const char* name)
{
    const auto it = object.find(name);
    return it == object.end() ? "" : text_of(*it);
}

const json& list(const json& object, const char* name)
{
    const auto it = object.find(name);
    return it != object.end() && it->is_array() ? *it : empty_list;
}

std::string format_list(const json& answer, const char* name, const std::vector<std::string>& members)
{
    text_table table{members};
    for (const json& item : list(answer, name)) {
        std::vector<std::string> cells;
        cells.reserve(members.size());
        for (const std::string& member : members)
            cells.push_back(cell(item, member.c_str()));
        table.add_row(std::move(cells));
    }
    return table.text();
}

} // namespace

std::string format_teams(const json& answer)
{
    return format_list(answer, "teams", {"id", "owner", "share", "limit", "keys"});
}

std::string format_pools(const json& answer)
{
    return format_list(answer, "pools", {"id", "targets", "cordoned", "min_available", "spare", "services"});
}

std::string format_targets(const json& answer)
{
    return format_list(answer, "targets",
                       {"id", "address", "port", "zone", "rack", "pool", "slots", "cordoned", "assignment"});
}

std::string format_history(const json& answer)
{
    return format_list(answer, "history",
                       {"version", "decision", "proposal", "proposed_by", "decided_by", "comment"});
}

std::string format_keys(const json& team)
{
    text_table table{{"key"}};
    for (const json& key : list(team, "keys"))
        table.add_row({text_of(key)});
    return table.text();
}

std::string format_effect(const std::vector<config_change>& changes)
{
    text_table table{{"table", "record", "member", "before", "after"}};
    for (const config_change& change : changes)
        table.add_row({change.table, change.record, change.member, change.before, change.after});
    return table.text();
}

std::string format_status(const json& answers)
{
    text_table hosts{{"server", "host", "zone", "version", "keys", "store", "outstanding", "error"}};
    text_table shards{{"host", "shard", "epoch", "queued", "running", "free_slots"}};
    for (const json& answer : answers) {
        hosts.add_row({cell(answer, "server"), cell(answer, "host"), cell(answer, "zone"),
                       cell(answer, "config_version"), cell(answer, "key_policy"),
                       cell(answer, "store_reachable"), cell(answer, "outstanding"), cell(answer, "error")});
        for (const json& shard : list(answer, "shards"))
            shards.add_row({cell(answer, "host"), cell(shard, "shard"), cell(shard, "epoch"),
                            cell(shard, "queued"), cell(shard, "running"), cell(shard, "free_slots")});
    }
    return hosts.text() + '\n' + shards.text();
}

std::string describe_progress(const json& answer)
{
    std::string line = "reached " + std::to_string(list(answer, "reached").size()) + " hosts";
    if (!list(answer, "silent").empty())
        line += ", silent: " + text_of(list(answer, "silent"));
    return line + ", in force everywhere: " + cell(answer, "in_force_everywhere");
}

} // namespace mjm
