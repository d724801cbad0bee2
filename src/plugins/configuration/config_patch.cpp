#include "configuration/config_patch.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace mjm {

namespace {

using json = nlohmann::json;

tl::unexpected<config_error> failure(config_rule rule, const std::string& pointer, const std::string& detail)
{
    return tl::unexpected{config_error{rule, pointer, detail}};
}

tl::expected<void, config_error> check_operation(const json& operation, const std::string& at)
{
    constexpr std::array<std::string_view, 6> names{"add", "remove", "replace", "move", "copy", "test"};
    if (!operation.is_object())
        return failure(config_rule::patch_syntax, at, "an operation must be an object");
    for (const char* const member : {"op", "path"}) {
        if (!operation.contains(member) || !operation.at(member).is_string())
            return failure(config_rule::patch_syntax, at + "/" + member, "required member must be a string");
    }
    const std::string op = operation.at("op").get<std::string>();
    if (std::find(names.begin(), names.end(), op) == names.end())
        return failure(config_rule::patch_syntax, at + "/op",
                       "must be add, remove, replace, move, copy or test");
    const bool needs_value = op == "add" || op == "replace" || op == "test";
    if (needs_value && !operation.contains("value"))
        return failure(config_rule::patch_syntax, at + "/value", "required by " + op);
    const bool needs_from = op == "move" || op == "copy";
    if (needs_from && (!operation.contains("from") || !operation.at("from").is_string()))
        return failure(config_rule::patch_syntax, at + "/from", "required by " + op + ", a string");
    return {};
}

/// Returns the value at `pointer`, or null if there is none.
json value_at(const json& document, const json::json_pointer& pointer)
{
    return document.contains(pointer) ? document.at(pointer) : json{};
}

/// Sets the members of `after` that the system maintains.
void set_system_members(const json& before, json& after, std::uint64_t next_version)
{
    if (!after.is_object())
        return; // The codec reports the wrong type.
    after["version"] = next_version;
    // A patch that adds a key needs an existing `keys` object.
    for (const char* const holders : {"teams", "owners", "operators"}) {
        const auto table = after.find(holders);
        if (table == after.end() || !table->is_object())
            continue;
        for (json& record : *table) {
            if (record.is_object() && !record.contains("keys"))
                record["keys"] = json::object();
        }
    }
    const auto targets = after.find("targets");
    if (targets == after.end() || !targets->is_object())
        return;
    for (const auto& [name, target] : targets->items()) {
        if (!target.is_object())
            continue;
        const json old = value_at(before, json::json_pointer{} / "targets" / name);
        const bool same_pool = old.is_object() && old.contains("assignment") && old.contains("pool") &&
                               target.contains("pool") && old.at("pool") == target.at("pool");
        target["assignment"] = same_pool ? old.at("assignment") : json(next_version);
    }
}

} // namespace

tl::expected<void, config_error> check_patch_syntax(std::string_view patch)
{
    const json operations = json::parse(patch, nullptr, false);
    if (!operations.is_array())
        return failure(config_rule::patch_syntax, "", "a patch must be a JSON array of operations");
    if (operations.empty())
        return failure(config_rule::patch_syntax, "", "a patch must contain an operation");
    for (std::size_t i = 0; i < operations.size(); ++i) {
        tl::expected<void, config_error> checked = check_operation(operations[i], "/" + std::to_string(i));
        if (!checked)
            return checked;
    }
    return {};
}

tl::expected<std::string, config_error> apply_patch(std::string_view document, std::string_view patch,
                                                    std::uint64_t next_version)
{
    const tl::expected<void, config_error> checked = check_patch_syntax(patch);
    if (!checked)
        return tl::unexpected{checked.error()};
    const json before = document.empty() ? json{} : json::parse(document, nullptr, false);
    if (before.is_discarded())
        return failure(config_rule::syntax, "", "the document is not valid JSON");
    json after = before;
    // Operations are applied one by one so that an error can name its operation.
    const json operations = json::parse(patch);
    for (std::size_t i = 0; i < operations.size(); ++i) {
        const std::string at = "/" + std::to_string(i);
        try {
            after = after.patch(json::array({operations[i]}));
        } catch (const json::exception& e) {
            const bool is_test = operations[i].at("op") == "test";
            return failure(is_test ? config_rule::patch_test : config_rule::patch_path, at + "/path",
                           operations[i].at("path").get<std::string>() + ": " + e.what());
        }
    }
    const bool new_document = document.empty();
    for (const char* const member : {"version", "ticket_secret"}) {
        const json::json_pointer pointer = json::json_pointer{} / member;
        if (!new_document && value_at(before, pointer) != value_at(after, pointer))
            return failure(config_rule::read_only, pointer.to_string(), "set by the system only");
    }
    set_system_members(before, after, next_version);
    return after.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace mjm
