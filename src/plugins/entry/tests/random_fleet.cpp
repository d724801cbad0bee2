#include "random_fleet.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace mjm {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration step_length{milliseconds{20}};
/// The longest a request may stay open without faults: its deadline (10 s), the next owner's takeover (12 s)
/// and the end of a lost task by its lease (66 s, with the margin of the clocks' rates), and the settle time
/// and retries of the front (7 s).
constexpr duration settle_bound{seconds{95}};
/// For shares, permits and reinstated targets to come back before new requests are sent.
constexpr duration calm_before_probes{seconds{30}};
constexpr duration probe_bound{seconds{45}};

/// Without a limit of its own, a target shows whether the owners keep to theirs.
constexpr std::int64_t slots_of_model = 64;

fleet_options options_for(const random_fleet_settings& settings)
{
    fleet_options options;
    options.seed = settings.seed;
    options.wrap_targets = settings.wrap_targets;
    options.team_limit = 12;
    options.target.slots = slots_of_model;
    return options;
}

} // namespace

random_fleet::random_fleet(const random_fleet_settings& settings)
    : settings_{settings}, dice_{settings.seed ^ 0x9e3779b97f4a7c15ULL}, fleet_{options_for(settings)},
      messages_{fleet_.pump, fleet_.time, dice_}
{
    fleet_.observer = this;
    fleet_.before_round = [this] { messages_.before_round(); };
    fleet_.set_run_time(duration{0});
}

random_fleet::~random_fleet() = default;

void random_fleet::run()
{
    const timestamp ready = fleet_.time.now() + seconds{5};
    while (fleet_.time.now() < ready)
        step();
    const timestamp end = fleet_.time.now() + settings_.fault_time;
    const double load = std::chrono::duration<double>(step_length) / settings_.mean_between_submissions;
    const double faults = std::chrono::duration<double>(step_length) / settings_.mean_between_faults;
    while (fleet_.time.now() < end) {
        if (chance(load))
            submit_random();
        if (chance(faults))
            begin_fault();
        end_faults(false);
        step();
    }
    end_faults(true);
    return_targets();
    settle();
    history_.check_outcomes();
}

void random_fleet::return_targets()
{
    fleet_config next = fleet_.config;
    ++next.version;
    for (auto& [id, record] : next.targets)
        record.cordoned = false;
    fleet_.commit(next);
}

void random_fleet::settle()
{
    log("faults end");
    const timestamp bound = fleet_.time.now() + settle_bound;
    while (history_.unanswered() > 0 && fleet_.time.now() < bound)
        step();
    history_.expect_all_answered(fleet_.time.now());
    const timestamp calm = fleet_.time.now() + calm_before_probes;
    while (fleet_.time.now() < calm)
        step();
    std::vector<std::size_t> probes;
    for (const std::string& host : fleet_.hosts()) {
        probes.push_back(submit(host, "t1", false));
        probes.push_back(submit(host, "t2", true));
        probes.push_back(submit(host, "", true));
    }
    const timestamp probed = fleet_.time.now() + probe_bound;
    while (history_.unanswered() > 0 && fleet_.time.now() < probed)
        step();
    for (const std::size_t it : probes)
        history_.expect_completed(it, fleet_.time.now());
}

void random_fleet::step()
{
    fleet_.run(step_length);
    observe_hosts();
    observe_starts();
    finish_tasks();
}

void random_fleet::start_sent(const std::string& host, const target_id& target, const start_order& order)
{
    history_.start_sent(order.task, order.body, host, target.str(), fleet_.time.now());
}

void random_fleet::list_received(const std::string& host, const std::vector<listed_host>& listed)
{
    std::set<target_id>& told = told_by_list_[host];
    told.clear();
    for (const listed_host& it : listed) {
        if (it.state == host_state::leaving)
            told.insert(it.id);
    }
}

void random_fleet::observe_hosts()
{
    const timestamp now = fleet_.time.now();
    std::map<std::string, std::int64_t> limits;
    for (const std::string& host : fleet_.hosts()) {
        if (!fleet_.alive(host)) {
            reachable_since_.erase(host);
            continue;
        }
        const std::shared_ptr<const fleet_config> config = fleet_.node(host).config();
        if (!fleet_.node(host).status().store_reachable || fleet_.paused(host))
            reachable_since_.erase(host);
        else
            reachable_since_.try_emplace(host, now);
        if (!config)
            continue;
        history_.config_in_force(host, incarnations_[host], config->version, now);
        for (const auto& [team, record] : config->teams)
            limits[team.str()] = std::max(limits[team.str()], record.limit);
        for (const auto& [id, record] : config->targets)
            history_.told_leaving(host, id.str(), record.cordoned || told_by_list_[host].contains(id), now);
    }
    for (const auto& [team, limit] : limits)
        history_.limit_in_force(team, limit, now);
}

void random_fleet::observe_starts()
{
    const timestamp now = fleet_.time.now();
    for (const auto& [id, record] : fleet_.config.targets) {
        const target_model& model = fleet_.targets.model(id);
        std::size_t& seen = runs_seen_[id];
        for (; seen < model.runs().size(); ++seen) {
            const task_run& run = model.runs()[seen];
            history_.started(run.task, run.request, id.str(), run.team.str(),
                             run.team.empty() ? 0 : fleet_.running_of(run.team.str()), run.started);
            const duration length =
                chance(0.02) ? between(seconds{8}, seconds{20}) : between(milliseconds{40}, seconds{2});
            ends_at_[run.task] = now + length;
        }
        history_.target_running(id.str(), model.running_count(), now);
    }
}

void random_fleet::finish_tasks()
{
    const timestamp now = fleet_.time.now();
    for (const auto& [id, record] : fleet_.config.targets) {
        for (const start_order& order : fleet_.targets.running_orders(id)) {
            const auto it = ends_at_.find(order.task);
            if (it == ends_at_.end() || it->second > now)
                continue;
            const bool fails = failing_.contains(id);
            fleet_.targets.finish(id, order.task, !fails, fails ? "error" : "done " + order.request.str());
        }
    }
}

bool random_fleet::usable(const std::string& host) const
{
    return fleet_.alive(host) && !fleet_.paused(host);
}

std::string random_fleet::random_live_host()
{
    std::vector<std::string> live;
    for (const std::string& host : fleet_.hosts()) {
        if (usable(host))
            live.push_back(host);
    }
    return live.empty() ? std::string{} : any_of(live);
}

duration random_fleet::between(duration least, duration most)
{
    return least + duration{static_cast<duration::rep>(
                       dice_.below(static_cast<std::uint64_t>((most - least).count())))};
}

std::size_t random_fleet::submit(const std::string& host, const std::string& team, bool idempotent)
{
    caller_request call = fleet_fixture::call(team, idempotent);
    if (!idempotent)
        call.ticket = fleet_.ticket(host, team);
    return submit(host, call, "w" + std::to_string(++last_work_));
}

std::size_t random_fleet::submit(const std::string& host, caller_request call, const std::string& work)
{
    call.body = work;
    const std::size_t n = history_.submitted(host, work, call.key, call.idempotent, fleet_.time.now());
    const std::uint64_t incarnation = incarnations_[host];
    const auto done = [this, n, host, incarnation](caller_answer answer) {
        if (settings_.alter_answer)
            settings_.alter_answer(answer);
        if (incarnations_[host] == incarnation)
            history_.answered(n, answer.id, answer.result, fleet_.time.now());
    };
    // A caller that does not wait is given the identifier at once, which the cancellations need.
    std::function<void(const request_id&)> accepted;
    if (!call.idempotent || chance(0.5)) {
        accepted = [this, work, key = call.key, idempotent = call.idempotent](const request_id& id) {
            requests_.push_back({work, key, idempotent, id});
        };
    }
    fleet_.node(host).callers().submit(call, accepted, done);
    return n;
}

void random_fleet::submit_random()
{
    const std::string host = random_live_host();
    if (host.empty())
        return;
    if (!tickets_.empty() && chance(0.2)) {
        resubmit_ticket(host);
        return;
    }
    constexpr std::array<const char*, 5> teams{"t1", "t1", "t1", "t2", ""};
    const std::string team = any_of(teams);
    const bool idempotent = team.empty() || chance(0.4);
    caller_request call = fleet_fixture::call(team, idempotent);
    call.timeout = between(milliseconds{500}, seconds{10});
    call.urgency = chance(0.2) ? priority::urgent : priority::normal;
    if (chance(0.1))
        call.declared = resources{static_cast<std::int64_t>(dice_.below(130'000)), 1, 0, 0};
    if (chance(0.1))
        call.declared_run = between(milliseconds{1}, std::chrono::hours{1});
    const std::string work = "w" + std::to_string(++last_work_);
    if (!idempotent) {
        call.ticket = fleet_.ticket(host, team);
        tickets_.push_back({work, team, call.ticket, fleet_.time.now()});
    }
    submit(host, call, work);
    if (requests_.size() > 1 && chance(0.08))
        cancel_request(
            requests_[requests_.size() - 1 - dice_.below(std::min<std::size_t>(10, requests_.size()))]);
}

void random_fleet::resubmit_ticket(const std::string& host)
{
    constexpr std::size_t recent = 12;
    const known_ticket chosen =
        tickets_[tickets_.size() - 1 - dice_.below(std::min<std::size_t>(recent, tickets_.size()))];
    caller_request call = fleet_fixture::call(chosen.team, false, chosen.text);
    call.timeout = between(milliseconds{500}, seconds{10});
    submit(host, call, chosen.work);
}

void random_fleet::cancel_request(const known_request& request)
{
    const std::string host = random_live_host();
    if (host.empty())
        return;
    const std::size_t n =
        history_.submitted(host, request.work, request.key, request.idempotent, fleet_.time.now());
    const std::uint64_t incarnation = incarnations_[host];
    fleet_.node(host).callers().cancel(
        request.key, request.id, [this, n, host, incarnation](const caller_answer& answer) {
            if (incarnations_[host] != incarnation)
                return;
            // A refusal of the cancellation itself says nothing about the request.
            const bool refused =
                answer.result.kind == outcome_kind::refused_not_run &&
                (answer.result.why == reason::key_invalid ||
                 answer.result.why == reason::key_not_verifiable || answer.result.why == reason::overloaded);
            history_.answered(n, refused ? request_id{} : answer.id, answer.result, fleet_.time.now());
        });
}

std::vector<std::string> random_fleet::violations() const
{
    std::vector<std::string> all = history_.violations();
    for (const std::string& it : fleet_.violations)
        all.push_back("program's check: " + it);
    return all;
}

std::string random_fleet::trace() const
{
    std::ostringstream out;
    for (const std::string& it : log_)
        out << it << '\n';
    std::set<std::string> works;
    for (const std::string& it : violations()) {
        out << "violation " << it << '\n';
        std::istringstream words{it};
        for (std::string word; words >> word;) {
            while (!word.empty() && word.back() == ':')
                word.pop_back();
            if (word.starts_with('w') && works.insert(word).second)
                out << history_.trace(word);
        }
    }
    return out.str();
}

} // namespace mjm
