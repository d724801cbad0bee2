#include "jobs/peer_jobs.h"

#include "core/number_text.h"
#include "jobs/job_codec.h"
#include "net/endpoint_text.h"
#include "net/http_code.h"

namespace mjm {

namespace {

// A leader answers from memory. If it takes longer than this, reading the store is faster.
constexpr std::chrono::milliseconds peer_timeout{400};

constexpr std::string_view owner_header = "job-owner";

} // namespace

peer_leader_link::peer_leader_link(http_client& client, executor& callbacks, source where)
    : client_{client}, callbacks_{callbacks}, where_{std::move(where)}
{
}

void peer_leader_link::state_of(const job_id& id, state_callback done)
{
    if (const job_leader* leader = where_.local()) {
        const tl::expected<job_status, leader_errc> status = leader->state_of(id);
        if (status)
            done(*status);
        else
            done(tl::unexpected{status.error() == leader_errc::unknown_job ? front_errc::unknown_job
                                                                           : front_errc::leader_unavailable});
        return;
    }
    ask("/jobs/" + id.str(), [done = std::move(done)](const tl::expected<http_response, front_errc>& r) {
        if (!r) {
            done(tl::unexpected{r.error()});
            return;
        }
        if (const std::optional<job_status> status = read_job_status(*r))
            done(*status);
        else
            done(tl::unexpected{front_errc::leader_unavailable});
    });
}

void peer_leader_link::waiting_jobs(const queue_id& queue, count_callback done)
{
    if (const job_leader* leader = where_.local()) {
        const tl::expected<std::size_t, leader_errc> count = leader->waiting_jobs(queue);
        if (count)
            done(*count);
        else
            done(tl::unexpected{front_errc::leader_unavailable});
        return;
    }
    ask("/queues/" + queue.str(), [done = std::move(done)](const tl::expected<http_response, front_errc>& r) {
        if (!r) {
            done(tl::unexpected{r.error()});
            return;
        }
        if (const std::optional<std::size_t> count = parse_integer<std::size_t>(r->body))
            done(*count);
        else
            done(tl::unexpected{front_errc::leader_unavailable});
    });
}

void peer_leader_link::ask(const std::string& path,
                           std::function<void(const tl::expected<http_response, front_errc>&)> done)
{
    const std::optional<http_endpoint> endpoint = parse_endpoint(where_.leader_address());
    if (!endpoint) {
        done(tl::unexpected{front_errc::leader_unavailable});
        return;
    }
    http_request request;
    request.method = "GET";
    request.path = path;
    client_.send(*endpoint, std::move(request), peer_timeout,
                 [&callbacks = callbacks_, done = std::move(done)](tl::expected<http_response, http_errc> r) {
                     tl::expected<http_response, front_errc> result{
                         tl::unexpected{front_errc::leader_unavailable}};
                     if (r && r->status == http_code::ok)
                         result = std::move(*r);
                     else if (r && r->status == http_code::not_found)
                         result = tl::unexpected{front_errc::unknown_job};
                     callbacks.post([done, result = std::move(result)] { done(result); });
                 });
}

std::optional<job_status> read_job_status(const http_response& answer)
{
    const std::optional<job_state> state = parse_enum<job_state>(answer.body);
    if (!state)
        return std::nullopt;
    job_status status{*state, std::nullopt};
    for (const auto& [name, value] : answer.headers) {
        if (name == owner_header)
            status.owner = decode_owner(value);
    }
    return status;
}

http_response answer_peer(const http_request& request, const job_leader* leader)
{
    http_response response;
    response.content_type = "text/plain";
    response.status = http_code::service_unavailable;
    const std::vector<std::string> path = request.path_segments();
    if (leader == nullptr || path.size() != 2)
        return response;
    if (path[0] == "jobs") {
        const tl::expected<job_status, leader_errc> status = leader->state_of(job_id{path[1]});
        if (status) {
            response.status = http_code::ok;
            response.body = name_of(status->state);
            // Not in the body, which earlier versions read as the state.
            if (status->owner)
                response.headers.emplace_back(owner_header, encode_owner(*status->owner));
        } else if (status.error() == leader_errc::unknown_job) {
            response.status = http_code::not_found;
        }
    } else if (path[0] == "queues") {
        const tl::expected<std::size_t, leader_errc> count = leader->waiting_jobs(queue_id{path[1]});
        if (count) {
            response.status = http_code::ok;
            response.body = std::to_string(*count);
        }
    } else {
        response.status = http_code::not_found;
    }
    return response;
}

} // namespace mjm
