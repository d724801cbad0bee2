#include "random_fleet.h"

#include <algorithm>
#include <array>
#include <sstream>

namespace mjm {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A host that answered a question about the store has promised no commit for 3 s.
constexpr duration promise_over{seconds{4}};

} // namespace

void random_fleet::log(const std::string& event)
{
    std::ostringstream out;
    out << std::chrono::duration<double>(fleet_.time.now().time_since_epoch()).count() << " s " << event;
    log_.push_back(out.str());
}

bool random_fleet::busy(const std::string& subject) const
{
    return std::any_of(faults_.begin(), faults_.end(),
                       [&](const active_fault& it) { return it.subject == subject; });
}

void random_fleet::add_fault(const std::string& subject, duration length, std::function<void()> undo)
{
    log(subject + " for " + std::to_string(std::chrono::duration<double>(length).count()) + " s");
    faults_.push_back({subject, fleet_.time.now() + length, std::move(undo)});
}

void random_fleet::end_faults(bool all)
{
    std::vector<active_fault> over;
    const timestamp now = fleet_.time.now();
    std::erase_if(faults_, [&](const active_fault& it) {
        if (!all && it.until > now)
            return false;
        over.push_back(it);
        return true;
    });
    for (const active_fault& it : over)
        it.undo();
}

void random_fleet::begin_fault()
{
    using fault = void (random_fleet::*)();
    constexpr std::array<fault, 13> kinds{
        &random_fleet::fault_messages,  &random_fleet::fault_messages, &random_fleet::fault_pause,
        &random_fleet::fault_crash,     &random_fleet::fault_crash,    &random_fleet::fault_drain,
        &random_fleet::fault_store,     &random_fleet::fault_cut,      &random_fleet::fault_partition,
        &random_fleet::fault_host_list, &random_fleet::fault_target,   &random_fleet::fault_target,
        &random_fleet::change_config};
    // Faults come together more often than chance would have it.
    do {
        if (chance(0.1))
            fault_cancellations();
        else
            (this->*kinds.at(dice_.below(kinds.size())))();
    } while (chance(0.4));
}

void random_fleet::fault_messages()
{
    if (busy("messages"))
        return;
    const double scale = chance(0.2) ? 0.15 : 0.03;
    message_fault_rates rates;
    rates.lose = scale * dice_.uniform01();
    rates.late = scale * dice_.uniform01();
    rates.duplicate = scale * dice_.uniform01();
    rates.delay = scale * 2 * dice_.uniform01();
    rates.reorder = scale * 2 * dice_.uniform01();
    rates.starts_too = settings_.duplicate_starts;
    messages_.set_rates(rates);
    add_fault("messages", between(seconds{2}, seconds{15}), [this] { messages_.set_rates({}); });
}

void random_fleet::fault_pause()
{
    const std::string host = random_live_host();
    if (host.empty() || busy(host))
        return;
    fleet_.pause(host, true);
    add_fault(host, between(milliseconds{500}, seconds{20}), [this, host] {
        log("resume " + host);
        fleet_.pause(host, false);
    });
}

void random_fleet::fault_crash()
{
    const std::string host = random_live_host();
    if (host.empty() || busy(host))
        return;
    log("crash " + host);
    ++incarnations_[host];
    history_.host_crashed(host);
    told_by_list_.erase(host);
    fleet_.kill(host);
    add_fault(host, between(milliseconds{200}, seconds{20}), [this, host] {
        log("restart " + host);
        fleet_.restart(host);
    });
}

void random_fleet::fault_drain()
{
    const std::string host = random_live_host();
    if (host.empty() || busy(host))
        return;
    log("drain " + host);
    fleet_.node(host).drain();
    add_fault(host, between(seconds{5}, seconds{20}), [this, host] {
        log(fleet_.node(host).drained() ? "restart " + host : "crash while draining, restart " + host);
        ++incarnations_[host];
        history_.host_crashed(host);
        told_by_list_.erase(host);
        fleet_.kill(host);
        fleet_.restart(host);
    });
}

void random_fleet::fault_store()
{
    if (chance(0.4)) {
        log("lose store answers");
        fleet_.store.lose_next_write_answers(1 + dice_.below(8));
        return;
    }
    if (busy("store"))
        return;
    fleet_.store.set_unreachable(true);
    add_fault("store", between(seconds{1}, seconds{25}), [this] { fleet_.store.set_unreachable(false); });
}

void random_fleet::fault_cut()
{
    const std::string host = any_of(fleet_.hosts());
    const bool zone = chance(0.5);
    const std::string subject = "cut " + (zone ? fleet_.zone_of(host) : host);
    if (busy(subject))
        return;
    std::vector<std::string> hosts;
    for (const std::string& it : fleet_.hosts()) {
        if (it == host || (zone && fleet_.zone_of(it) == fleet_.zone_of(host)))
            hosts.push_back(it);
    }
    for (const std::string& it : hosts)
        fleet_.cut_from_store(it, true);
    add_fault(subject, between(seconds{1}, seconds{20}), [this, hosts] {
        for (const std::string& it : hosts)
            fleet_.cut_from_store(it, false);
    });
}

void random_fleet::fault_partition()
{
    constexpr std::array<std::pair<const char*, const char*>, 3> pairs{
        {{"z1", "z2"}, {"z1", "z3"}, {"z2", "z3"}}};
    const std::pair<std::string, std::string> zones = any_of(pairs);
    const std::string subject = "partition " + zones.first + " " + zones.second;
    if (busy(subject))
        return;
    fleet_.partition_zones(zones.first, zones.second, true);
    add_fault(subject, between(seconds{1}, seconds{20}),
              [this, zones] { fleet_.partition_zones(zones.first, zones.second, false); });
}

void random_fleet::publish_list()
{
    std::vector<listed_host> listed;
    for (const auto& [id, record] : fleet_.config.targets) {
        if (!unlisted_.contains(id))
            listed.push_back({id, listed_leaving_.contains(id) ? host_state::leaving : host_state::live});
    }
    fleet_.host_list.set(listed);
}

void random_fleet::fault_host_list()
{
    if (chance(0.2)) {
        if (busy("host list"))
            return;
        fleet_.host_list.set_unreachable(true);
        add_fault("host list", between(seconds{1}, seconds{20}),
                  [this] { fleet_.host_list.set_unreachable(false); });
        return;
    }
    const target_id id = any_of(fleet_.config.targets).first;
    const std::string subject = "listing of " + id.str();
    if (busy(subject))
        return;
    // Shorter than the list's lag of 60 s: an entry may be missing for a while, but not for good.
    std::set<target_id>& set = chance(0.5) ? listed_leaving_ : unlisted_;
    set.insert(id);
    publish_list();
    add_fault(subject, between(seconds{2}, seconds{40}), [this, id, &set] {
        set.erase(id);
        publish_list();
    });
}

void random_fleet::fault_target()
{
    const target_id id = any_of(fleet_.config.targets).first;
    const std::string& subject = id.str();
    if (busy(subject))
        return;
    switch (dice_.below(6)) {
    case 0:
        log("reboot " + subject);
        fleet_.targets.reboot(id);
        break;
    case 1:
        fleet_.targets.set_unreachable(id, true);
        add_fault(subject, between(seconds{1}, seconds{20}),
                  [this, id] { fleet_.targets.set_unreachable(id, false); });
        break;
    case 2:
        failing_.insert(id);
        add_fault(subject, between(seconds{1}, seconds{20}), [this, id] { failing_.erase(id); });
        break;
    case 3:
        log("bad answers of " + subject);
        fleet_.targets.lose_next_answers(id, 1 + dice_.below(6), target_errc::bad_response);
        break;
    case 4:
        log("lost answers of " + subject);
        fleet_.targets.lose_next_answers(id, 1 + dice_.below(6));
        break;
    default:
        fleet_.targets.model(id).set_leaving(true);
        add_fault(subject, between(seconds{1}, seconds{20}),
                  [this, id] { fleet_.targets.model(id).set_leaving(false); });
    }
}

void random_fleet::fault_cancellations()
{
    constexpr std::size_t most = 30;
    log("cancellations");
    const std::size_t first = requests_.size() > most ? requests_.size() - most : 0;
    const std::vector<known_request> recent{requests_.begin() + static_cast<std::ptrdiff_t>(first),
                                            requests_.end()};
    for (const known_request& it : recent)
        cancel_request(it);
}

std::string random_fleet::committer()
{
    const timestamp now = fleet_.time.now();
    for (const auto& [host, since] : reachable_since_) {
        const bool cut = busy("store") || busy("cut " + host) || busy("cut " + fleet_.zone_of(host));
        if (!cut && usable(host) && fleet_.node(host).config() && now - since >= promise_over)
            return host;
    }
    return {};
}

void random_fleet::commit(const fleet_config& next, const std::string& host)
{
    fleet_.commit(next);
    // The host that commits a version holds it from then on, so it does not vouch for the earlier one.
    while (fleet_.node(host).config()->version < next.version)
        step();
}

void random_fleet::change_config()
{
    const std::string host = committer();
    if (host.empty())
        return;
    fleet_config next = fleet_.config;
    ++next.version;
    const std::string team = chance(0.5) ? "t1" : "t2";
    const std::string key = "key-" + team;
    const std::string version = "version " + std::to_string(next.version) + ": ";
    std::vector<key_record>& keys = next.teams.at(team_id{team}).keys;
    const std::string subject = "key of " + team;
    switch (dice_.below(3)) {
    case 0:
        next.teams.at(team_id{team}).limit = 1 + static_cast<std::int64_t>(dice_.below(16));
        log(version + "limit of " + team + " " + std::to_string(next.teams.at(team_id{team}).limit));
        commit(next, host);
        break;
    case 1: {
        if (busy(subject))
            return;
        const std::vector<key_record> withdrawn = keys;
        keys.clear();
        log(version + "withdraw " + key);
        history_.key_withdrawn(key, fleet_.time.now());
        commit(next, host);
        add_fault(subject, between(seconds{8}, seconds{20}), [this, team, key, withdrawn] {
            fleet_config granted = fleet_.config;
            ++granted.version;
            granted.teams.at(team_id{team}).keys = withdrawn;
            fleet_.commit(granted);
            history_.key_granted(key);
        });
        break;
    }
    default: {
        const target_id id = any_of(next.targets).first;
        next.targets.at(id).cordoned = !next.targets.at(id).cordoned;
        log(version + "cordon " + id.str());
        commit(next, host);
    }
    }
}

} // namespace mjm
