#include "command_runner.h"

#include "answer_tables.h"
#include "change_calls.h"
#include "configuration/key_hash.h"
#include "core/identifiers.h"
#include "version_waiter.h"

#include <ostream>

namespace mjm {

namespace {

using nlohmann::json;

constexpr std::size_t identifier_bytes = 12;
constexpr std::size_t timeline_batch = 2000;
constexpr int indent = 2;

std::string text_of(const json& value)
{
    return value.dump(indent, ' ', false, json::error_handler_t::replace) + '\n';
}

admin_call read_call(const command& what)
{
    admin_call call;
    if (what.noun == "config" && what.verb == "show") {
        call.path = "/admin/v1/config";
    } else if (what.noun == "config" && what.verb == "history") {
        call.path = "/admin/v1/history";
        call.query["limit"] = std::to_string(what.entries);
    } else if (what.noun == "config") {
        call.path = "/admin/v1/proposals/" + what.id;
    } else if (what.noun == "pool") {
        call.path = "/admin/v1/pools";
    } else if (what.noun == "target") {
        call.path = "/admin/v1/targets";
        if (!what.pool.empty())
            call.query["pool"] = what.pool;
    } else {
        call.path = "/admin/v1/teams";
    }
    return call;
}

/// Names become segments of a path, so one with a slash would address something else.
std::optional<std::string> find_bad_name(const command& what)
{
    for (const std::string& name : {what.team, what.key_id, what.target, what.pool, what.id}) {
        if (!name.empty() && !is_valid_name(name))
            return name;
    }
    return std::nullopt;
}

json effect_to_json(const std::vector<config_change>& changes)
{
    json out = json::array();
    for (const config_change& change : changes)
        out.push_back({{"table", change.table},
                       {"record", change.record},
                       {"member", change.member},
                       {"before", change.before},
                       {"after", change.after}});
    return out;
}

} // namespace

ctl_exit command_runner::fail(ctl_exit code, const std::string& message)
{
    io_.messages << "mjmctl: " << message << '\n';
    return code;
}

ctl_exit command_runner::fail(const tl::expected<admin_answer, send_failure>& answer)
{
    return answer ? fail(exit_code_of(*answer), describe_error(*answer))
                  : fail(ctl_exit::failed, "no server answers");
}

ctl_exit command_runner::run(command what)
{
    if (const std::optional<std::string> bad = find_bad_name(what))
        return fail(ctl_exit::usage, *bad + ": not a valid name");
    if (what.dry_run && !proposes(what))
        return fail(ctl_exit::usage, "--dry-run applies to commands that propose a change");
    if (what.noun == "status")
        return status(what);
    if (what.noun == "timeline")
        return timeline();
    if (proposes(what) || takes_effect(what))
        return change_configuration(std::move(what));
    return read(what);
}

ctl_exit command_runner::read(const command& what)
{
    const tl::expected<admin_answer, send_failure> answer = session_.send(read_call(what));
    if (!answer || !answer->succeeded())
        return fail(answer);
    if (what.noun == "keys")
        return print_team_keys(what, *answer);
    return print_answer(what, *answer);
}

ctl_exit command_runner::print_answer(const command& what, const admin_answer& answer)
{
    if (what.json || what.verb == "show")
        io_.out << text_of(answer.body);
    else if (what.noun == "team")
        io_.out << format_teams(answer.body);
    else if (what.noun == "pool")
        io_.out << format_pools(answer.body);
    else if (what.noun == "target")
        io_.out << format_targets(answer.body);
    else if (what.verb == "history")
        io_.out << format_history(answer.body);
    else
        io_.out << answer.outcome << (answer.version == 0 ? "" : " version " + std::to_string(answer.version))
                << '\n';
    if (what.verb != "status" || !what.wait)
        return ctl_exit::done;
    version_waiter waiter{session_, time_, std::chrono::seconds{what.timeout_s},
                          [this](const std::string& line) { io_.messages << line << '\n'; }};
    return waiter.wait_for_proposal(what.id);
}

ctl_exit command_runner::print_team_keys(const command& what, const admin_answer& answer)
{
    const auto teams = answer.body.find("teams");
    if (teams != answer.body.end() && teams->is_array()) {
        for (const json& team : *teams) {
            if (team.value("id", "") != what.team)
                continue;
            io_.out << (what.json ? text_of(team.value("keys", json::array())) : format_keys(team));
            return ctl_exit::done;
        }
    }
    return fail(ctl_exit::refused, "unknown_record: no team " + what.team);
}

ctl_exit command_runner::make_identifiers(command& what, granted_key& key)
{
    const auto fill = [](std::string& name, const std::string& prefix) {
        if (!name.empty())
            return true;
        const std::optional<std::string> random = secure_random_hex(identifier_bytes);
        name = prefix + random.value_or("");
        return random.has_value();
    };
    bool filled = fill(what.id, "p-");
    if (what.noun == "keys" && what.verb == "grant") {
        const std::optional<granted_key> made = make_key();
        filled = fill(what.key_id, "k-") && made && filled;
        key = made.value_or(granted_key{});
    }
    if (!filled)
        return fail(ctl_exit::failed, "the system's random source fails");
    if (!proposes(what) || what.base)
        return ctl_exit::done;
    admin_call call;
    call.path = "/admin/v1/config";
    const tl::expected<admin_answer, send_failure> config = session_.send(call);
    if (!config || !config->succeeded())
        return fail(config);
    what.base = config->body.value("version", std::uint64_t{0});
    return ctl_exit::done;
}

ctl_exit command_runner::change_configuration(command what)
{
    json input;
    if (!what.file.empty()) {
        const std::optional<std::string> text = io_.read_file(what.file);
        if (!text)
            return fail(ctl_exit::usage, what.file + ": cannot be read");
        input = json::parse(*text, nullptr, false);
        if (input.is_discarded())
            return fail(ctl_exit::usage, what.file + ": not JSON");
        if (what.verb == "bootstrap" ? !input.is_object() : !input.is_array())
            return fail(ctl_exit::usage, what.file + (what.verb == "bootstrap" ? ": not a JSON object"
                                                                               : ": not a JSON patch"));
    }
    if (takes_effect(what) && !what.yes && !io_.confirm(what.verb + " " + what.id + what.file + "?"))
        return fail(ctl_exit::usage, "not confirmed; --yes goes on without asking");
    granted_key key;
    if (const ctl_exit code = make_identifiers(what, key); code != ctl_exit::done)
        return code;
    const change c = make_change(what, input, key);
    return what.dry_run || what.verb == "plan" ? plan(what, c) : submit(what, c, key);
}

ctl_exit command_runner::plan(const command& what, const change& c)
{
    admin_call call = c.call;
    call.query["dry_run"] = "true";
    const tl::expected<admin_answer, send_failure> answer = session_.send(call);
    if (!answer || !answer->succeeded())
        return fail(answer);
    admin_call show;
    show.path = "/admin/v1/config";
    const tl::expected<admin_answer, send_failure> config = session_.send(show);
    if (!config || !config->succeeded())
        return fail(config);
    std::optional<std::vector<config_change>> effect;
    if (config->body.value("version", std::uint64_t{0}) == what.base)
        effect = config_effect(config->body, answer->body.value("patch", json::array()));
    json result = answer->body;
    result["effect"] = effect ? effect_to_json(*effect) : json{};
    if (what.json)
        io_.out << text_of(result);
    else if (effect)
        io_.out << "valid, would be version " << result.value("would_be_version", std::uint64_t{0}) << "\n\n"
                << format_effect(*effect);
    else
        io_.out << "valid; the effect cannot be shown against the version in force here\n";
    return ctl_exit::done;
}

ctl_exit command_runner::submit(const command& what, const change& c, const granted_key& key)
{
    const duration limit = std::chrono::seconds{what.timeout_s};
    io_.messages << "proposal " << c.id << '\n';
    const change_outcome outcome = change_submitter{session_, time_, limit}.submit(c);
    json result{{"proposal", c.id}, {"outcome", outcome.answer.outcome}};
    if (outcome.answer.outcome == "accepted")
        result["version"] = outcome.answer.version;
    const bool granted =
        !key.key.empty() && (outcome.code == ctl_exit::done || outcome.code == ctl_exit::outcome_unknown);
    if (granted) {
        result["key_id"] = what.key_id;
        result["key"] = key.key;
    }
    if (outcome.code == ctl_exit::outcome_unknown)
        result["outcome"] = "unknown";
    if (outcome.code == ctl_exit::done || granted) {
        if (what.json) {
            io_.out << text_of(result);
        } else {
            for (const auto& [name, value] : result.items())
                io_.out << name << ' ' << (value.is_string() ? value.get<std::string>() : value.dump())
                        << '\n';
        }
        io_.out.flush();
    }
    if (outcome.code == ctl_exit::outcome_unknown)
        return fail(outcome.code, "the outcome is not known; ask again with: config status " + c.id);
    if (outcome.code != ctl_exit::done)
        return fail(outcome.code, outcome.answer.status == 0   ? "no server answers"
                                  : outcome.answer.succeeded() ? "proposal is " + outcome.answer.outcome
                                                               : describe_error(outcome.answer));
    if (!what.wait || c.kind == change_kind::reject)
        return ctl_exit::done;
    version_waiter waiter{session_, time_, limit,
                          [this](const std::string& line) { io_.messages << line << '\n'; }};
    const ctl_exit waited = outcome.answer.outcome == "accepted"
                                ? waiter.wait_for_version(outcome.answer.version)
                                : waiter.wait_for_proposal(c.id);
    return waited == ctl_exit::timed_out ? fail(waited, "not in force everywhere within --timeout") : waited;
}

ctl_exit command_runner::status(const command& what)
{
    json answers = json::array();
    std::size_t answered = 0;
    admin_client& client = session_.client();
    for (std::size_t i = 0; i < client.server_count(); ++i) {
        admin_call call;
        call.path = "/status";
        const tl::expected<admin_answer, send_failure> answer = client.send(i, call);
        json entry = answer ? answer->body : json::object();
        if (answer && answer->succeeded())
            ++answered;
        else
            entry = {{"error", answer ? describe_error(*answer) : "no answer"}};
        entry["server"] = client.server_name(i);
        answers.push_back(std::move(entry));
    }
    io_.out << (what.json ? text_of(answers) : format_status(answers));
    return answered == client.server_count() ? ctl_exit::done : ctl_exit::failed;
}

ctl_exit command_runner::timeline()
{
    ctl_exit code = ctl_exit::done;
    for (std::size_t i = 0; i < session_.client().server_count(); ++i) {
        if (!print_timeline(i))
            code = fail(ctl_exit::failed, session_.client().server_name(i) + ": time line not available");
    }
    return code;
}

bool command_runner::print_timeline(std::size_t server)
{
    admin_call call;
    call.path = "/timeline";
    call.query["max"] = std::to_string(timeline_batch);
    while (true) {
        const tl::expected<admin_answer, send_failure> answer = session_.client().send(server, call);
        if (!answer || !answer->succeeded())
            return false;
        const json events = answer->body.value("events", json::array());
        for (const json& event : events)
            io_.out << event.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
        if (const std::uint64_t missed = answer->body.value("missed", std::uint64_t{0}); missed > 0)
            io_.messages << session_.client().server_name(server) << ": " << missed
                         << " events no longer held\n";
        if (events.size() < timeline_batch)
            return true;
        call.query["since"] = std::to_string(answer->body.value("next", std::uint64_t{0}));
    }
}

} // namespace mjm
