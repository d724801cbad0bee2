#include "fleet_simulation.h"

#include "jobs/job_codec.h"
#include "jobs/job_keys.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

using namespace std::chrono_literals;

namespace mjm {

namespace {

// The platform's `contact-ms`.
constexpr std::chrono::milliseconds contact_time{3000};

} // namespace

entry_host::entry_host(virtual_loop& loop, fake_transaction_store& store, fake_fleet& fleet,
                       const std::string& name, std::uint64_t seed)
    : link{loop, store}, loop_{loop}, orders_{loop, fleet}, directory_{loop, fleet},
      operations_{loop, fleet}, random_{seed}, name_{name}
{
    operations_.store = &store;
    orders_.in_touch = [this] { return in_touch(); };
}

void entry_host::kill()
{
    node.reset();
    last_fault_ = loop_.time().now();
}

void entry_host::note_faults()
{
    if (!node || !link.reachable || link.watches_stuck || link.lost_commits > 0 || link.late_commits > 0 ||
        directory_.frozen || !orders_.unreachable_hosts.empty())
        last_fault_ = loop_.time().now();
}

void entry_host::set_delays(duration answers, duration watches)
{
    link.answer_delay = answers;
    link.watch_delay = std::max(answers, watches);
    orders_.answer_delay = answers;
    directory_.delay = answers;
}

void entry_host::read_registrations(const fake_registrations& registrations)
{
    store_directory_ = std::make_unique<fake_store_directory>(link, loop_.time(), registrations);
}

bool entry_host::is_late() const
{
    return link.watch_delay > duration{0} || loop_.time().now() < link.late_until;
}

bool entry_host::in_touch() const
{
    return loop_.time().now() - last_fault_ >= contact_time;
}

void entry_host::start(std::shared_ptr<const fleet_config> config,
                       const std::map<std::string, maintenance_wave>& waves)
{
    job_node_settings settings;
    settings.peer_address = name_;
    target_directory& directory =
        store_directory_ ? static_cast<target_directory&>(*store_directory_) : directory_;
    node = std::make_unique<job_node>(
        settings, job_node_services{link, orders_, directory, &operations_, leader_, loop_, loop_.time(),
                                    random_, logger{sink_, name_}, metrics_,
                                    [this] { return config_frozen_at.value_or(loop_.time().now()); }});
    node->set_config(std::move(config));
    node->set_waves(waves);
}

fleet_simulation::fleet_simulation(std::uint64_t seed, int standby_hosts, discovery kind)
    : random{seed}, fleet{loop, random}, discovery_{kind}
{
    std::shared_ptr<fleet_config> c = std::make_shared<fleet_config>();
    queue_config q;
    q.id = queue_id{"q"};
    q.host = "h";
    q.prefix = "/q/";
    q.service = service_id{"s"};
    q.anonymous = true;
    q.max_attempts = 3;
    q.stretch = 2.0;
    c->queues.push_back(q);
    c->services.emplace(q.service, service_config{q.service, true, false});
    if (standby_hosts > 0) {
        const service_id off{"off"};
        c->services.emplace(off, service_config{off, true, true});
        for (int i = 0; i < standby_hosts; ++i)
            fleet.add_host("x" + std::to_string(i), off);
    }
    config = c;
    fleet.run_time = [this](const task_key& key) -> std::optional<duration> {
        if (key.job.str().starts_with("serving"))
            return std::nullopt;
        return duration{std::chrono::milliseconds{200 + random.below(1500)}};
    };
    for (int i = 0; i < 6; ++i)
        fleet.add_host("h" + std::to_string(i), service_id{"s"});
    for (std::uint64_t i = 0; i < 3; ++i) {
        hosts.push_back(
            std::make_unique<entry_host>(loop, store, fleet, "e" + std::to_string(i), seed * 10 + i));
        if (discovery_ == discovery::in_store)
            hosts.back()->read_registrations(registrations);
        hosts.back()->start(config, waves);
    }
}

void fleet_simulation::run_for(duration d)
{
    loop.run_for(d, [this] {
        fleet.step();
        if (discovery_ == discovery::in_store)
            registrations.step();
        for (const std::unique_ptr<entry_host>& h : hosts)
            h->note_faults();
        note_leader_faults();
        for (const std::unique_ptr<entry_host>& h : hosts) {
            if (h->node)
                h->node->tick();
            if (h->node && h->node->leader() != nullptr)
                query_states(*h->node->leader());
        }
    });
}

void fleet_simulation::note_leader_faults()
{
    if (last_leader_ == nullptr || !last_leader_->node || last_leader_->node->leader() == nullptr)
        last_leader_ = leader() == nullptr ? last_leader_ : leader();
    if (last_leader_ == nullptr)
        return;
    fleet.last_leader_fault = std::max(fleet.last_leader_fault, last_leader_->last_fault());
    if (last_leader_->is_late())
        fleet.last_leader_fault = loop.time().now();
}

void fleet_simulation::query_states(const job_leader& leader)
{
    for (const std::string& id : accepted) {
        const tl::expected<job_status, leader_errc> status = leader.state_of(job_id{id});
        if (status && status->state == job_state::completed)
            fleet.shown_completed.insert(job_id{id});
    }
}

void fleet_simulation::submit(const std::string& id, std::uint32_t tasks, bool permanent)
{
    if (permanent)
        fleet.limitless_attempts.insert(job_id{id});
    job_spec spec;
    step_spec step;
    step.tasks = tasks;
    step.need = fleet.task_need;
    step.estimate = 1s;
    step.permanent = permanent;
    step.max_unavailable = permanent ? 1 : 0;
    spec.steps.push_back(step);
    if (!permanent) {
        step.tasks = 1;
        step.after = {0};
        spec.steps.push_back(step);
    }
    for (const std::unique_ptr<entry_host>& h : hosts) {
        if (!h->node)
            continue;
        h->node->front().submit({"h", "/q/" + id, {}}, spec,
                                [this, id](const tl::expected<void, front_errc>& r) {
                                    if (r)
                                        accepted.insert(id);
                                });
        return;
    }
}

void fleet_simulation::start_wave(const maintenance_wave& wave)
{
    waves[wave.name] = wave;
    for (const std::unique_ptr<entry_host>& h : hosts) {
        if (h->node)
            h->node->set_waves(waves);
    }
}

void fleet_simulation::evacuate(const std::set<zone_id>& zones)
{
    std::erase_if(fleet.evacuated, [&zones](const auto& entry) { return !zones.contains(entry.first); });
    for (const zone_id& zone : zones)
        fleet.evacuated.try_emplace(zone, loop.time().now());
    for (const std::unique_ptr<entry_host>& h : hosts) {
        if (h->node && !h->config_frozen_at)
            h->node->set_evacuated_zones(zones);
    }
}

void fleet_simulation::cancel(const std::string& id, entry_host& through)
{
    if (!through.node)
        return;
    cancel_requested.insert(id);
    through.node->front().cancel({"h", "/q/" + id, {}},
                                 [this, id, &through](const tl::expected<void, front_errc>& r) {
                                     if (r)
                                         fleet.cancelled.try_emplace(job_id{id}, loop.time().now());
                                     else if (r.error() == front_errc::outcome_unknown)
                                         loop.after(500ms, [this, id, &through] { cancel(id, through); });
                                 });
}

void fleet_simulation::cut_zone(entry_host& entry, const std::set<std::string>& zone_hosts)
{
    for (const std::unique_ptr<entry_host>& h : hosts) {
        const bool inside = h.get() == &entry;
        h->link.reachable = !inside;
        h->directory().frozen = inside;
        h->orders().unreachable_hosts.clear();
        for (const host_info& target_host : fleet.hosts()) {
            if (zone_hosts.contains(target_host.id) != inside)
                h->orders().unreachable_hosts.insert(target_host.id);
        }
    }
}

void fleet_simulation::mend_zone()
{
    for (const std::unique_ptr<entry_host>& h : hosts) {
        h->link.reachable = true;
        h->directory().frozen = false;
        h->orders().unreachable_hosts.clear();
    }
}

void fleet_simulation::set_registrations_lapsed(bool lapsed)
{
    for (const std::unique_ptr<entry_host>& h : hosts) {
        h->directory().lapsed_hosts.clear();
        for (const host_info& target_host : fleet.hosts()) {
            if (lapsed)
                h->directory().lapsed_hosts.insert(target_host.id);
        }
    }
}

entry_host* fleet_simulation::leader()
{
    for (const std::unique_ptr<entry_host>& h : hosts) {
        if (h->node && h->node->leader() != nullptr)
            return h.get();
    }
    return nullptr;
}

bool fleet_simulation::completed(const std::string& id)
{
    const fake_transaction_store::record* r = store.find(std::string{job_keys::progress} + id);
    return r != nullptr && r->value.find("\"completed\"") != std::string::npos;
}

job_state fleet_simulation::stored_state(const std::string& id)
{
    const fake_transaction_store::record* r = store.find(std::string{job_keys::progress} + id);
    return r == nullptr ? job_state::pending : decode_progress_state(r->value).value_or(job_state::pending);
}

std::uint64_t environment_number(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

} // namespace mjm
