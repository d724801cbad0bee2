#include "entry/entry_node.h"

#include "core/invariant.h"

#include <algorithm>

namespace mjm {

namespace {

outcome moved()
{
    return outcome{outcome_kind::refused_not_run, reason::moved, duration{0}, {}};
}

timeline_kind timeline_kind_of(shard_event event)
{
    switch (event) {
    case shard_event::started:
        return timeline_kind::task_started;
    case shard_event::ended:
        return timeline_kind::request_finished;
    case shard_event::retried:
        return timeline_kind::task_retried;
    case shard_event::taken_over:
        return timeline_kind::task_adopted;
    case shard_event::recovered:
        return timeline_kind::shard_recovered;
    case shard_event::target_opened:
        return timeline_kind::lease_opened;
    }
    return timeline_kind::request_unknown;
}

} // namespace

entry_node::entry_node(const entry_node_settings& settings, const entry_services& services)
    : settings_{settings}, services_{services}, membership_{settings.self, services.store, services.random,
                                                            settings.membership},
      replica_{services.store, settings.replica}, freshness_{settings.freshness},
      promise_{settings.freshness.promise}, commit_{services.store, promise_, config_commit_settings{}},
      progress_{config_progress_settings{}}, front_{*this, services.time, services.random, services.peers,
                                                    settings.front}
{
    membership_.on_gain([this](const shard_id& shard, shard_epoch epoch) { gain(shard, epoch); });
    membership_.on_loss([this](const shard_id& shard) { lose(shard); });
    commit_.on_commit([this](std::uint64_t version, const std::string& text, timestamp when) {
        replica_.offer(version, text, when);
        progress_.committed(version, when);
    });
    replica_.on_install([this](const std::shared_ptr<const fleet_config>& config) { install(config); });
}

entry_node::~entry_node()
{
    for (auto& [shard, owned] : owned_)
        owned->close();
}

void entry_node::tick()
{
    const timestamp now = services_.time.now();
    retired_.clear();
    membership_.tick(now);
    replica_.tick(now);
    drive_commits();
    if (now >= next_roster_) {
        next_roster_ = now + settings_.roster_interval;
        refresh_roster();
    }
    update_freshness();
    watch_changes();
    for (auto& [shard, owned] : owned_)
        owned->tick(now);
    front_.tick();
    if (now >= next_status_) {
        next_status_ = now + settings_.status_interval;
        exchange_status();
        update_remote_usage();
    }
    if (now >= next_host_list_ && !reading_host_list_) {
        next_host_list_ = now + settings_.host_list_interval;
        read_host_list();
    }
}

void entry_node::install(const std::shared_ptr<const fleet_config>& config)
{
    const std::set<shard_id> shards = config->shards();
    membership_.set_shards(shards);
    shards_of_.clear();
    for (const shard_id& shard : shards)
        shards_of_[shard.service].push_back(shard);
    membership_.set_config_version(config->version);
    progress_.committed(config->version, services_.time.now());
    freshness_.set_version(config->version);
    for (auto& [shard, owned] : owned_)
        owned->configure(*config);
    apply_host_list();
    timeline_fields fields;
    fields.version = config->version;
    services_.events.record(timeline_kind::config_installed, std::move(fields));
}

void entry_node::gain(const shard_id& shard, shard_epoch epoch)
{
    lose(shard);
    const target_lease::confirm_function confirm = [this, shard, epoch](std::function<void(bool)> done) {
        membership_.confirm_epoch(shard, epoch, std::move(done));
    };
    std::unique_ptr<owned_shard> owned = std::make_unique<owned_shard>(
        shard, epoch, services_.store, services_.time, services_.random, services_.targets, confirm,
        [this](const shard_event_record& event) { record_shard_event(event); },
        [this] { return store_reachable(); }, settings_.permits, settings_.shards);
    if (replica_.current())
        owned->configure(*replica_.current());
    owned_.emplace(shard, std::move(owned));
    apply_host_list();
    record(timeline_kind::shard_gained, shard, std::to_string(epoch));
}

void entry_node::lose(const shard_id& shard)
{
    const auto it = owned_.find(shard);
    if (it == owned_.end())
        return;
    std::unique_ptr<owned_shard> owned = std::move(it->second);
    owned_.erase(it);
    owned->close();
    retired_.push_back(std::move(owned));
    record(timeline_kind::shard_lost, shard, {});
}

std::optional<shard_route> entry_node::route(const shard_id& shard) const
{
    const auto it = owned_.find(shard);
    if (it != owned_.end())
        return shard_route{it->second->owner().epoch(), settings_.self.endpoint, &it->second->owner()};
    const std::optional<shard_owner_record> record = membership_.owner_of(shard);
    if (!record || record->owner == settings_.self.endpoint.id)
        return std::nullopt;
    const auto peer = endpoints_.find(record->owner);
    return peer == endpoints_.end() ? std::nullopt
                                    : std::optional{shard_route{record->epoch, peer->second, nullptr}};
}

const std::vector<shard_id>& entry_node::shards_of(const service_id& service) const
{
    static const std::vector<shard_id> none;
    const auto found = shards_of_.find(service);
    return found == shards_of_.end() ? none : found->second;
}

std::optional<shard_load> entry_node::load(const shard_id& shard) const
{
    const auto it = owned_.find(shard);
    if (it != owned_.end())
        return it->second->owner().load();
    return fleet_.load(shard, services_.time.now());
}

void entry_node::on_forward(const forwarded_request& message, outcome_function done)
{
    const auto it = owned_.find(message.shard);
    if (it == owned_.end() || it->second->owner().epoch() != message.epoch) {
        done(moved());
        return;
    }
    shard_owner& owner = it->second->owner();
    if (message.mode == forward_mode::submit)
        owner.submit(message.work, std::move(done));
    else
        owner.look_up(message.work.id, message.mode == forward_mode::wait, std::move(done));
}

void entry_node::on_cancel(const shard_id& shard, const request_id& id, outcome_function done)
{
    const auto it = owned_.find(shard);
    if (it == owned_.end())
        done(moved());
    else
        it->second->owner().cancel(id, std::move(done));
}

bool entry_node::store_reachable() const
{
    const std::optional<timestamp> contact = membership_.last_store_answer();
    return contact && services_.time.now() - *contact <= settings_.freshness.fresh_for;
}

void entry_node::refresh_roster()
{
    roster_ = membership_.members();
    endpoints_.clear();
    std::map<host_id, zone_id> committers{{settings_.self.endpoint.id, settings_.self.zone}};
    std::set<host_id> hosts;
    for (const member& peer : roster_) {
        endpoints_[peer.endpoint.id] = peer.endpoint;
        committers[peer.endpoint.id] = peer.zone;
        hosts.insert(peer.endpoint.id);
    }
    freshness_.set_committers(committers, settings_.self.endpoint.id);
    if (!hosts.empty())
        fleet_.forget_except(hosts);
}

void entry_node::update_freshness()
{
    freshness_.set_self_unreachable(!store_reachable());
    freshness_.set_commit_outstanding(promise_.outstanding_since());
    if (const std::optional<timestamp> confirmed = replica_.last_confirmed())
        freshness_.confirmed_at(*confirmed);
}

status_message entry_node::own_status()
{
    status_message message;
    message.host = settings_.self.endpoint.id;
    message.zone = settings_.self.zone;
    message.sent = services_.events.stamp();
    message.config_version = replica_.current() ? replica_.current()->version : 0;
    if (const std::optional<timestamp> confirmed = replica_.last_confirmed())
        message.confirmed_age = services_.time.now() - *confirmed;
    message.store_reachable = store_reachable();
    for (const auto& [shard, owned] : owned_) {
        message.shards.push_back(shard_status{shard, owned->owner().epoch(), owned->owner().load()});
        for (const auto& [team, count] : owned->owner().running_by_team())
            message.running[team] += count;
    }
    return message;
}

void entry_node::drive_commits()
{
    const timestamp now = services_.time.now();
    commit_.tick(now);
    if (now >= next_progress_) {
        next_progress_ = now + settings_.progress_interval;
        std::map<host_id, std::uint64_t> versions;
        for (const member& peer : roster_)
            versions[peer.endpoint.id] = peer.config_version;
        if (store_reachable())
            progress_.observe(versions, now);
    }
    if (now >= next_month_ && store_reachable() && replica_.current()) {
        next_month_ = now + settings_.month_interval;
        commit_.advance_month(services_.time.wall_now(), [](const change_result&) {});
    }
}

void entry_node::exchange_status()
{
    std::vector<member> peers;
    for (const member& peer : roster_) {
        if (peer.endpoint.id != settings_.self.endpoint.id)
            peers.push_back(peer);
    }
    // While the store cannot be reached, every host is asked, since only all of them together can rule out
    // a change that this host has not seen.
    std::size_t count = store_reachable() ? std::min(settings_.status_fanout, peers.size()) : peers.size();
    for (; count > 0; --count) {
        const std::size_t chosen = services_.random.below(peers.size());
        send_status(peers[chosen]);
        peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void entry_node::send_status(const member& peer)
{
    const timestamp asked = services_.time.now();
    status_message question = own_status();
    question.wants_config = !question.store_reachable && newest_heard_ > question.config_version;
    services_.peers.exchange_status(peer.endpoint, encode_status(question),
                                    [this, asked, alive = std::weak_ptr<int>{alive_}](
                                        const tl::expected<std::string, peer_errc>& answer) {
                                        if (alive.expired() || !answer)
                                            return;
                                        const tl::expected<status_message, status_errc> message =
                                            decode_status(*answer);
                                        if (message)
                                            receive_status(*message, asked);
                                        else
                                            ++malformed_;
                                    });
}

std::string entry_node::on_status(const std::string& message)
{
    const tl::expected<status_message, status_errc> decoded = decode_status(message);
    if (decoded)
        receive_status(*decoded, std::nullopt);
    else
        ++malformed_;
    return encode_status(status_answer(decoded ? std::optional{*decoded} : std::nullopt));
}

status_message entry_node::status_answer(const std::optional<status_message>& question)
{
    status_message answer = own_status();
    // Only the answer to a question promises: the asking host counts it from the time of its question.
    answer.no_commit_promised =
        question && !answer.store_reachable && promise_.give(services_.time.now()).has_value();
    if (question && question->wants_config && question->config_version < answer.config_version)
        answer.config = replica_.current_text();
    return answer;
}

void entry_node::receive_status(const status_message& message, std::optional<timestamp> asked)
{
    const timestamp now = services_.time.now();
    services_.events.observe(message.sent);
    fleet_.record(message, now);
    newest_heard_ = std::max(newest_heard_, message.config_version);
    if (message.store_reachable)
        freshness_.store_reachable_reported(message.host);
    else if (asked && message.no_commit_promised)
        freshness_.store_unreachable_reported(message.host, *asked, message.config_version);
    if (!asked || message.confirmed_age < duration{0})
        return;
    // Counted from the question, so that the time on the way errs on the side of older.
    const timestamp confirmed = *asked - message.confirmed_age;
    if (!message.config.empty())
        replica_.offer(message.config_version, message.config, confirmed);
    replica_.confirm(message.config_version, confirmed);
}

void entry_node::update_remote_usage()
{
    const std::shared_ptr<const fleet_config> config = replica_.current();
    if (!config)
        return;
    std::int64_t slots = 0;
    for (const auto& [id, target] : config->targets)
        slots += target.capacity.slots;
    if (slots == 0)
        return;
    std::map<team_id, std::int64_t> fleet_total = fleet_.running_elsewhere();
    std::map<shard_id, std::map<team_id, std::int64_t>> local;
    for (const auto& [shard, owned] : owned_) {
        local[shard] = owned->owner().running_by_team();
        for (const auto& [team, count] : local[shard])
            fleet_total[team] += count;
    }
    for (auto& [shard, owned] : owned_) {
        const double part =
            static_cast<double>(owned->owner().usable_capacity().slots) / static_cast<double>(slots);
        if (part > 0.0)
            owned->owner().set_fleet_fraction(std::min(part, 1.0));
        for (const auto& [team, record] : config->teams) {
            const std::int64_t here = local[shard][team];
            const std::int64_t elsewhere = fleet_total[team] - here;
            owned->owner().set_remote_usage(team,
                                            static_cast<double>(elsewhere) / static_cast<double>(slots));
        }
    }
}

void entry_node::read_host_list()
{
    reading_host_list_ = true;
    services_.hosts.read([this, alive = std::weak_ptr<int>{alive_}](
                             const tl::expected<std::vector<listed_host>, store_errc>& listed) {
        if (alive.expired())
            return;
        reading_host_list_ = false;
        if (!listed)
            return;
        listed_ = *listed;
        listed_at_ = services_.time.now();
        apply_host_list();
    });
}

void entry_node::apply_host_list()
{
    const std::shared_ptr<const fleet_config> config = replica_.current();
    if (!config || !listed_)
        return;
    std::map<target_id, host_state> states;
    for (const listed_host& host : *listed_)
        states[host.id] = host.state;
    for (const auto& [id, target] : config->targets) {
        const auto it = states.find(id);
        if (it != states.end())
            unlisted_since_.erase(id);
        else
            unlisted_since_.try_emplace(id, listed_at_);
        const bool leaving = it != states.end() && it->second == host_state::leaving;
        const bool gone =
            it == states.end() && listed_at_ - unlisted_since_.at(id) >= settings_.host_list_lag;
        for (auto& [shard, owned] : owned_)
            owned->owner().set_listed_state(id, leaving, gone);
    }
}

void entry_node::drain()
{
    if (draining_)
        return;
    draining_ = true;
    front_.drain();
    membership_.leave(services_.time.now());
    record(timeline_kind::drain_started, {}, {});
}

bool entry_node::drained() const
{
    return draining_ && membership_.has_left() && owned_.empty() && front_.outstanding() == 0;
}

bool entry_node::knows_owners() const
{
    return !shards_of_.empty() && std::all_of(shards_of_.begin(), shards_of_.end(), [this](const auto& it) {
        return std::any_of(it.second.begin(), it.second.end(),
                           [this](const shard_id& shard) { return route(shard).has_value(); });
    });
}

node_status entry_node::status() const
{
    node_status result;
    result.host = settings_.self.endpoint.id;
    result.zone = settings_.self.zone;
    result.config_version = replica_.current() ? replica_.current()->version : 0;
    result.keys = keys();
    result.store_reachable = store_reachable();
    result.draining = draining_;
    result.outstanding = front_.outstanding();
    for (const auto& [shard, owned] : owned_)
        result.shards.push_back(shard_status{shard, owned->owner().epoch(), owned->owner().load()});
    return result;
}

void entry_node::record(timeline_kind kind, const shard_id& shard, std::string detail)
{
    timeline_fields fields;
    if (!shard.service.empty())
        fields.shard = shard;
    fields.detail = std::move(detail);
    services_.events.record(kind, std::move(fields));
}

void entry_node::record_shard_event(const shard_event_record& event)
{
    timeline_fields fields;
    fields.team = event.team;
    fields.subject = event.target.str();
    fields.request = event.request;
    fields.shard = event.shard;
    fields.detail = event.detail;
    services_.events.record(timeline_kind_of(event.kind), std::move(fields));
}

void entry_node::watch_changes()
{
    // Readiness is not lost again with a service's last owner: other services can still be served.
    was_ready_ = was_ready_ || knows_owners();
    const bool reachable = store_reachable();
    if (reachable != store_was_reachable_)
        record(reachable ? timeline_kind::store_restored : timeline_kind::store_lost, {}, {});
    store_was_reachable_ = reachable;
    const key_policy policy = keys();
    if (policy != last_policy_)
        record(timeline_kind::key_policy_changed, {}, std::string{name_of(policy)});
    last_policy_ = policy;
}

} // namespace mjm
