#include "jobs/job_node.h"

namespace mjm {

namespace {

leadership_settings with_address(leadership_settings settings, const std::string& address)
{
    settings.self = address;
    return settings;
}

} // namespace

job_node::job_node(job_node_settings settings, job_node_services services)
    : settings_{std::move(settings)}, services_{std::move(services)}, front_{settings_.front,
                                                                             services_.store,
                                                                             services_.leader,
                                                                             services_.time,
                                                                             services_.log,
                                                                             services_.metrics},
      evacuation_gauges_{services_.metrics}, election_{
                                                 services_.store, services_.time, services_.random,
                                                 with_address(settings_.election, settings_.peer_address),
                                                 [this](leadership_event event, const std::string& detail) {
                                                     on_election(event, detail);
                                                 }}
{
}

void job_node::on_election(leadership_event event, const std::string& detail)
{
    services_.log.info(event, {{"detail", detail}, {"token", election_.token()}});
    // `tick` creates and destroys the leader, since this call may come from within the leader.
    if (event == leadership_event::gained)
        start_leader_ = true;
    else if (event == leadership_event::lost) {
        start_leader_ = false;
        end_leader_ = true;
    }
}

void job_node::tick()
{
    if (step_down_) {
        step_down_ = false;
        election_.step_down(step_down_reason_);
    }
    election_.tick();
    if (end_leader_) {
        end_leader_ = false;
        leader_.reset();
    }
    if (start_leader_ && config_) {
        start_leader_ = false;
        leader_ = std::make_unique<job_leader>(
            settings_.leader,
            job_leader_services{services_.store, services_.orders, services_.directory, services_.hosts,
                                services_.callbacks, services_.time, services_.log, services_.metrics,
                                services_.config_known_at},
            election_.token(), config_, [this] { return election_.lease_until(); },
            [this](const std::string& why) {
                step_down_reason_ = why;
                step_down_ = true;
            });
        leader_->set_requests(requests_);
    }
    if (leader_)
        leader_->tick();
    evacuation_gauges_.set(leader_ ? leader_->evacuation() : evacuation_state{});
}

void job_node::set_config(std::shared_ptr<const fleet_config> config)
{
    config_ = std::move(config);
    front_.set_config(config_);
    if (leader_)
        leader_->set_config(config_);
}

void job_node::set_waves(const std::map<std::string, maintenance_wave>& waves)
{
    requests_.waves = waves;
    if (leader_)
        leader_->set_requests(requests_);
}

void job_node::set_evacuated_zones(const std::set<zone_id>& zones)
{
    requests_.evacuated_zones = zones;
    if (leader_)
        leader_->set_requests(requests_);
}

void job_node::recover(const std::string& why)
{
    election_.recover(why);
}

void job_node::resign()
{
    election_.resign();
}

} // namespace mjm
