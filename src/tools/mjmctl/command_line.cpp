#include "command_line.h"

#include "ctl_exit.h"

#include <CLI/CLI.hpp>

namespace mjm {

namespace {

constexpr const char* exit_code_help =
    "Exit codes: 0 done; 1 runtime failure; 2 usage or settings; 3 refused, "
    "nothing applied;\n4 not in force everywhere in time; 5 outcome not known.";

/// Adds nouns and verbs that write into one `command`.
class command_tree {
public:
    command_tree(CLI::App& app, command& out) : app_{app}, out_{out} {}

    void add_all()
    {
        add_config();
        add_keys();
        add_teams();
        add_targets();
        CLI::App& pool = noun("pool", "Pools of targets");
        verb(pool, "list", "List pools");
        simple("status", "State of every server: host, zone, version, key policy, shards");
        simple("timeline", "Fetch the time lines of all servers as JSON lines");
    }

private:
    CLI::App& noun(const std::string& name, const std::string& description)
    {
        CLI::App* const sub = app_.add_subcommand(name, description);
        sub->require_subcommand(1);
        return *sub;
    }
    CLI::App& verb(CLI::App& parent, const std::string& name, const std::string& description)
    {
        CLI::App* const sub = parent.add_subcommand(name, description);
        sub->callback([this, noun_name = parent.get_name(), name] {
            out_.noun = noun_name;
            out_.verb = name;
        });
        return *sub;
    }
    void simple(const std::string& name, const std::string& description)
    {
        app_.add_subcommand(name, description)->callback([this, name] { out_.noun = name; });
    }
    void change_options(CLI::App& sub)
    {
        sub.add_option("--base", out_.base, "Version that the change follows; default: the one in force");
        sub.add_option("--id", out_.id, "Identifier of the proposal, to repeat one; default: a random one");
    }

    void add_config()
    {
        CLI::App& config = noun("config", "Configuration and proposals");
        verb(config, "show", "Print the version in force");
        verb(config, "history", "List decisions, newest first")
            .add_option("--entries", out_.entries, "Number of decisions")
            ->check(CLI::Range(0, 1000))
            ->capture_default_str();
        CLI::App& propose = verb(config, "propose", "Propose an RFC 6902 JSON patch");
        propose.add_option("FILE", out_.file, "Patch; - for standard input")->required();
        propose.add_option("--comment", out_.comment, "Reason, kept in the history");
        change_options(propose);
        CLI::App& plan = verb(config, "plan", "Check a patch and show its effect; stores nothing");
        plan.add_option("FILE", out_.file, "Patch; - for standard input")->required();
        plan.add_option("--base", out_.base, "Version that the change follows; default: the one in force");
        CLI::App& accept = verb(config, "accept", "Accept a proposal, as the authority");
        accept.add_option("ID", out_.id, "Proposal")->required();
        accept.add_option("--on-version", out_.on_version, "Reviewed version; default: the proposal's base");
        CLI::App& reject = verb(config, "reject", "Reject a proposal, as the authority");
        reject.add_option("ID", out_.id, "Proposal")->required();
        reject.add_option("--comment", out_.comment, "Reason, kept in the history");
        verb(config, "status", "Tell what became of a proposal")
            .add_option("ID", out_.id, "Proposal")
            ->required();
        CLI::App& bootstrap =
            verb(config, "bootstrap", "Create the first configuration; the key is the bootstrap token");
        bootstrap.add_option("FILE", out_.file, "Document; - for standard input")->required();
        bootstrap.add_option("--id", out_.id, "Identifier, to repeat a call; default: a random one");
    }

    void add_keys()
    {
        CLI::App& keys = noun("keys", "Keys of teams");
        CLI::App& grant = verb(keys, "grant", "Make a key, print it once, and propose its salt and hash");
        grant.add_option("TEAM", out_.team, "Team")->required();
        grant.add_option("--key-id", out_.key_id, "Identifier of the key; default: a random one");
        change_options(grant);
        CLI::App& withdraw = verb(keys, "withdraw", "Propose to withdraw a key");
        withdraw.add_option("TEAM", out_.team, "Team")->required();
        withdraw.add_option("KEY-ID", out_.key_id, "Key")->required();
        change_options(withdraw);
        verb(keys, "list", "List the identifiers of a team's keys")
            .add_option("TEAM", out_.team, "Team")
            ->required();
    }

    void add_teams()
    {
        CLI::App& team = noun("team", "Teams");
        verb(team, "list", "List teams");
        CLI::App& share = verb(team, "set-share", "Propose another share");
        share.add_option("TEAM", out_.team, "Team")->required();
        share.add_option("SHARE", out_.share, "Weight when everything is full")->required();
        change_options(share);
        CLI::App& limit = verb(team, "set-limit", "Propose another limit");
        limit.add_option("TEAM", out_.team, "Team")->required();
        limit.add_option("LIMIT", out_.limit, "Most tasks running at once")->required();
        change_options(limit);
    }

    void add_targets()
    {
        CLI::App& target = noun("target", "Targets");
        verb(target, "list", "List targets").add_option("--pool", out_.pool, "Only targets of this pool");
        for (const char* const name : {"cordon", "uncordon", "move"}) {
            CLI::App& sub = verb(target, name, std::string{"Propose to "} + name + " a target");
            sub.add_option("TARGET", out_.target, "Target")->required();
            if (name == std::string_view{"move"})
                sub.add_option("POOL", out_.pool, "Pool that it joins")->required();
            change_options(sub);
        }
    }

    CLI::App& app_;
    command& out_;
};

} // namespace

std::optional<int> parse_command_line(int argc, const char* const* argv, command_line& out)
{
    CLI::App app{"Operators' commands over the admin API of the entry hosts.", "mjmctl"};
    app.footer(exit_code_help);
    app.fallthrough();
    app.set_version_flag("--version", std::string{"mjmctl "} + MJM_VERSION);
    app.add_option("--server", out.connection.servers,
                   "ADDRESS:PORT of an entry host's admin port; repeatable")
        ->expected(1)
        ->multi_option_policy(CLI::MultiOptionPolicy::TakeAll);
    app.add_option("--settings", out.connection.settings_file, "JSON settings file");
    app.add_flag("--check-settings", out.check_settings, "Check the settings and exit");
    app.add_flag("--settings-table", out.settings_table, "Print all settings as a Markdown table and exit");
    app.add_option("--key", out.connection.key,
                   "Key; other users of this machine can see it, so prefer MJM_KEY or --key-file");
    app.add_option("--key-file", out.connection.key_file, "File with the key on its first line");
    std::string output = "table";
    app.add_option("--output", output, "Output format")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
    app.add_flag("--dry-run", out.what.dry_run, "Check a change and show its effect; stores nothing");
    app.add_flag("--wait", out.what.wait, "Wait until the change is accepted and in force everywhere");
    app.add_option("--timeout", out.what.timeout_s, "Seconds for --wait and for finding out a lost outcome")
        ->check(CLI::Range(1, 86'400))
        ->capture_default_str();
    app.add_flag("--yes", out.what.yes, "Do not ask before a change takes effect");
    command_tree{app, out.what}.add_all();
    try {
        app.parse(argc, argv);
        out.what.json = output == "json";
        if (out.what.noun.empty() && !out.check_settings && !out.settings_table)
            throw CLI::RequiredError{"A command"};
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? 0 : static_cast<int>(ctl_exit::usage);
    }
    return std::nullopt;
}

} // namespace mjm
