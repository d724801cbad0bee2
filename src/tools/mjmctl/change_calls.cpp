#include "change_calls.h"

namespace mjm {

namespace {

const std::string prefix = "/admin/v1/";

void set_team_call(const command& what, admin_call& call)
{
    call.method = "PATCH";
    call.path = prefix + "teams/" + what.team;
    if (what.verb == "set-share")
        call.body["share"] = what.share;
    else
        call.body["limit"] = what.limit;
}

void set_key_call(const command& what, const granted_key& key, admin_call& call)
{
    call.method = what.verb == "grant" ? "PUT" : "DELETE";
    call.path = prefix + "teams/" + what.team + "/keys/" + what.key_id;
    if (what.verb == "grant") {
        call.body["salt"] = key.salt;
        call.body["hash"] = key.hash;
    }
}

void set_target_call(const command& what, admin_call& call)
{
    call.path = prefix + "targets/" + what.target + "/" + what.verb;
    if (what.verb == "move")
        call.body["pool"] = what.pool;
}

void set_decision_call(const command& what, change& c)
{
    c.kind = what.verb == "accept" ? change_kind::accept : change_kind::reject;
    c.call.path = prefix + "proposals/" + what.id + "/" + what.verb;
    if (what.on_version)
        c.call.body["on_version"] = *what.on_version;
    if (!what.comment.empty())
        c.call.body["comment"] = what.comment;
}

} // namespace

bool takes_effect(const command& what)
{
    return what.noun == "config" &&
           (what.verb == "accept" || what.verb == "reject" || what.verb == "bootstrap");
}

bool proposes(const command& what)
{
    if (what.noun == "config")
        return what.verb == "propose" || what.verb == "plan";
    return !what.verb.empty() && what.verb != "list";
}

change make_change(const command& what, const nlohmann::json& input, const granted_key& key)
{
    change c;
    c.id = what.id;
    c.call.method = "POST";
    c.call.body = nlohmann::json::object();
    if (takes_effect(what) && what.verb != "bootstrap") {
        set_decision_call(what, c);
        return c;
    }
    c.call.body["id"] = what.id;
    if (what.verb == "bootstrap") {
        c.kind = change_kind::bootstrap;
        c.call.path = prefix + "bootstrap";
        c.call.body["document"] = input;
        return c;
    }
    c.call.body["base"] = what.base.value_or(0);
    if (what.noun == "team") {
        set_team_call(what, c.call);
    } else if (what.noun == "keys") {
        set_key_call(what, key, c.call);
    } else if (what.noun == "target") {
        set_target_call(what, c.call);
    } else {
        c.call.path = prefix + "proposals";
        c.call.body["patch"] = input;
        if (!what.comment.empty())
            c.call.body["comment"] = what.comment;
    }
    return c;
}

} // namespace mjm
