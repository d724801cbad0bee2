#include "decision_service.h"

#include "core/invariant.h"
#include "kernel/kernel.h"
#include "listening/io_service.h"
#include "net/http_code.h"
#include "platform/error_body.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace mjm {

namespace {

constexpr duration tick_interval{std::chrono::milliseconds{20}};
constexpr duration publish_interval{std::chrono::seconds{1}};
constexpr std::size_t max_timeline_batch = 2000;

entry_node_settings node_settings(const entry_program_settings& settings)
{
    entry_node_settings result;
    result.self.endpoint = {settings.host, settings.address, settings.peer_port};
    result.self.zone = settings.zone;
    return result;
}

std::size_t query_number(const http_request& request, const char* name, std::size_t fallback)
{
    const auto it = request.query.find(name);
    if (it == request.query.end())
        return fallback;
    std::size_t value = fallback;
    std::from_chars(it->second.data(), it->second.data() + it->second.size(), value);
    return value;
}

} // namespace

decision_service::decision_service(const entry_program_settings& settings, const clock& time, logger log,
                                   metric_registry& metrics)
    : settings_{settings}, time_{time}, log_{std::move(log)}, metrics_{metrics}, random_{entropy_seed()},
      events_{settings.host, settings.zone, time, settings.timeline_capacity},
      thread_{{"decisions", settings.request_queue, tick_interval}, [this] { tick(); }}
{
    if (!settings_.timeline_file.empty())
        writer_ = std::make_unique<timeline_writer>(events_, settings_.timeline_file);
}

decision_service::~decision_service() = default;

tl::expected<void, start_failure> decision_service::start(const kernel& services)
{
    const tl::expected<io_service*, lookup_errc> io = services.find<io_service>("io");
    if (!io)
        return tl::unexpected{start_failure{"no network thread"}};
    io_runtime& runtime = (*io)->runtime();
    executor& replies = thread_.executor();
    client_ = std::make_unique<http_client>(runtime, http_client_settings{});
    target_http_ = std::make_unique<http_client>(runtime, http_client_settings{});
    const platform_endpoint platform{{settings_.store_address, settings_.store_port}, settings_.host.str()};
    store_ = std::make_unique<http_kv_store>(*client_, replies, platform);
    hosts_ = std::make_unique<http_host_list>(*client_, replies, platform);
    targets_ = std::make_unique<http_target_client>(*target_http_, replies,
                                                    http_target_client_settings{settings_.host.str()});
    peers_ = std::make_unique<http_peer_client>(*client_, replies, http_peer_client_settings{});
    node_ = std::make_unique<entry_node>(
        node_settings(settings_),
        entry_services{*store_, *targets_, *peers_, *hosts_, time_, random_, events_});
    callers_ =
        std::make_unique<caller_api>(node_->callers(), time_, caller_api_settings{settings_.longest_wait});
    peer_handler_ = std::make_unique<peer_api>(*node_, settings_.host);
    admin_settings admin;
    admin.bootstrap_token = settings_.bootstrap_token;
    operators_ = std::make_unique<admin_api>(node_->commits(), node_->replica(), node_->progress(),
                                             node_->freshness(), admin);
    events_.record(timeline_kind::process_started);
    log_.info("process_started", {{"host", settings_.host}, {"zone", settings_.zone}});
    thread_.start();
    return {};
}

void decision_service::stop() noexcept
{
    thread_.stop();
    events_.record(timeline_kind::process_stopped);
    if (writer_)
        (void)writer_->write_new();
    log_.info("process_stopped", {{"host", settings_.host}});
    // The adapters' callbacks run on the thread that has just ended; none is left.
    client_.reset();
    target_http_.reset();
}

void decision_service::post_request(std::function<void()> work, const http_server::responder& respond,
                                    const http_response& when_full)
{
    if (!thread_.executor().try_post(work))
        respond(when_full);
}

void decision_service::on_caller(http_request request, const http_server::responder& respond)
{
    post_request([this, request = std::move(request), respond] { callers_->handle(request, respond); },
                 respond, caller_api::overloaded());
}

void decision_service::on_peer(http_request request, const http_server::responder& respond)
{
    post_request([this, request = std::move(request), respond] { peer_handler_->handle(request, respond); },
                 respond, error_response(http_code::service_unavailable, "refused"));
}

void decision_service::on_operator(http_request request, const http_server::responder& respond)
{
    post_request([this, request = std::move(request), respond] { answer_operator(request, respond); },
                 respond, error_response(http_code::service_unavailable, "overloaded"));
}

void decision_service::answer_operator(const http_request& request, const http_server::responder& respond)
{
    if (request.path.starts_with("/admin/")) {
        operators_->handle(request, time_.now(), time_.wall_now(), respond);
        return;
    }
    http_response response;
    if (request.path == "/healthz") {
        response.body = R"({"status":"ok"})";
    } else if (request.path == "/readyz") {
        response.status = node_->ready() ? 200 : http_code::service_unavailable;
        response.body = node_->ready() ? R"({"ready":true})" : R"({"ready":false})";
    } else if (request.path == "/metrics") {
        publish();
        response.content_type = metric_registry::content_type;
        response.body = metrics_.text();
    } else if (request.path == "/status") {
        response = status_response();
    } else if (request.path == "/timeline") {
        response.body = events_.fetch_json(query_number(request, "since", 0),
                                           query_number(request, "max", max_timeline_batch));
    } else {
        response = error_response(http_code::not_found, "not_found", request.path);
    }
    respond(response);
}

http_response decision_service::status_response() const
{
    const node_status status = node_->status();
    nlohmann::json body{{"host", status.host.str()},
                        {"zone", status.zone.str()},
                        {"config_version", status.config_version},
                        {"key_policy", name_of(status.keys)},
                        {"store_reachable", status.store_reachable},
                        {"draining", status.draining},
                        {"outstanding", status.outstanding},
                        {"shards", nlohmann::json::array()}};
    for (const shard_status& shard : status.shards)
        body["shards"].push_back({{"shard", to_string(shard.shard)},
                                  {"epoch", shard.epoch},
                                  {"queued", shard.load.queued},
                                  {"running", shard.load.running},
                                  {"free_slots", shard.load.free_slots}});
    http_response response;
    response.body = body.dump();
    return response;
}

void decision_service::tick()
{
    node_->tick();
    callers_->tick();
    operators_->tick(time_.now());
    drained_ = node_->drained();
    const timestamp now = time_.now();
    if (now >= next_publish_) {
        next_publish_ = now + publish_interval;
        publish();
        if (writer_)
            (void)writer_->write_new();
    }
}

void decision_service::publish()
{
    const node_status status = node_->status();
    metrics_.gauge("mjm_config_version", "Configuration version in force.")
        .set(static_cast<double>(status.config_version));
    metrics_.gauge("mjm_store_reachable", "1 while the platform's store answers.")
        .set(status.store_reachable ? 1.0 : 0.0);
    metrics_.gauge("mjm_outstanding_requests", "Callers' requests without an outcome.")
        .set(static_cast<double>(status.outstanding));
    metrics_.gauge("mjm_refused_full_ring", "Requests refused because the decision ring was full.")
        .set(static_cast<double>(thread_.executor().refused_requests()));
    double queued = 0.0;
    double running = 0.0;
    for (const shard_status& shard : status.shards) {
        queued += static_cast<double>(shard.load.queued);
        running += static_cast<double>(shard.load.running);
    }
    metrics_.gauge("mjm_owned_shards", "Shards owned by this host.")
        .set(static_cast<double>(status.shards.size()));
    metrics_.gauge("mjm_queued_requests", "Requests waiting in owned shards.").set(queued);
    metrics_.gauge("mjm_running_tasks", "Tasks of owned shards that may be running.").set(running);
    for (const auto& [which, name] : enum_names<invariant>::entries)
        metrics_
            .gauge("mjm_invariant_violations", "Violations found by the program's own checks.",
                   {{"invariant", std::string{name}}})
            .set(static_cast<double>(invariant_violations(which)));
}

void decision_service::drain()
{
    thread_.executor().post([this] {
        log_.info("drain_started", {{"host", settings_.host}});
        node_->drain();
    });
}

} // namespace mjm
