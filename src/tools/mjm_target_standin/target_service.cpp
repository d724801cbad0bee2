#include "target_service.h"

#include "core/clock.h"
#include "core/random_source.h"
#include "net/io_runtime.h"
#include "platform/body_digest.h"
#include "platform/error_body.h"
#include "platform/store_codec.h"
#include "platform/target_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mjm {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds expiry_interval{200};
constexpr std::chrono::milliseconds default_run{10};
// Start messages carry a caller's body of up to 1 MB and a few hundred bytes of their own.
constexpr std::size_t max_body = 2 << 20;
constexpr std::int64_t max_run_ms = 24LL * 3600 * 1000;
constexpr std::int64_t max_answer_bytes = 16 << 20;

struct fault_settings {
    bool fail_all = false;          ///< Every task ends at once with a failure.
    double truncate = 0.0;          ///< Probability that a result loses its last bytes.
    double cross = 0.0;             ///< Probability that a result is mixed up with another task's.
    double drop_after_start = 0.0;  ///< Probability that the connection is closed once a task has started.
    double drop_before_start = 0.0; ///< Probability that a start is lost without effect.
    std::int64_t delay_ms = 0;      ///< Before each answer.
    std::set<std::string> blocked_clients;
};

json to_json(const fault_settings& f)
{
    return {{"fail_all", f.fail_all},
            {"truncate", f.truncate},
            {"cross", f.cross},
            {"drop_after_start", f.drop_after_start},
            {"drop_before_start", f.drop_before_start},
            {"delay_ms", f.delay_ms},
            {"blocked_clients", f.blocked_clients}};
}

/// Replaces the fields that are present; throws when one has another type.
void update(fault_settings& f, const json& from)
{
    f.fail_all = from.value("fail_all", f.fail_all);
    f.truncate = from.value("truncate", f.truncate);
    f.cross = from.value("cross", f.cross);
    f.drop_after_start = from.value("drop_after_start", f.drop_after_start);
    f.drop_before_start = from.value("drop_before_start", f.drop_before_start);
    f.delay_ms = from.value("delay_ms", f.delay_ms);
    f.blocked_clients = from.value("blocked_clients", f.blocked_clients);
}

/// What a task's body asks for.
struct work_order {
    duration run{default_run};
    bool fail = false;
    std::int64_t answer_bytes = 0;
    json echo;
};

work_order parse_work(const std::string& body)
{
    work_order out;
    const json value = json::parse(body, nullptr, false);
    if (!value.is_object())
        return out;
    const auto number = [&value](const char* name, std::int64_t fallback, std::int64_t limit) {
        const auto it = value.find(name);
        return it != value.end() && it->is_number_integer()
                   ? std::clamp<std::int64_t>(it->get<std::int64_t>(), 0, limit)
                   : fallback;
    };
    out.run = std::chrono::milliseconds{number("run_ms", default_run.count(), max_run_ms)};
    out.answer_bytes = number("answer_bytes", 0, max_answer_bytes);
    const auto fail = value.find("fail");
    out.fail = fail != value.end() && fail->is_boolean() && fail->get<bool>();
    const auto echo = value.find("echo");
    if (echo != value.end())
        out.echo = *echo;
    return out;
}

std::string make_answer(const target_id& target, const start_order& order, const work_order& work)
{
    json answer{{"request", order.request.str()},    {"task", order.task.str()},
                {"team", order.team.str()},          {"target", target.str()},
                {"digest", body_digest(order.body)}, {"echo", work.echo}};
    if (work.answer_bytes > 0)
        answer["padding"] = std::string(static_cast<std::size_t>(work.answer_bytes), 'x');
    return answer.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_response cbor_response(std::string body)
{
    http_response response;
    response.content_type = "application/cbor";
    response.body = std::move(body);
    return response;
}

http_response json_response(const json& value)
{
    http_response response;
    response.body = value.dump(-1, ' ', false, json::error_handler_t::replace);
    return response;
}

http_response dropped()
{
    http_response response;
    response.status = 0;
    return response;
}

http_response malformed()
{
    return error_response(400, "malformed_message", "the body is not a valid message");
}

} // namespace

// All members are used on the I/O thread only, except `server_`.
class target_service::impl : public std::enable_shared_from_this<target_service::impl> {
public:
    impl(io_runtime& runtime, const target_service_settings& settings)
        : context_{runtime.context()}, settings_{settings}, random_{settings.seed},
          model_{settings.id, settings.model, clock_.now()}, expiry_timer_{context_}
    {
    }

    void open_server(io_runtime& runtime);
    [[nodiscard]] tl::expected<std::uint16_t, listen_errc> listen();
    void close();

private:
    using timer = boost::asio::steady_timer;

    void handle(const http_request& request, const http_server::responder& respond);
    void schedule_expiry();
    void handle_call(const http_request& request, const http_server::responder& respond);
    void handle_start(const http_request& request, const http_server::responder& respond);
    void handle_fetch(const http_request& request, const http_server::responder& respond);
    http_response handle_admin(const http_request& request);
    http_response reboot(std::int64_t down_ms);
    void execute(const start_order& order);
    void answer_waiters();
    http_response result_response(const task_id& task);
    void reply(const http_server::responder& respond, http_response response);
    http_response refuse(target_errc ec);
    json runs_json() const;
    json state_json() const;

    boost::asio::io_context& context_;
    const target_service_settings settings_;
    system_clock_source clock_;
    seeded_random random_;
    target_model model_;
    fault_settings faults_;
    timer expiry_timer_;
    std::map<task_id, std::shared_ptr<timer>> run_timers_;
    std::map<task_id, std::vector<http_server::responder>> waiters_;
    std::optional<task_result> last_result_; ///< Source of crossed answers.
    timestamp down_until_;
    std::optional<http_server> server_;
    std::size_t connections_high_water_ = 0;
    std::map<std::string, std::uint64_t> calls_;
    std::map<std::string, std::uint64_t> refusals_;
    std::uint64_t faults_injected_ = 0;
    bool closed_ = false;
};

void target_service::impl::handle(const http_request& request, const http_server::responder& respond)
{
    if (request.path.starts_with("/admin/")) {
        respond(handle_admin(request));
        answer_waiters();
        return;
    }
    connections_high_water_ = std::max(connections_high_water_, server_->open_connections());
    if (clock_.now() < down_until_ ||
        faults_.blocked_clients.contains(std::string{request.header(client_header)})) {
        respond(dropped());
        return;
    }
    const std::string_view to = request.header(target_to_header);
    if (!to.empty() && to != settings_.id.str()) {
        respond(refuse(target_errc::not_connected));
        return;
    }
    ++calls_[request.path];
    handle_call(request, respond);
    answer_waiters();
}

void target_service::impl::handle_call(const http_request& request, const http_server::responder& respond)
{
    const timestamp now = clock_.now();
    const target_id& id = settings_.id;
    if (request.path == target_challenge_path) {
        reply(respond, cbor_response(encode_challenge(id, model_.challenge(now))));
    } else if (request.path == target_lease_path) {
        const tl::expected<open_lease_message, codec_errc> m = decode_open_lease(request.body);
        if (!m) {
            reply(respond, malformed());
            return;
        }
        const tl::expected<lease_grant, target_errc> grant =
            model_.open_lease(m->token, m->challenge, m->ttl, now);
        reply(respond, grant ? cbor_response(encode_grant(id, *grant)) : refuse(grant.error()));
    } else if (request.path == target_renew_path) {
        const tl::expected<lease_token, codec_errc> token = decode_renew(request.body);
        if (!token) {
            reply(respond, malformed());
            return;
        }
        const tl::expected<usage_report, target_errc> usage = model_.renew(*token, now);
        reply(respond, usage ? cbor_response(encode_usage(id, *usage)) : refuse(usage.error()));
    } else if (request.path == target_stop_path) {
        const tl::expected<stop_message, codec_errc> m = decode_stop(request.body);
        if (!m) {
            reply(respond, malformed());
            return;
        }
        const tl::expected<task_state, target_errc> state = model_.stop(m->token, m->task, now);
        if (!model_.running(m->task))
            run_timers_.erase(m->task);
        reply(respond, state ? cbor_response(encode_stopped(id, m->task, *state)) : refuse(state.error()));
    } else if (request.path == target_start_path) {
        handle_start(request, respond);
    } else if (request.path == target_result_path) {
        handle_fetch(request, respond);
    } else {
        reply(respond, error_response(404, "unknown_path"));
    }
}

void target_service::impl::handle_start(const http_request& request, const http_server::responder& respond)
{
    const tl::expected<start_message, codec_errc> m = decode_start(request.body);
    if (!m) {
        reply(respond, malformed());
        return;
    }
    if (random_.chance(faults_.drop_before_start)) {
        ++faults_injected_;
        respond(dropped());
        return;
    }
    const tl::expected<target_model::start_action, target_errc> action =
        model_.start(m->token, m->order, clock_.now());
    if (!action) {
        reply(respond, refuse(action.error()));
        return;
    }
    if (*action == target_model::start_action::execute) {
        execute(m->order);
        if (random_.chance(faults_.drop_after_start)) {
            ++faults_injected_;
            respond(dropped());
            return;
        }
    }
    waiters_[m->order.task].push_back(respond);
}

void target_service::impl::handle_fetch(const http_request& request, const http_server::responder& respond)
{
    const auto it = request.query.find("task");
    if (it == request.query.end()) {
        reply(respond, malformed());
        return;
    }
    const task_id task{it->second};
    const tl::expected<target_model::start_action, target_errc> action = model_.fetch(task, clock_.now());
    if (action)
        waiters_[task].push_back(respond);
    else
        reply(respond, refuse(action.error()));
}

void target_service::impl::execute(const start_order& order)
{
    work_order work = parse_work(order.body);
    if (faults_.fail_all) {
        work.fail = true;
        work.run = duration{0};
    }
    const std::shared_ptr<timer> t = std::make_shared<timer>(context_, work.run);
    run_timers_[order.task] = t;
    t->async_wait([weak = weak_from_this(), raw = t.get(), order, work](boost::system::error_code) {
        const std::shared_ptr<impl> self = weak.lock();
        if (!self)
            return;
        // The timer was replaced or removed when the task was stopped or lost.
        const auto it = self->run_timers_.find(order.task);
        if (it == self->run_timers_.end() || it->second.get() != raw)
            return;
        self->run_timers_.erase(it);
        self->model_.finish(order.task, !work.fail, make_answer(self->settings_.id, order, work),
                            self->clock_.now());
        self->answer_waiters();
    });
}

http_response target_service::impl::refuse(target_errc ec)
{
    ++refusals_[std::string{name_of(ec)}];
    return encode_refusal(ec);
}

http_response target_service::impl::result_response(const task_id& task)
{
    const tl::expected<task_result, target_errc> result = model_.result(task);
    if (!result)
        return refuse(result.error());
    http_response response = encode_result(*result);
    const std::optional<task_result> other = std::exchange(last_result_, *result);
    if (other && other->task != task && random_.chance(faults_.cross)) {
        ++faults_injected_;
        // Either the whole answer is another task's, or only its body is.
        http_response crossed = encode_result(*other);
        if (random_.chance(0.5))
            return crossed;
        response.body = std::move(crossed.body);
    } else if (!response.body.empty() && random_.chance(faults_.truncate)) {
        ++faults_injected_;
        response.body.resize(response.body.size() / 2);
    }
    return response;
}

void target_service::impl::answer_waiters()
{
    for (auto it = waiters_.begin(); it != waiters_.end();) {
        if (model_.running(it->first)) {
            ++it;
            continue;
        }
        for (const http_server::responder& respond : it->second)
            reply(respond, result_response(it->first));
        it = waiters_.erase(it);
    }
}

void target_service::impl::reply(const http_server::responder& respond, http_response response)
{
    if (faults_.delay_ms == 0) {
        respond(std::move(response));
        return;
    }
    const std::shared_ptr<timer> t =
        std::make_shared<timer>(context_, std::chrono::milliseconds{faults_.delay_ms});
    t->async_wait(
        [t, respond, response = std::move(response)](boost::system::error_code) { respond(response); });
}

void target_service::impl::schedule_expiry()
{
    expiry_timer_.expires_after(expiry_interval);
    expiry_timer_.async_wait([weak = weak_from_this()](boost::system::error_code) {
        const std::shared_ptr<impl> self = weak.lock();
        if (!self || self->closed_)
            return;
        for (const task_id& task : self->model_.expire(self->clock_.now()))
            self->run_timers_.erase(task);
        self->answer_waiters();
        self->schedule_expiry();
    });
}

void target_service::impl::open_server(io_runtime& runtime)
{
    http_server_settings settings;
    settings.address = settings_.address;
    settings.port = settings_.port;
    settings.max_body = max_body;
    server_.emplace(
        runtime, settings,
        [weak = weak_from_this()](const http_request& request, const http_server::responder& respond) {
            if (const std::shared_ptr<impl> self = weak.lock())
                self->handle(request, respond);
        });
}

tl::expected<std::uint16_t, listen_errc> target_service::impl::listen()
{
    const tl::expected<std::uint16_t, listen_errc> port = server_->listen();
    if (port)
        boost::asio::post(context_, [self = shared_from_this()] { self->schedule_expiry(); });
    return port;
}

void target_service::impl::close()
{
    server_->stop();
    boost::asio::post(context_, [self = shared_from_this()] {
        self->closed_ = true;
        self->expiry_timer_.cancel();
        self->run_timers_.clear();
        self->waiters_.clear();
    });
}

http_response target_service::impl::reboot(std::int64_t down_ms)
{
    const timestamp now = clock_.now();
    model_.reboot(now);
    run_timers_.clear();
    last_result_.reset();
    for (const auto& [task, responders] : waiters_) {
        for (const http_server::responder& respond : responders)
            respond(dropped());
    }
    waiters_.clear();
    down_until_ = now + std::chrono::milliseconds{down_ms};
    return json_response({{"boot_id", model_.boot_id()}});
}

json target_service::impl::runs_json() const
{
    json runs = json::array();
    for (const task_run& it : model_.runs())
        runs.push_back({{"task", it.task.str()},
                        {"request", it.request.str()},
                        {"team", it.team.str()},
                        {"state", name_of(it.state)},
                        {"started_us", it.started.time_since_epoch().count()},
                        {"ended_us", it.ended ? json(it.ended->time_since_epoch().count()) : json()}});
    return {{"target", settings_.id.str()},
            {"now_us", clock_.now().time_since_epoch().count()},
            {"runs", std::move(runs)}};
}

json target_service::impl::state_json() const
{
    return {{"target", settings_.id.str()},
            {"boot_id", model_.boot_id()},
            {"slots", settings_.model.slots},
            {"running", model_.running_count()},
            {"running_high_water", model_.running_high_water()},
            {"connections", server_->open_connections()},
            {"connections_high_water", connections_high_water_},
            {"calls", calls_},
            {"refusals", refusals_},
            {"faults_injected", faults_injected_}};
}

http_response target_service::impl::handle_admin(const http_request& request)
{
    json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return malformed();
    try {
        if (request.method == "GET") {
            if (request.path == "/admin/runs")
                return json_response(runs_json());
            if (request.path == "/admin/state")
                return json_response(state_json());
            if (request.path == "/admin/faults")
                return json_response(to_json(faults_));
        } else if (request.path == "/admin/faults") {
            fault_settings changed = faults_;
            update(changed, body);
            faults_ = std::move(changed);
            return json_response(to_json(faults_));
        } else if (request.path == "/admin/reboot") {
            return reboot(body.value("down_ms", std::int64_t{0}));
        } else if (request.path == "/admin/leaving") {
            model_.set_leaving(body.value("on", true));
            return json_response(state_json());
        } else if (request.path == "/admin/reset") {
            model_.clear_runs();
            connections_high_water_ = server_->open_connections();
            calls_.clear();
            refusals_.clear();
            faults_injected_ = 0;
            return json_response(state_json());
        }
    } catch (const json::exception&) {
        return malformed();
    }
    return error_response(404, "unknown_path");
}

target_service::target_service(io_runtime& runtime, const target_service_settings& settings)
    : impl_{std::make_shared<impl>(runtime, settings)}
{
    impl_->open_server(runtime);
}

target_service::~target_service()
{
    impl_->close();
}

tl::expected<std::uint16_t, listen_errc> target_service::listen()
{
    return impl_->listen();
}

} // namespace mjm
