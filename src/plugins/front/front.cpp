#include "front/front.h"

#include "core/invariant.h"
#include "front/shard_chooser.h"

#include <algorithm>
#include <array>

namespace mjm {

namespace {

/// Tells callers when to try again.
constexpr duration caller_retry_after{std::chrono::seconds{1}};
/// A shard that has refused a team for lack of permits is not chosen for the team for this long.
constexpr duration avoid_after_no_permit{std::chrono::seconds{2}};
/// An owner that has kept a call for at least this long counts as having accepted it.
constexpr duration accepted_after{std::chrono::seconds{1}};

outcome refused_outcome(reason why, duration retry_after = duration{0})
{
    return outcome{outcome_kind::refused_not_run, why, retry_after, {}};
}

outcome unknown_outcome(reason why, duration retry_after = duration{0})
{
    return outcome{outcome_kind::unknown, why, retry_after, {}};
}

bool did_not_run(const outcome& result)
{
    return result.kind == outcome_kind::refused_not_run || result.kind == outcome_kind::cancelled_not_run;
}

} // namespace

front::front(const routing_view& view, const clock& time, random_source& random, peer_client& peers,
             const front_settings& settings)
    : view_{view}, time_{time}, random_{random}, peers_{peers}, settings_{settings}
{
}

front::~front() = default;

tl::expected<team_id, reason> front::authorize(const service_id& service, const std::string& key) const
{
    const std::shared_ptr<const fleet_config> config = view_.config();
    if (!config)
        return tl::unexpected{reason::overloaded};
    const auto it = config->services.find(service);
    if (it == config->services.end())
        return tl::unexpected{reason::unknown_service};
    if (it->second.open_to_all)
        return team_id{};
    if (key.empty())
        return tl::unexpected{reason::key_missing};
    const std::optional<team_id> team = config->authenticate(key);
    if (!team)
        return tl::unexpected{reason::key_invalid};
    if (view_.keys() == key_policy::refusing)
        return tl::unexpected{reason::key_not_verifiable};
    return *team;
}

void front::submit(const caller_request& call, const std::function<void(const request_id&)>& accepted,
                   answer_function done)
{
    const auto refuse = [&](reason why) {
        done(caller_answer{{}, refused_outcome(why, caller_retry_after), false, {}});
    };
    if (draining_) {
        refuse(reason::draining);
        return;
    }
    const tl::expected<team_id, reason> team = authorize(call.service, call.key);
    if (!team) {
        refuse(team.error());
        return;
    }
    if (outstanding_.size() >= settings_.max_outstanding) {
        refuse(reason::overloaded);
        return;
    }

    call_state state;
    state.work.team = *team;
    state.work.service = call.service;
    state.work.urgency = call.urgency;
    state.work.idempotent = call.idempotent;
    state.work.declared = call.declared;
    state.work.declared_run = call.declared_run;
    state.work.body = call.body;
    if (call.idempotent) {
        const std::optional<shard_id> shard =
            choose_shard(view_, call.service, shards_without_permits(*team), random_);
        if (!shard) {
            refuse(reason::no_capacity);
            return;
        }
        state.shard = *shard;
        state.work.id = make_request_id(*shard, *team, new_nonce());
    } else {
        if (call.ticket.empty()) {
            done(caller_answer{
                {}, refused_outcome(reason::ticket_required), false, new_ticket(call.service, *team)});
            return;
        }
        const tl::expected<ticket, reason> decoded =
            ticket_codec{view_.config()->ticket_secret}.decode(call.ticket);
        if (!decoded || decoded->team != *team || decoded->shard.service != call.service) {
            refuse(reason::ticket_invalid);
            return;
        }
        state.shard = decoded->shard;
        state.work.ticket = call.ticket;
        state.work.id = make_request_id(decoded->shard, *team, decoded->nonce);
    }
    check_invariant(!team->empty() || view_.config()->services.at(call.service).open_to_all,
                    invariant::team_key, call.service.str());

    const request_id id = state.work.id;
    const service_id service = call.service;
    const team_id& caller_team = *team;
    const bool wants_ticket = !call.idempotent;
    state.deadline = time_.now() + call.timeout;
    state.done = [this, done = std::move(done), service, caller_team,
                  wants_ticket](const caller_answer& answer) {
        caller_answer with_ticket = answer;
        if (wants_ticket)
            with_ticket.next_ticket = new_ticket(service, caller_team);
        done(with_ticket);
    };
    state.may_switch_shard = call.idempotent && !accepted;
    if (accepted)
        accepted(id);
    start_call(std::move(state));
}

void front::look_up(const std::string& key, const request_id& id, bool wait, answer_function done)
{
    start_request_call(wait ? call_kind::look_up : call_kind::peek, key, id, std::move(done));
}

void front::cancel(const std::string& key, const request_id& id, answer_function done)
{
    start_request_call(call_kind::cancel, key, id, std::move(done));
}

void front::start_request_call(call_kind kind, const std::string& key, const request_id& id,
                               answer_function done)
{
    const std::optional<request_id_parts> parts = parse_request_id(id);
    if (!parts) {
        done(caller_answer{id, unknown_outcome(reason::unknown_request), false, {}});
        return;
    }
    const tl::expected<team_id, reason> team = authorize(parts->shard.service, key);
    if (!team) {
        // Refuses the call without an outcome of the request, which may be running.
        done(caller_answer{{}, refused_outcome(team.error()), true, {}});
        return;
    }
    // Another team's request is reported in the same way as one that does not exist.
    if (*team != parts->team) {
        done(caller_answer{id, unknown_outcome(reason::unknown_request), false, {}});
        return;
    }
    call_state state;
    state.kind = kind;
    state.shard = parts->shard;
    state.work.id = id;
    state.deadline = time_.now();
    state.done = std::move(done);
    start_call(std::move(state));
}

tl::expected<std::vector<std::string>, reason> front::issue_tickets(const service_id& service,
                                                                    const std::string& key, std::size_t count)
{
    if (draining_)
        return tl::unexpected{reason::draining};
    const tl::expected<team_id, reason> team = authorize(service, key);
    if (!team)
        return tl::unexpected{team.error()};
    std::vector<std::string> tickets;
    for (std::size_t i = 0; i < count; ++i) {
        std::string text = new_ticket(service, *team);
        if (text.empty())
            return tl::unexpected{reason::no_capacity};
        tickets.push_back(std::move(text));
    }
    return tickets;
}

std::string front::new_ticket(const service_id& service, const team_id& team)
{
    const std::optional<shard_id> shard = choose_shard(view_, service, shards_without_permits(team), random_);
    const std::optional<shard_route> route = shard ? view_.route(*shard) : std::nullopt;
    if (!route)
        return {};
    return ticket_codec{view_.config()->ticket_secret}.encode(
        ticket{*shard, route->epoch, team, time_.wall_now(), new_nonce()});
}

std::string front::new_nonce()
{
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int bits_per_digit = 4;
    std::string text;
    for (const std::uint64_t word : {random_.next(), random_.next()}) {
        for (int shift = 64 - bits_per_digit; shift >= 0; shift -= bits_per_digit)
            text.push_back(digits[(word >> static_cast<unsigned>(shift)) & 0x0fU]);
    }
    return text;
}

void front::start_call(call_state call)
{
    const std::uint64_t id = ++last_call_;
    call.id = id;
    call.abandon_at = std::max(call.deadline, time_.now()) + settings_.late_answer_wait;
    call.next_attempt = time_.now();
    send(outstanding_.emplace(id, std::move(call)).first->second);
}

void front::send(call_state& call)
{
    const timestamp now = time_.now();
    const std::optional<shard_route> route = view_.route(call.shard);
    if (!route) {
        schedule_retry(call);
        return;
    }
    call.in_flight = true;
    call.last_epoch = route->epoch;
    call.sent_at = now;
    call.work.timeout = std::max(duration{0}, call.deadline - now);
    // An earlier owner accepted the request in time. Running it again may need time after the deadline.
    if (!call.reached_owners.empty() && call.work.idempotent)
        call.work.timeout = std::max(call.work.timeout, settings_.takeover_wait);
    if (route->local != nullptr)
        send_local(call, *route);
    else
        send_remote(call, *route);
}

void front::send_local(call_state& call, const shard_route& route)
{
    const std::uint64_t id = call.id;
    const shard_epoch epoch = route.epoch;
    const outcome_function done = [this, id, epoch,
                                   alive = std::weak_ptr<int>{alive_}](const outcome& result) {
        if (!alive.expired())
            handle_outcome(id, epoch, result);
    };
    // The owner may answer from within its function, which erases `call`.
    switch (call.kind) {
    case call_kind::submit: {
        const request work = call.work;
        route.local->submit(work, done);
        break;
    }
    case call_kind::look_up:
    case call_kind::peek: {
        const request_id request = call.work.id;
        route.local->look_up(request, call.kind == call_kind::look_up, done);
        break;
    }
    case call_kind::cancel: {
        const request_id request = call.work.id;
        route.local->cancel(request, done);
        break;
    }
    }
}

void front::send_remote(call_state& call, const shard_route& route)
{
    const std::uint64_t id = call.id;
    const shard_epoch epoch = route.epoch;
    const peer_client::outcome_callback done = [this, id, epoch, alive = std::weak_ptr<int>{alive_}](
                                                   const tl::expected<outcome, peer_errc>& result) {
        if (alive.expired())
            return;
        if (result)
            handle_outcome(id, epoch, *result);
        else
            handle_failure(id, epoch, result.error());
    };
    if (call.kind == call_kind::cancel) {
        peers_.cancel(route.owner, call.shard, call.work.id, done);
        return;
    }
    forwarded_request message;
    message.shard = call.shard;
    message.epoch = epoch;
    message.mode = forward_mode::submit;
    if (call.kind == call_kind::look_up)
        message.mode = forward_mode::wait;
    else if (call.kind == call_kind::peek)
        message.mode = forward_mode::peek;
    message.work = call.work;
    peers_.forward(route.owner, message, done);
}

void front::handle_outcome(std::uint64_t id, shard_epoch epoch, const outcome& result)
{
    const auto it = outstanding_.find(id);
    if (it == outstanding_.end())
        return;
    call_state& call = it->second;
    call.in_flight = false;
    if (result.why == reason::moved) {
        call.reached_owners.emplace(call.shard, epoch);
        record_interruption(call);
        schedule_retry(call);
        return;
    }
    // A newer owner may have started the request for another submission with the same ticket, which the owner
    // that answered does not know of.
    const std::optional<shard_route> route = view_.route(call.shard);
    if (!call.work.idempotent && did_not_run(result) && route && route->epoch > epoch) {
        record_interruption(call);
        schedule_retry(call);
        return;
    }
    if (result.why == reason::no_permit) {
        avoided_until_[{call.shard, call.work.team}] = time_.now() + avoid_after_no_permit;
        if (call.may_switch_shard && switch_shard(call)) {
            schedule_retry(call);
            return;
        }
    }
    // A copy that was sent to another owner earlier may have run, or may still run.
    const std::pair<shard_id, shard_epoch> answering{call.shard, epoch};
    const bool other_copy =
        call.work.idempotent && std::any_of(call.reached_owners.begin(), call.reached_owners.end(),
                                            [&](const auto& copy) { return copy != answering; });
    if (other_copy && did_not_run(result)) {
        finish(id, unknown_outcome(result.why, result.retry_after));
        return;
    }
    finish(id, result);
}

void front::handle_failure(std::uint64_t id, shard_epoch epoch, peer_errc ec)
{
    const auto it = outstanding_.find(id);
    if (it == outstanding_.end())
        return;
    call_state& call = it->second;
    call.in_flight = false;
    if (ec != peer_errc::not_connected && ec != peer_errc::refused) {
        call.reached_owners.emplace(call.shard, epoch);
    }
    record_interruption(call);
    // A call that only timed out belongs to a long task, so that the same owner is asked again.
    if (call.may_switch_shard && ec != peer_errc::timed_out)
        (void)switch_shard(call);
    schedule_retry(call);
}

void front::record_interruption(call_state& call)
{
    const timestamp now = time_.now();
    if (!call.interrupted_since || now - call.sent_at >= accepted_after)
        call.interrupted_since = now;
}

bool front::switch_shard(call_state& call)
{
    call.tried_shards.insert(call.shard);
    std::set<shard_id> avoid = shards_without_permits(call.work.team);
    avoid.insert(call.tried_shards.begin(), call.tried_shards.end());
    const std::optional<shard_id> other = choose_shard(view_, call.work.service, avoid, random_);
    if (!other) {
        call.tried_shards.clear();
        return false;
    }
    call.shard = *other;
    call.work.id = make_request_id(*other, call.work.team, new_nonce());
    return true;
}

std::set<shard_id> front::shards_without_permits(const team_id& team) const
{
    std::set<shard_id> shards;
    for (const auto& [key, until] : avoided_until_) {
        if (key.second == team)
            shards.insert(key.first);
    }
    return shards;
}

void front::schedule_retry(call_state& call)
{
    const timestamp now = time_.now();
    if (call.may_switch_shard && !view_.route(call.shard))
        (void)switch_shard(call);
    call.next_attempt = now + settings_.retry_delay;
    timestamp abandon_at = call.abandon_at;
    if (call.interrupted_since)
        abandon_at = std::max(abandon_at, *call.interrupted_since + settings_.takeover_wait);
    if (call.next_attempt >= abandon_at)
        abandon(call);
}

void front::abandon(call_state& call)
{
    // No owner can have received the request, and an idempotent request has no earlier submission.
    const bool nothing_sent =
        call.kind == call_kind::submit && call.work.idempotent && call.reached_owners.empty();
    finish(call.id, nothing_sent ? refused_outcome(reason::shard_unreachable, caller_retry_after)
                                 : unknown_outcome(reason::shard_unreachable, caller_retry_after));
}

void front::finish(std::uint64_t id, const outcome& result)
{
    const auto it = outstanding_.find(id);
    const answer_function done = std::move(it->second.done);
    const request_id request = it->second.work.id;
    outstanding_.erase(it);
    done(caller_answer{request, result, false, {}});
}

void front::tick()
{
    const timestamp now = time_.now();
    std::erase_if(avoided_until_, [now](const auto& it) { return it.second <= now; });
    std::vector<std::uint64_t> due;
    for (const auto& [id, call] : outstanding_) {
        if (!call.in_flight && call.next_attempt <= now)
            due.push_back(id);
    }
    for (const std::uint64_t id : due) {
        const auto it = outstanding_.find(id);
        if (it != outstanding_.end())
            send(it->second);
    }
}

} // namespace mjm
