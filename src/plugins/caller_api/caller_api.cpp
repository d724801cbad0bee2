#include "caller_api/caller_api.h"

#include "caller_api/caller_codec.h"
#include "core/number_text.h"
#include "net/http_code.h"
#include "platform/error_body.h"

namespace mjm {

namespace {

constexpr std::string_view bearer = "Bearer ";

std::string presented_key(const http_request& request)
{
    const std::string_view value = request.header("authorization");
    return value.starts_with(bearer) ? std::string{value.substr(bearer.size())} : std::string{};
}

std::string query_value(const http_request& request, const std::string& name, const std::string& fallback)
{
    const auto it = request.query.find(name);
    return it == request.query.end() ? fallback : it->second;
}

http_response refused_answer(reason why)
{
    return encode_answer(
        caller_answer{{}, outcome{outcome_kind::refused_not_run, why, duration{0}, {}}, false, {}});
}

} // namespace

caller_api::caller_api(front& callers, const clock& time, const caller_api_settings& settings)
    : front_{callers}, time_{time}, settings_{settings}
{
}

http_response caller_api::overloaded()
{
    return encode_answer(
        caller_answer{{},
                      outcome{outcome_kind::refused_not_run, reason::overloaded, std::chrono::seconds{1}, {}},
                      false,
                      {}});
}

void caller_api::handle(const http_request& request, responder respond)
{
    const std::vector<std::string> path = request.path_segments();
    const bool service_path = path.size() == 4 && path[0] == "v1" && path[1] == "services";
    const bool request_path = path.size() == 3 && path[0] == "v1" && path[1] == "requests";
    if (service_path && (path[3] == "requests" || path[3] == "tickets")) {
        if (request.method != "POST") {
            respond(error_response(http_code::method_not_allowed, "method_not_allowed", "use POST"));
        } else if (!is_valid_name(path[2])) {
            respond(error_response(http_code::bad_request, "bad_request", "malformed service name"));
        } else if (path[3] == "requests") {
            submit(service_id{path[2]}, request, std::move(respond));
        } else {
            issue_tickets(service_id{path[2]}, request, respond);
        }
    } else if (request_path && request.method == "GET") {
        look_up(request_id{path[2]}, request, std::move(respond));
    } else if (request_path && request.method == "DELETE") {
        cancel(request_id{path[2]}, request, std::move(respond));
    } else if (request_path) {
        respond(error_response(http_code::method_not_allowed, "method_not_allowed", "use GET or DELETE"));
    } else {
        respond(error_response(http_code::not_found, "not_found", request.path));
    }
}

std::shared_ptr<caller_api::waiting_call> caller_api::add_waiting_call(responder respond)
{
    std::shared_ptr<waiting_call> call = std::make_shared<waiting_call>();
    call->respond = std::move(respond);
    call->wait_until = time_.now() + settings_.longest_wait;
    waiting_.push_back(call);
    return call;
}

void caller_api::submit(const service_id& service, const http_request& request, responder respond)
{
    tl::expected<caller_request, bad_input> call = decode_submission(request.body);
    if (!call) {
        respond(error_response(http_code::bad_request, name_of(reason::bad_request),
                               call.error().pointer + ": " + call.error().detail));
        return;
    }
    call->service = service;
    call->key = presented_key(request);
    const bool asynchronous = query_value(request, "wait", "true") == "false";
    const std::shared_ptr<waiting_call> waiting = add_waiting_call(std::move(respond));
    const std::function<void(const request_id&)> accepted = [waiting](const request_id& id) {
        waiting->id = id;
        waiting->answered = true;
        waiting->respond(encode_pending(id));
    };
    front_.submit(*call, asynchronous ? accepted : std::function<void(const request_id&)>{},
                  [waiting](const caller_answer& answer) {
                      if (waiting->answered)
                          return;
                      waiting->answered = true;
                      waiting->respond(encode_answer(answer));
                  });
}

void caller_api::issue_tickets(const service_id& service, const http_request& request,
                               const responder& respond)
{
    const std::string text = query_value(request, "count", "1");
    const std::optional<std::size_t> count = parse_integer<std::size_t>(text);
    if (!count || *count < 1 || *count > settings_.max_tickets) {
        respond(
            error_response(http_code::bad_request, name_of(reason::bad_request),
                           "count: expected an integer from 1 to " + std::to_string(settings_.max_tickets)));
        return;
    }
    const tl::expected<std::vector<std::string>, reason> tickets =
        front_.issue_tickets(service, presented_key(request), *count);
    respond(tickets ? encode_tickets(*tickets) : refused_answer(tickets.error()));
}

void caller_api::look_up(const request_id& id, const http_request& request, responder respond)
{
    const bool wait = query_value(request, "wait", "false") == "true";
    const std::shared_ptr<waiting_call> waiting = add_waiting_call(std::move(respond));
    waiting->id = id;
    front_.look_up(presented_key(request), id, wait, [waiting](const caller_answer& answer) {
        if (waiting->answered)
            return;
        waiting->answered = true;
        waiting->respond(answer.result.why == reason::pending ? encode_pending(answer.id)
                                                              : encode_answer(answer));
    });
}

void caller_api::cancel(const request_id& id, const http_request& request, responder respond)
{
    const std::shared_ptr<waiting_call> waiting = add_waiting_call(std::move(respond));
    waiting->id = id;
    front_.cancel(presented_key(request), id, [waiting](const caller_answer& answer) {
        if (waiting->answered)
            return;
        waiting->answered = true;
        waiting->respond(encode_answer(answer));
    });
}

void caller_api::tick()
{
    const timestamp now = time_.now();
    for (const std::shared_ptr<waiting_call>& call : waiting_) {
        if (!call->answered && call->wait_until <= now) {
            call->answered = true;
            call->respond(encode_pending(call->id));
        }
    }
    std::erase_if(waiting_, [](const std::shared_ptr<waiting_call>& call) { return call->answered; });
}

} // namespace mjm
