#include "admin/admin_api.h"

#include "admin/admin_errc.h"
#include "core/number_text.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <algorithm>
#include <list>
#include <utility>

namespace mjm {

namespace {

using json = nlohmann::json;

int status_of(admin_errc code)
{
    switch (code) {
    case admin_errc::unknown_path:
    case admin_errc::unknown_record:
        return 404;
    case admin_errc::method_not_allowed:
        return 405;
    case admin_errc::malformed_body:
    case admin_errc::malformed_query:
        return 400;
    case admin_errc::not_authenticated:
        return 401;
    case admin_errc::not_permitted:
        return 403;
    case admin_errc::key_exists:
        return 409;
    case admin_errc::key_not_verifiable:
        return 503;
    }
    return 500;
}

int status_of(commit_errc code)
{
    switch (code) {
    case commit_errc::store_unavailable:
    case commit_errc::no_configuration:
        return 503;
    case commit_errc::already_bootstrapped:
    case commit_errc::proposal_reused:
    case commit_errc::version_moved:
    case commit_errc::not_due:
        return 409;
    case commit_errc::unknown_proposal:
        return 404;
    case commit_errc::bad_proposal:
        return 400;
    case commit_errc::not_authority:
        return 403;
    case commit_errc::invalid:
        return 422;
    case commit_errc::too_large:
        return 413;
    case commit_errc::damaged:
        return 500;
    }
    return 500;
}

http_response reply(int status, const json& body)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

http_response failure(admin_errc code, const std::string& detail)
{
    http_response response =
        reply(status_of(code), {{"error", {{"code", name_of(code)}, {"detail", detail}}}});
    if (code == admin_errc::not_authenticated)
        response.headers.emplace_back("www-authenticate", "Bearer");
    return response;
}

json to_json(const commit_refusal& refusal)
{
    json errors = json::array();
    for (const config_error& error : refusal.errors)
        errors.push_back(
            {{"rule", name_of(error.rule)}, {"pointer", error.pointer}, {"detail", error.detail}});
    return {{"code", name_of(refusal.reason)},
            {"detail", ""},
            {"current_version", refusal.current_version},
            {"errors", errors}};
}

http_response refused(const commit_refusal& refusal)
{
    return reply(status_of(refusal.reason), {{"outcome", "not_applied"}, {"error", to_json(refusal)}});
}

http_response outcome_of(const change_result& result)
{
    switch (result.outcome) {
    case verdict::accepted:
        return reply(200, {{"outcome", "accepted"}, {"version", result.version}});
    case verdict::rejected:
        return reply(200, {{"outcome", "rejected"}});
    case verdict::not_applied:
        break;
    }
    return refused(result.refusal);
}

json to_json(const config_decision& entry)
{
    json out = {{"decision", name_of(entry.kind)},  {"proposal", entry.proposal},
                {"version", entry.version},         {"base", entry.base},
                {"proposed_by", entry.proposed_by}, {"decided_by", entry.decided_by},
                {"comment", entry.comment},         {"decided_at_s", entry.decided_at_s}};
    // The first version's patch is the whole document, with the ticket secret in it.
    if (entry.kind == decision::accepted && entry.version > 1)
        out["patch"] = json::parse(entry.patch, nullptr, false);
    return out;
}

json to_json(const target_record& target)
{
    return {{"id", target.endpoint.id.str()}, {"address", target.endpoint.address},
            {"port", target.endpoint.port},   {"zone", target.zone.str()},
            {"rack", target.rack.str()},      {"pool", target.pool.str()},
            {"slots", target.capacity.slots}, {"cordoned", target.cordoned},
            {"assignment", target.assignment}};
}

json names_of(const std::vector<host_id>& hosts)
{
    json out = json::array();
    for (const host_id& host : hosts)
        out.push_back(host.str());
    return out;
}

std::optional<std::string> find(const std::map<std::string, std::string>& values, const std::string& name)
{
    const auto it = values.find(name);
    return it == values.end() ? std::nullopt : std::optional{it->second};
}

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const std::size_t end = std::min(path.find('/'), path.size());
        segments.emplace_back(path.substr(0, end));
        path.remove_prefix(end);
    }
    return segments;
}

std::string bearer_key(const http_request& request)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string value = find(request.headers, "authorization").value_or("");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : "";
}

/// One call on its way through the API.
struct call {
    http_request request;
    std::vector<std::string> path; ///< Below `/admin/v1`.
    json body;
    std::string key;
    std::string caller; ///< `owner:<id>` or `operator:<id>`.
    wall_time wall{};
    std::shared_ptr<const fleet_config> config;
    admin_api::responder respond; ///< Does nothing after the first answer.

    [[nodiscard]] bool is(const std::string& method, const std::vector<std::string>& pattern) const
    {
        return request.method == method && matches(pattern);
    }
    /// "*" in a pattern stands for any one segment.
    [[nodiscard]] bool matches(const std::vector<std::string>& pattern) const
    {
        return std::equal(path.begin(), path.end(), pattern.begin(), pattern.end(),
                          [](const std::string& segment, const std::string& expected) {
                              return expected == "*" ? !segment.empty() : segment == expected;
                          });
    }
    [[nodiscard]] std::optional<std::string> text(const char* name) const
    {
        const auto it = body.find(name);
        return it != body.end() && it->is_string() ? std::optional{it->get<std::string>()} : std::nullopt;
    }
    [[nodiscard]] std::optional<std::uint64_t> number(const char* name) const
    {
        const auto it = body.find(name);
        return it != body.end() && it->is_number_unsigned() ? std::optional{it->get<std::uint64_t>()}
                                                            : std::nullopt;
    }
};

} // namespace

class admin_api::impl : public std::enable_shared_from_this<admin_api::impl> {
public:
    impl(config_commit& commit, const config_replica& replica, const config_progress& progress,
         const key_freshness& freshness, const admin_settings& settings)
        : commit_{commit}, replica_{replica}, progress_{progress}, freshness_{freshness}, settings_{settings}
    {
    }

    void handle(const http_request& request, timestamp now, wall_time wall, responder respond)
    {
        now_ = now;
        call c;
        c.request = request;
        c.wall = wall;
        c.respond = answer_once(std::move(respond));
        c.path = split_path(request.path);
        if (c.path.size() < 3 || c.path[0] != "admin" || c.path[1] != "v1") {
            c.respond(failure(admin_errc::unknown_path, request.path));
            return;
        }
        c.path.erase(c.path.begin(), c.path.begin() + 2);
        c.body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
        if (!c.body.is_object()) {
            c.respond(failure(admin_errc::malformed_body, "must be a JSON object"));
            return;
        }
        c.key = bearer_key(request);
        if (c.is("POST", {"bootstrap"})) {
            bootstrap(c);
            return;
        }
        if (authenticate(c))
            route(c);
    }

    void tick(timestamp now)
    {
        now_ = now;
        while (!waiting_.empty() && waiting_.front().first <= now) {
            const responder respond = std::move(waiting_.front().second);
            waiting_.pop_front();
            respond(reply(202, {{"outcome", "pending"}}));
        }
    }

private:
    /// A responder that passes on the first answer only, and `pending` when none comes in time.
    responder answer_once(responder respond)
    {
        const std::shared_ptr<responder> open = std::make_shared<responder>(std::move(respond));
        responder once = [open](http_response response) {
            if (*open)
                std::exchange(*open, nullptr)(std::move(response));
        };
        waiting_.emplace_back(now_ + settings_.answer_within, once);
        return once;
    }

    bool authenticate(call& c)
    {
        c.config = replica_.current();
        if (!c.config) {
            c.respond(refused(commit_refusal{commit_errc::no_configuration, 0, {}}));
            return false;
        }
        if (freshness_.policy(now_) == key_policy::refusing) {
            c.respond(failure(admin_errc::key_not_verifiable, "the store and its other readers are cut off"));
            return false;
        }
        if (const std::optional<owner_id> owner = c.config->authenticate_owner(c.key))
            c.caller = "owner:" + owner->str();
        else if (const std::optional<operator_id> person = c.config->authenticate_operator(c.key))
            c.caller = "operator:" + person->str();
        else
            c.respond(failure(admin_errc::not_authenticated, "the key of an owner or operator is required"));
        return !c.caller.empty();
    }

    void route(const call& c)
    {
        if (c.is("GET", {"config"}))
            show_config(c);
        else if (c.is("GET", {"history"}))
            show_history(c);
        else if (c.is("GET", {"proposals"}))
            show_proposals(c);
        else if (c.is("POST", {"proposals"}))
            propose(c);
        else if (c.is("GET", {"proposals", "*"}))
            show_proposal(c);
        else if (c.is("POST", {"proposals", "*", "accept"}))
            commit_.accept(c.path[1], c.key, c.number("on_version"), c.wall, respond_outcome(c));
        else if (c.is("POST", {"proposals", "*", "reject"}))
            commit_.reject(c.path[1], c.key, c.text("comment").value_or(""), c.wall, respond_outcome(c));
        else if (c.is("GET", {"versions", "*"}))
            show_version(c);
        else if (c.is("GET", {"teams"}))
            show_teams(c);
        else if (c.is("GET", {"pools"}))
            show_pools(c);
        else if (c.is("GET", {"targets"}))
            show_targets(c);
        else if (c.is("PATCH", {"teams", "*"}))
            change_team(c);
        else if (c.is("PUT", {"*", "*", "keys", "*"}) || c.is("DELETE", {"*", "*", "keys", "*"}))
            change_key(c);
        else if (c.is("POST", {"targets", "*", "*"}))
            change_target(c);
        else
            no_route(c);
    }

    static void no_route(const call& c)
    {
        static const std::vector<std::vector<std::string>> known{{"config"},
                                                                 {"history"},
                                                                 {"proposals"},
                                                                 {"proposals", "*"},
                                                                 {"versions", "*"},
                                                                 {"teams"},
                                                                 {"pools"},
                                                                 {"targets"},
                                                                 {"teams", "*"},
                                                                 {"bootstrap"},
                                                                 {"*", "*", "keys", "*"},
                                                                 {"targets", "*", "*"},
                                                                 {"proposals", "*", "accept"},
                                                                 {"proposals", "*", "reject"}};
        const bool exists =
            std::any_of(known.begin(), known.end(), [&c](const auto& pattern) { return c.matches(pattern); });
        c.respond(failure(exists ? admin_errc::method_not_allowed : admin_errc::unknown_path,
                          c.request.method + " " + c.request.path));
    }

    static config_commit::result_callback respond_outcome(const call& c)
    {
        return [respond = c.respond](const change_result& result) { respond(outcome_of(result)); };
    }

    // --- reading -----------------------------------------------------------------------------------

    void show_config(const call& c) const
    {
        json document = json::parse(replica_.current_text(), nullptr, false);
        document.erase("ticket_secret");
        for (const char* const holders : {"teams", "owners", "operators"}) {
            if (!document.contains(holders))
                continue;
            for (json& holder : document.at(holders)) {
                for (json& key : holder["keys"])
                    key = json::object();
            }
        }
        c.respond(reply(200, document));
    }

    void show_history(const call& c)
    {
        const std::optional<std::uint64_t> limit =
            parse_integer<std::uint64_t>(find(c.request.query, "limit").value_or("50"));
        if (!limit || *limit > settings_.max_history) {
            c.respond(failure(admin_errc::malformed_query,
                              "limit must be 0 to " + std::to_string(settings_.max_history)));
            return;
        }
        commit_.history(*limit, [respond = c.respond](
                                    const tl::expected<std::vector<config_decision>, commit_refusal>& found) {
            if (!found) {
                respond(refused(found.error()));
                return;
            }
            json items = json::array();
            for (const config_decision& entry : *found)
                items.push_back(to_json(entry));
            respond(reply(200, {{"history", items}}));
        });
    }

    void show_proposals(const call& c)
    {
        commit_.open_proposals(
            [respond = c.respond](const tl::expected<std::vector<proposal>, commit_refusal>& found) {
                if (!found) {
                    respond(refused(found.error()));
                    return;
                }
                json items = json::array();
                for (const proposal& change : *found)
                    items.push_back({{"id", change.id},
                                     {"base", change.base},
                                     {"patch", json::parse(change.patch, nullptr, false)},
                                     {"proposed_by", change.proposed_by},
                                     {"comment", change.comment}});
                respond(reply(200, {{"proposals", items}}));
            });
    }

    void show_proposal(const call& c)
    {
        commit_.status(
            c.path[1],
            [respond = c.respond](const tl::expected<std::optional<change_result>, commit_refusal>& found) {
                if (!found)
                    respond(refused(found.error()));
                else if (!*found)
                    respond(reply(200, {{"outcome", "open"}}));
                else
                    respond(outcome_of(**found));
            });
    }

    void show_version(const call& c)
    {
        const std::optional<std::uint64_t> version = parse_integer<std::uint64_t>(c.path[1]);
        if (!version) {
            c.respond(failure(admin_errc::malformed_query, "a version is a number"));
            return;
        }
        const version_progress progress = progress_.progress(*version, now_);
        c.respond(reply(200, {{"version", *version},
                              {"in_force_here", c.config->version >= *version},
                              {"in_force_everywhere", progress.in_force_everywhere},
                              {"live_members_reached", progress.live_members_reached},
                              {"reached", names_of(progress.reached)},
                              {"silent", names_of(progress.silent)}}));
    }

    static void show_teams(const call& c)
    {
        json items = json::array();
        for (const auto& [id, team] : c.config->teams) {
            json keys = json::array();
            for (const key_record& key : team.keys)
                keys.push_back(key.id.str());
            items.push_back({{"id", id.str()},
                             {"owner", team.owner.str()},
                             {"share", team.share},
                             {"limit", team.limit},
                             {"keys", keys}});
        }
        c.respond(reply(200, {{"version", c.config->version}, {"teams", items}}));
    }

    static void show_pools(const call& c)
    {
        json items = json::array();
        for (const auto& [id, pool] : c.config->pools) {
            std::int64_t hosts = 0;
            std::int64_t cordoned = 0;
            for (const auto& [name, target] : c.config->targets) {
                hosts += target.pool == id ? 1 : 0;
                cordoned += target.pool == id && target.cordoned ? 1 : 0;
            }
            json services = json::array();
            for (const auto& [name, service] : c.config->services) {
                if (service.pool == id)
                    services.push_back(name.str());
            }
            items.push_back({{"id", id.str()},
                             {"targets", hosts},
                             {"cordoned", cordoned},
                             {"min_available", pool.min_available},
                             {"spare", pool.spare},
                             {"services", services}});
        }
        c.respond(reply(200, {{"version", c.config->version}, {"pools", items}}));
    }

    static void show_targets(const call& c)
    {
        const std::optional<std::string> pool = find(c.request.query, "pool");
        json items = json::array();
        for (const auto& [id, target] : c.config->targets) {
            if (!pool || target.pool.str() == *pool)
                items.push_back(to_json(target));
        }
        c.respond(reply(200, {{"version", c.config->version}, {"targets", items}}));
    }

    // --- changes -----------------------------------------------------------------------------------

    void bootstrap(const call& c)
    {
        const std::string& token = settings_.bootstrap_token;
        if (token.empty() || token.size() != c.key.size() ||
            CRYPTO_memcmp(token.data(), c.key.data(), token.size()) != 0) {
            c.respond(failure(admin_errc::not_permitted, "the bootstrap token is required"));
            return;
        }
        const std::optional<std::string> id = c.text("id");
        const auto document = c.body.find("document");
        if (!id || !is_valid_name(*id) || document == c.body.end()) {
            c.respond(failure(admin_errc::malformed_body, "id and document are required"));
            return;
        }
        commit_.bootstrap(*id, document->dump(), c.wall, respond_outcome(c));
    }

    void propose(const call& c)
    {
        const auto patch = c.body.find("patch");
        if (patch == c.body.end())
            c.respond(failure(admin_errc::malformed_body, "patch is required"));
        else
            submit(c, *patch);
    }

    /// Proposes a patch under the identifier and base that the caller gave, so that a repeat of the call is
    /// the same proposal.
    void submit(const call& c, const json& patch)
    {
        const std::optional<std::uint64_t> base = c.number("base");
        const bool dry_run = find(c.request.query, "dry_run").value_or("false") == "true";
        const std::optional<std::string> id = c.text("id");
        if (!base || (!id && !dry_run)) {
            c.respond(failure(admin_errc::malformed_body,
                              "base (a version) and, unless dry_run=true, id are required"));
            return;
        }
        if (dry_run) {
            commit_.dry_run(
                *base, patch.dump(),
                [respond = c.respond, patch](const tl::expected<std::uint64_t, commit_refusal>& result) {
                    if (result)
                        respond(reply(
                            200, {{"outcome", "valid"}, {"would_be_version", *result}, {"patch", patch}}));
                    else
                        respond(refused(result.error()));
                });
            return;
        }
        commit_.propose({*id, *base, patch.dump(), c.caller, c.text("comment").value_or("")},
                        [respond = c.respond, id = *id](const tl::expected<void, commit_refusal>& result) {
                            if (result)
                                respond(reply(201, {{"outcome", "open"}, {"proposal", id}}));
                            else
                                respond(refused(result.error()));
                        });
    }

    void change_team(const call& c)
    {
        json patch = json::array();
        for (const char* const member : {"share", "limit"}) {
            const auto value = c.body.find(member);
            if (value != c.body.end())
                patch.push_back(
                    {{"op", "replace"}, {"path", "/teams/" + c.path[1] + "/" + member}, {"value", *value}});
        }
        if (!c.config->teams.contains(team_id{c.path[1]}))
            c.respond(failure(admin_errc::unknown_record, "no team " + c.path[1]));
        else if (patch.empty())
            c.respond(failure(admin_errc::malformed_body, "share or limit is required"));
        else
            submit(c, patch);
    }

    static const std::vector<key_record>* find_keys(const call& c)
    {
        const auto keys = [](const auto& table, const auto& id) -> const std::vector<key_record>* {
            const auto it = table.find(id);
            return it == table.end() ? nullptr : &it->second.keys;
        };
        if (c.path[0] == "teams")
            return keys(c.config->teams, team_id{c.path[1]});
        if (c.path[0] == "owners")
            return keys(c.config->owners, owner_id{c.path[1]});
        if (c.path[0] == "operators")
            return keys(c.config->operators, operator_id{c.path[1]});
        return nullptr;
    }

    void change_key(const call& c)
    {
        const std::vector<key_record>* const keys = find_keys(c);
        if (keys == nullptr || !is_valid_name(c.path[3])) {
            c.respond(failure(admin_errc::unknown_record, c.path[0] + " " + c.path[1]));
            return;
        }
        const std::string pointer = "/" + c.path[0] + "/" + c.path[1] + "/keys/" + c.path[3];
        if (c.request.method == "DELETE") {
            submit(c, json::array({{{"op", "remove"}, {"path", pointer}}}));
            return;
        }
        const std::optional<std::string> salt = c.text("salt");
        const std::optional<std::string> hash = c.text("hash");
        if (!salt || !hash) {
            c.respond(failure(admin_errc::malformed_body, "salt and hash are required"));
            return;
        }
        const auto taken = std::find_if(keys->begin(), keys->end(),
                                        [&c](const key_record& key) { return key.id.str() == c.path[3]; });
        // The same hash again is a repeat of a grant that has been accepted meanwhile.
        if (taken != keys->end() && taken->hash != *hash) {
            c.respond(failure(admin_errc::key_exists, pointer));
            return;
        }
        submit(c, json::array(
                      {{{"op", "add"}, {"path", pointer}, {"value", {{"salt", *salt}, {"hash", *hash}}}}}));
    }

    void change_target(const call& c)
    {
        const std::string& verb = c.path[2];
        const std::string pointer = "/targets/" + c.path[1];
        const std::optional<std::string> pool = c.text("pool");
        if (verb != "cordon" && verb != "uncordon" && verb != "move")
            c.respond(failure(admin_errc::unknown_path, c.request.path));
        else if (!c.config->targets.contains(target_id{c.path[1]}))
            c.respond(failure(admin_errc::unknown_record, "no target " + c.path[1]));
        else if (verb == "move" && !pool)
            c.respond(failure(admin_errc::malformed_body, "pool is required"));
        else if (verb == "move")
            submit(c, json::array({{{"op", "replace"}, {"path", pointer + "/pool"}, {"value", *pool}}}));
        else // `add` also where the member was left out and has its default.
            submit(c, json::array(
                          {{{"op", "add"}, {"path", pointer + "/cordoned"}, {"value", verb == "cordon"}}}));
    }

    config_commit& commit_;
    const config_replica& replica_;
    const config_progress& progress_;
    const key_freshness& freshness_;
    admin_settings settings_;
    timestamp now_{};
    std::list<std::pair<timestamp, responder>> waiting_; ///< Oldest first; answered ones do nothing.
};

admin_api::admin_api(config_commit& commit, const config_replica& replica, const config_progress& progress,
                     const key_freshness& freshness, const admin_settings& settings)
    : impl_{std::make_shared<impl>(commit, replica, progress, freshness, settings)}
{
}

admin_api::~admin_api() = default;

void admin_api::handle(const http_request& request, timestamp now, wall_time wall, responder respond)
{
    impl_->handle(request, now, wall, std::move(respond));
}

void admin_api::tick(timestamp now)
{
    impl_->tick(now);
}

} // namespace mjm
