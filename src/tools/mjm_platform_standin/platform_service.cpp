#include "platform_service.h"

#include "core/clock.h"
#include "core/enum_names.h"
#include "core/number_text.h"
#include "core/random_source.h"
#include "net/io_runtime.h"
#include "platform/error_body.h"
#include "platform/store_codec.h"
#include "store_model.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace mjm {

/// How the service behaves during an outage.
enum class outage_mode {
    none,
    refuse, ///< The port is closed.
    drop,   ///< Connections end without an answer, and the call has no effect.
    hang,   ///< No answer comes while the outage lasts, and the call has no effect.
};

template <>
struct enum_names<outage_mode> {
    static constexpr std::array<std::pair<outage_mode, std::string_view>, 4> entries{{
        {outage_mode::none, "none"},
        {outage_mode::refuse, "refuse"},
        {outage_mode::drop, "drop"},
        {outage_mode::hang, "hang"},
    }};
};

namespace {

using nlohmann::json;

// Larger than the store's limit of 1 MB, so that the store itself refuses what is too large.
constexpr std::size_t max_body = 2 << 20;

struct fault_settings {
    outage_mode outage = outage_mode::none;
    std::int64_t delay_ms = 0;             ///< Before each answer.
    double lose_answers = 0.0;             ///< Probability that a write takes effect and its answer is lost.
    std::int64_t rate_cap = 0;             ///< Calls per second; above it calls are refused. 0 for none.
    std::int64_t host_list_lag_ms = 0;     ///< Applies to host lists set afterwards.
    std::set<std::string> blocked_clients; ///< Their calls are dropped without effect.
};

json to_json(const fault_settings& f)
{
    return {{"outage", name_of(f.outage)},
            {"delay_ms", f.delay_ms},
            {"lose_answers", f.lose_answers},
            {"rate_cap", f.rate_cap},
            {"host_list_lag_ms", f.host_list_lag_ms},
            {"blocked_clients", f.blocked_clients}};
}

/// Replaces the fields that are present; false when the outage mode is unknown. Throws when a field has
/// another type.
bool update(fault_settings& f, const json& from)
{
    const std::optional<outage_mode> outage =
        parse_enum<outage_mode>(from.value("outage", std::string{name_of(f.outage)}));
    f.delay_ms = from.value("delay_ms", f.delay_ms);
    f.lose_answers = from.value("lose_answers", f.lose_answers);
    f.rate_cap = from.value("rate_cap", f.rate_cap);
    f.host_list_lag_ms = from.value("host_list_lag_ms", f.host_list_lag_ms);
    f.blocked_clients = from.value("blocked_clients", f.blocked_clients);
    f.outage = outage.value_or(f.outage);
    return outage.has_value();
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

http_response bad_parameters()
{
    return error_response(400, "bad_parameters", "a parameter is missing or malformed");
}

http_response done_response(const tl::expected<void, store_errc>& result)
{
    if (!result)
        return encode_store_error(result.error());
    http_response response;
    response.status = 204;
    return response;
}

http_response number_response(const tl::expected<std::uint64_t, store_errc>& result)
{
    return result ? encode_number(*result) : encode_store_error(result.error());
}

/// Query parameters; remembers when one is malformed.
class parameters {
public:
    explicit parameters(const http_request& request) : query_{request.query} {}

    [[nodiscard]] bool ok() const { return ok_; }
    std::string text(const std::string& name)
    {
        const auto it = query_.find(name);
        if (it != query_.end())
            return it->second;
        ok_ = false;
        return {};
    }
    std::optional<std::uint64_t> optional_number(const std::string& name)
    {
        const auto it = query_.find(name);
        if (it == query_.end())
            return std::nullopt;
        const std::optional<std::uint64_t> value = parse_integer<std::uint64_t>(it->second);
        ok_ = ok_ && value.has_value();
        return value;
    }
    std::uint64_t number(const std::string& name)
    {
        const std::optional<std::uint64_t> value = optional_number(name);
        ok_ = ok_ && value.has_value();
        return value.value_or(0);
    }

private:
    const std::map<std::string, std::string>& query_;
    bool ok_ = true;
};

} // namespace

// All members are used on the I/O thread only, except the servers before it starts and at the end.
class platform_service::impl : public std::enable_shared_from_this<platform_service::impl> {
public:
    impl(io_runtime& runtime, const platform_service_settings& settings)
        : runtime_{runtime}, settings_{settings}, random_{settings.seed}
    {
    }

    [[nodiscard]] tl::expected<platform_ports, listen_errc> listen();
    void close()
    {
        if (admin_)
            admin_->stop();
        if (service_)
            service_->stop();
    }

private:
    [[nodiscard]] tl::expected<std::uint16_t, listen_errc> open_service();
    void handle(const http_request& request, const http_server::responder& respond);
    std::optional<http_response> perform(const http_request& request, bool& is_write);
    std::optional<http_response> perform_on_key(const http_request& request, bool& is_write);
    [[nodiscard]] bool over_rate();
    void reply(const http_server::responder& respond, http_response response);
    http_response handle_admin(const http_request& request);
    http_response set_faults(const json& body);
    http_response set_hosts(const json& body);
    [[nodiscard]] const std::vector<listed_host>& visible_hosts();

    io_runtime& runtime_;
    const platform_service_settings settings_;
    system_clock_source clock_;
    seeded_random random_;
    store_model store_;
    fault_settings faults_;
    std::uint16_t port_ = 0;
    std::optional<http_server> service_;
    std::optional<http_server> admin_;
    std::vector<http_server::responder> held_;
    std::deque<std::pair<timestamp, std::vector<listed_host>>> hosts_; ///< From when each list is visible.
    std::vector<listed_host> no_hosts_;
    std::map<std::string, std::uint64_t> counters_;
    timestamp second_began_;
    std::int64_t calls_this_second_ = 0;
    std::int64_t max_calls_per_second_ = 0;
};

tl::expected<std::uint16_t, listen_errc> platform_service::impl::open_service()
{
    http_server_settings settings;
    settings.address = settings_.address;
    settings.port = port_ == 0 ? settings_.port : port_;
    settings.max_body = max_body;
    service_.emplace(
        runtime_, settings,
        [weak = weak_from_this()](const http_request& request, const http_server::responder& respond) {
            if (const std::shared_ptr<impl> self = weak.lock())
                self->handle(request, respond);
        });
    return service_->listen();
}

tl::expected<platform_ports, listen_errc> platform_service::impl::listen()
{
    const tl::expected<std::uint16_t, listen_errc> port = open_service();
    if (!port)
        return tl::unexpected{port.error()};
    port_ = *port;
    http_server_settings settings;
    settings.address = settings_.address;
    settings.port = settings_.admin_port;
    admin_.emplace(
        runtime_, settings,
        [weak = weak_from_this()](const http_request& request, const http_server::responder& respond) {
            if (const std::shared_ptr<impl> self = weak.lock())
                respond(self->handle_admin(request));
        });
    const tl::expected<std::uint16_t, listen_errc> admin_port = admin_->listen();
    if (!admin_port)
        return tl::unexpected{admin_port.error()};
    return platform_ports{port_, *admin_port};
}

bool platform_service::impl::over_rate()
{
    const timestamp now = clock_.now();
    if (now - second_began_ >= std::chrono::seconds{1}) {
        second_began_ = now;
        calls_this_second_ = 0;
    }
    ++calls_this_second_;
    max_calls_per_second_ = std::max(max_calls_per_second_, calls_this_second_);
    return faults_.rate_cap > 0 && calls_this_second_ > faults_.rate_cap;
}

void platform_service::impl::handle(const http_request& request, const http_server::responder& respond)
{
    ++counters_["calls"];
    if (faults_.outage == outage_mode::hang) {
        held_.push_back(respond);
        return;
    }
    if (faults_.outage != outage_mode::none ||
        faults_.blocked_clients.contains(std::string{request.header(client_header)})) {
        ++counters_["dropped"];
        respond(dropped());
        return;
    }
    if (over_rate()) {
        ++counters_["overloaded"];
        reply(respond, encode_store_error(store_errc::overloaded));
        return;
    }
    bool is_write = false;
    std::optional<http_response> response = perform(request, is_write);
    if (!response)
        response = error_response(404, "unknown_path");
    if (is_write && random_.chance(faults_.lose_answers)) {
        ++counters_["lost_answers"];
        reply(respond, dropped());
        return;
    }
    reply(respond, std::move(*response));
}

std::optional<http_response> platform_service::impl::perform(const http_request& request, bool& is_write)
{
    parameters query{request};
    const timestamp now = clock_.now();
    if (request.path == store_key_path)
        return perform_on_key(request, is_write);
    if (request.path == store_list_path && request.method == "GET") {
        ++counters_["lists"];
        const std::string prefix = query.text("prefix");
        return query.ok() ? encode_entries(store_.list(prefix, now)) : bad_parameters();
    }
    if (request.path == store_lease_path && request.method == "POST") {
        ++counters_["lease_calls"];
        is_write = true;
        const std::uint64_t ttl_us = query.number("ttl_us");
        return query.ok() ? encode_number(store_.grant_lease(duration{ttl_us}, now)) : bad_parameters();
    }
    if (request.path == store_keep_alive_path && request.method == "POST") {
        ++counters_["lease_calls"];
        is_write = true;
        const store_lease_id lease = query.number("lease");
        return query.ok() ? done_response(store_.keep_alive(lease, now)) : bad_parameters();
    }
    if (request.path == host_list_path && request.method == "GET") {
        ++counters_["host_list_reads"];
        return encode_hosts(visible_hosts());
    }
    return std::nullopt;
}

std::optional<http_response> platform_service::impl::perform_on_key(const http_request& request,
                                                                    bool& is_write)
{
    parameters query{request};
    const timestamp now = clock_.now();
    const std::string key = query.text("key");
    if (request.method == "GET") {
        ++counters_["reads"];
        const store_revision known = query.optional_number("known").value_or(0);
        if (!query.ok())
            return bad_parameters();
        const tl::expected<kv_read, store_errc> read = store_.get(key, known, now);
        return read ? encode_read(*read) : encode_store_error(read.error());
    }
    if (request.method != "PUT" && request.method != "DELETE")
        return std::nullopt;
    ++counters_["writes"];
    is_write = true;
    const std::optional<store_revision> expected = query.optional_number("expected");
    const store_lease_id lease = query.optional_number("lease").value_or(0);
    if (!query.ok())
        return bad_parameters();
    if (request.method == "DELETE")
        return done_response(store_.erase(key, expected, now));
    return number_response(store_.put({key, request.body, expected, lease}, now));
}

void platform_service::impl::reply(const http_server::responder& respond, http_response response)
{
    if (faults_.delay_ms == 0) {
        respond(std::move(response));
        return;
    }
    const std::shared_ptr<boost::asio::steady_timer> t = std::make_shared<boost::asio::steady_timer>(
        runtime_.context(), std::chrono::milliseconds{faults_.delay_ms});
    t->async_wait(
        [t, respond, response = std::move(response)](boost::system::error_code) { respond(response); });
}

const std::vector<listed_host>& platform_service::impl::visible_hosts()
{
    const timestamp now = clock_.now();
    while (hosts_.size() > 1 && hosts_[1].first <= now)
        hosts_.pop_front();
    return hosts_.empty() || hosts_.front().first > now ? no_hosts_ : hosts_.front().second;
}

http_response platform_service::impl::set_faults(const json& body)
{
    fault_settings changed = faults_;
    if (!update(changed, body))
        return bad_parameters();
    const outage_mode before = faults_.outage;
    faults_ = std::move(changed);
    if (faults_.outage != outage_mode::hang) {
        for (const http_server::responder& respond : std::exchange(held_, {}))
            respond(dropped());
    }
    if (faults_.outage == outage_mode::refuse) {
        service_.reset();
    } else if (before == outage_mode::refuse && !open_service()) {
        return error_response(500, "listen_failed", "the service port is in use");
    }
    return json_response(to_json(faults_));
}

http_response platform_service::impl::set_hosts(const json& body)
{
    http_response text;
    text.body = body.dump();
    tl::expected<std::vector<listed_host>, store_errc> hosts = decode_hosts(text);
    if (!hosts)
        return bad_parameters();
    const timestamp visible = clock_.now() + std::chrono::milliseconds{faults_.host_list_lag_ms};
    // A list set later replaces the pending ones that would become visible after it.
    while (!hosts_.empty() && hosts_.back().first > visible)
        hosts_.pop_back();
    hosts_.emplace_back(visible, std::move(*hosts));
    return json_response({{"lag_ms", faults_.host_list_lag_ms}});
}

http_response platform_service::impl::handle_admin(const http_request& request)
{
    const json body = request.body.empty() ? json::object() : json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return bad_parameters();
    try {
        if (request.path == "/admin/faults")
            return request.method == "GET" ? json_response(to_json(faults_)) : set_faults(body);
        if (request.path == "/admin/hosts" && request.method != "GET")
            return set_hosts(body);
        if (request.path == "/admin/counters" && request.method == "GET")
            return json_response({{"counters", counters_}, {"max_calls_per_second", max_calls_per_second_}});
        if (request.path == "/admin/reset" && request.method == "POST") {
            counters_.clear();
            max_calls_per_second_ = 0;
            return json_response(json::object());
        }
    } catch (const json::exception&) {
        return bad_parameters();
    }
    return error_response(404, "unknown_path");
}

platform_service::platform_service(io_runtime& runtime, const platform_service_settings& settings)
    : impl_{std::make_shared<impl>(runtime, settings)}
{
}

platform_service::~platform_service()
{
    impl_->close();
}

tl::expected<platform_ports, listen_errc> platform_service::listen()
{
    return impl_->listen();
}

} // namespace mjm
