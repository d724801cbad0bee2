#include "load_run.h"

#include "blocking_http.h"
#include "core/clock.h"
#include "core/random_source.h"
#include "net/io_runtime.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>

namespace mjm {

namespace {

using nlohmann::json;

constexpr duration resend_delay{std::chrono::milliseconds{50}};
constexpr duration poll_interval{std::chrono::milliseconds{200}};
constexpr duration answer_timeout{std::chrono::seconds{70}}; // Above the entry host's longest wait.
constexpr std::size_t max_held_tickets = 16;
constexpr std::size_t max_submissions = 100;
constexpr std::size_t connections_per_entry = 1500;

/// True for refusals that the same submission may not meet again later.
bool may_pass(reason why)
{
    switch (why) {
    case reason::bad_request:
    case reason::key_missing:
    case reason::key_invalid:
    case reason::unknown_service:
    case reason::ticket_invalid:
    case reason::ticket_expired:
    case reason::never_runnable:
        return false;
    default:
        return true;
    }
}

/// Work for one thread, in order of its time.
class timed_queue {
public:
    using work = std::function<void()>;

    explicit timed_queue(const clock& time) : time_{time} {}

    void post(work w) { post_at(timestamp{}, std::move(w)); }
    void post_at(timestamp at, work w)
    {
        {
            const std::lock_guard lock{mutex_};
            waiting_.emplace(at, std::move(w));
        }
        changed_.notify_one();
    }
    /// Runs work until `finished` or the time has come.
    void run(timestamp until, const std::function<bool()>& finished)
    {
        while (!finished() && time_.now() < until) {
            work next = take(until);
            if (next)
                next();
        }
    }

private:
    [[nodiscard]] work take(timestamp until)
    {
        std::unique_lock lock{mutex_};
        const timestamp now = time_.now();
        if (waiting_.empty() || waiting_.begin()->first > now) {
            const timestamp wake = waiting_.empty() ? until : std::min(until, waiting_.begin()->first);
            changed_.wait_for(lock, wake - now);
            return {};
        }
        work next = std::move(waiting_.begin()->second);
        waiting_.erase(waiting_.begin());
        return next;
    }

    const clock& time_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<timestamp, work> waiting_;
};

/// A request that has no outcome yet.
struct active_request {
    std::size_t number = 0;
    std::string ticket;
    request_id pending; ///< Accepted asynchronously under this identifier.
    timestamp begun;
    timestamp give_up;
    std::optional<outcome_kind> last_kind; ///< Of the last answer, when it was not the final one.
    reason last_why = reason::none;
    bool cancel_sent = false;
    bool done = false;
};

using active_ptr = std::shared_ptr<active_request>;

// All members are used on the thread that calls `run`, except where network callbacks post to `queue_`.
class load_driver {
public:
    explicit load_driver(const load_settings& settings)
        : settings_{settings}, random_{settings.seed}, queue_{time_}, client_{runtime_, client_settings()}
    {
        runtime_.start();
    }

    load_result run();

private:
    using answer_handler = std::function<void(const json& answer)>;
    using failure_handler = std::function<void()>;

    static http_client_settings client_settings()
    {
        http_client_settings result;
        result.max_connections_per_endpoint = connections_per_entry;
        return result;
    }

    [[nodiscard]] request_record& record_of(const active_request& it) { return requests_[it.number]; }
    [[nodiscard]] const plan_team& team_of(const active_request& it);
    void schedule_arrival(std::size_t team);
    void arrive(std::size_t team);
    void call(const active_ptr& it, http_request request, answer_handler answered, failure_handler failed);
    void submit(const active_ptr& it);
    void send_submission(const active_ptr& it);
    void fetch_tickets(const active_ptr& it);
    void look_up(const active_ptr& it, const request_id& id);
    void cancel(const active_ptr& it, const request_id& id);
    void on_answer(const active_ptr& it, const json& answer);
    void on_pending(const active_ptr& it, const request_id& id);
    void on_refused(const active_ptr& it, const request_id& id, reason why, duration retry_after);
    void on_unknown(const active_ptr& it, reason why, duration retry_after);
    void resubmit(const active_ptr& it, duration delay);
    void finish(const active_ptr& it, outcome_kind kind, reason why);
    void give_up(const active_ptr& it);
    void read_logs(load_result& result);

    const load_settings settings_;
    const system_clock_source time_;
    seeded_random random_;
    timed_queue queue_;
    std::vector<request_record> requests_;
    std::map<std::pair<team_id, service_id>, std::vector<std::string>> tickets_;
    std::map<std::string, entry_record> entries_;
    std::map<std::string, std::size_t> answers_;
    std::size_t active_ = 0;
    timestamp begin_;
    // Destroyed first, in this order: the client, then the thread that runs its callbacks.
    io_runtime runtime_;
    http_client client_;
};

const plan_team& load_driver::team_of(const active_request& it)
{
    const team_id& id = record_of(it).team;
    return *std::find_if(settings_.plan.teams.begin(), settings_.plan.teams.end(),
                         [&id](const plan_team& team) { return team.id == id; });
}

load_result load_driver::run()
{
    begin_ = time_.now();
    requests_.reserve(settings_.max_requests);
    for (std::size_t team = 0; team < settings_.plan.teams.size(); ++team)
        schedule_arrival(team);
    const timestamp last_arrival = begin_ + settings_.length;
    queue_.run(last_arrival, [] { return false; });
    queue_.run(last_arrival + settings_.timeout + settings_.settle, [this] { return active_ == 0; });

    load_result result;
    result.history.plan = settings_.plan;
    result.history.requests = std::move(requests_);
    result.entries = std::move(entries_);
    result.answers = std::move(answers_);
    read_logs(result);
    return result;
}

void load_driver::schedule_arrival(std::size_t team)
{
    // Candidates come at the peak's rate and are thinned out to the demand of the moment.
    const double peak_rate = settings_.rate * std::max(settings_.peak_factor, 1.0);
    const double wait_s = -std::log(1.0 - random_.uniform01()) / peak_rate;
    const timestamp at = time_.now() + duration{static_cast<std::int64_t>(wait_s * 1e6)};
    if (at >= begin_ + settings_.length)
        return;
    queue_.post_at(at, [this, team] {
        const double part = std::chrono::duration<double>(time_.now() - begin_) /
                            std::chrono::duration<double>(settings_.length);
        const double factor = demand_factor(team, settings_.plan.teams.size(), part, settings_.peak_factor);
        if (random_.chance(factor / std::max(settings_.peak_factor, 1.0)) &&
            requests_.size() < settings_.max_requests)
            arrive(team);
        schedule_arrival(team);
    });
}

void load_driver::arrive(std::size_t team)
{
    request_record record;
    record.number = requests_.size();
    record.team = settings_.plan.teams[team].id;
    record.service = settings_.plan.services[random_.below(settings_.plan.services.size())];
    record.idempotent = !random_.chance(settings_.non_idempotent);
    record.urgency = random_.chance(settings_.urgent) ? priority::urgent : priority::normal;
    record.asynchronous = random_.chance(settings_.asynchronous);
    record.cancelled = record.asynchronous && random_.chance(settings_.cancelled);
    const std::int64_t run_ms =
        settings_.min_run_ms + static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(
                                   settings_.max_run_ms - settings_.min_run_ms + 1)));
    std::string blob;
    const std::size_t length = random_.below(settings_.max_echo + 1);
    for (std::size_t i = 0; i < length; ++i)
        blob.push_back(static_cast<char>('a' + random_.below(26)));
    record.payload = json{{"run_ms", run_ms},
                          {"answer_bytes", random_.below(settings_.max_echo + 1)},
                          {"echo", {{"number", record.number}, {"nonce", random_.next()}, {"text", blob}}}}
                         .dump();
    requests_.push_back(std::move(record));

    const active_ptr it = std::make_shared<active_request>();
    it->number = requests_.size() - 1;
    it->begun = time_.now();
    it->give_up = it->begun + settings_.timeout + settings_.settle;
    record_of(*it).submitted_us = it->begun.time_since_epoch().count();
    ++active_;
    submit(it);
}

void load_driver::call(const active_ptr& it, http_request request, answer_handler answered,
                       failure_handler failed)
{
    const http_endpoint& entry = settings_.entries[random_.below(settings_.entries.size())];
    request.headers["authorization"] = "Bearer " + team_of(*it).key;
    const std::string name = entry.address + ":" + std::to_string(entry.port);
    const auto on_reply = [this, it, name, answered = std::move(answered),
                           failed = std::move(failed)](const tl::expected<http_response, http_errc>& reply) {
        entry_record& counts = entries_[name];
        if (reply) {
            const json body = json::parse(reply->body, nullptr, false);
            if (body.is_object() &&
                (body.contains("outcome") || body.contains("state") || body.contains("tickets"))) {
                ++counts.answers;
                if (!it->done)
                    answered(body);
                return;
            }
            const json error = body.is_object() ? body.value("error", json::object()) : json::object();
            ++answers_["http " + std::to_string(reply->status) + " " +
                       error.value("code", "without outcome")];
        } else if (reply.error() == http_errc::not_connected || reply.error() == http_errc::too_many) {
            ++counts.not_connected;
        } else if (reply.error() == http_errc::timed_out) {
            ++counts.timed_out;
        } else {
            ++counts.cut;
        }
        if (!it->done)
            failed();
    };
    client_.send(entry, std::move(request), answer_timeout,
                 [this, on_reply](tl::expected<http_response, http_errc> reply) {
                     queue_.post([on_reply, reply = std::move(reply)] { on_reply(reply); });
                 });
}

void load_driver::submit(const active_ptr& it)
{
    if (it->done)
        return;
    request_record& record = record_of(*it);
    if (time_.now() >= it->give_up || record.submissions >= max_submissions) {
        give_up(it);
        return;
    }
    if (!record.idempotent && it->ticket.empty()) {
        std::vector<std::string>& held = tickets_[{record.team, record.service}];
        if (!held.empty()) {
            it->ticket = std::move(held.back());
            held.pop_back();
        } else if (random_.chance(0.5)) {
            fetch_tickets(it);
            return;
        }
        // Otherwise the submission without a ticket is refused and brings one.
    }
    send_submission(it);
}

void load_driver::send_submission(const active_ptr& it)
{
    request_record& record = record_of(*it);
    ++record.submissions;
    if (const std::optional<request_id> id = id_of_ticket(it->ticket))
        record.ids.insert(*id);
    json body{{"idempotent", record.idempotent},
              {"priority", name_of(record.urgency)},
              {"timeout_ms", to_ms(settings_.timeout)},
              {"payload", record.payload}};
    if (!it->ticket.empty())
        body["ticket"] = it->ticket;
    http_request request;
    request.method = "POST";
    request.path = "/v1/services/" + record.service.str() + "/requests";
    if (record.asynchronous)
        request.query["wait"] = "false";
    request.body = body.dump();
    call(
        it, std::move(request), [this, it](const json& answer) { on_answer(it, answer); },
        [this, it] { resubmit(it, resend_delay); });
}

void load_driver::fetch_tickets(const active_ptr& it)
{
    const request_record& record = record_of(*it);
    http_request request;
    request.method = "POST";
    request.path = "/v1/services/" + record.service.str() + "/tickets";
    request.query["count"] = "4";
    const std::pair<team_id, service_id> key{record.team, record.service};
    call(
        it, std::move(request),
        [this, it, key](const json& answer) {
            for (const json& text : answer.value("tickets", json::array()))
                tickets_[key].push_back(text.get<std::string>());
            ++answers_[answer.contains("tickets") ? "tickets"
                                                  : "tickets refused " + answer.value("reason", "")];
            if (answer.contains("tickets"))
                submit(it);
            else
                resubmit(it, resend_delay);
        },
        [this, it] { resubmit(it, resend_delay); });
}

void load_driver::look_up(const active_ptr& it, const request_id& id)
{
    // It may have been submitted again in the meantime.
    if (it->done || it->pending != id)
        return;
    if (time_.now() >= it->give_up) {
        give_up(it);
        return;
    }
    http_request request;
    request.method = "GET";
    request.path = "/v1/requests/" + id.str();
    if (random_.chance(0.5))
        request.query["wait"] = "true";
    call(
        it, std::move(request), [this, it](const json& answer) { on_answer(it, answer); },
        [this, it, id] { queue_.post_at(time_.now() + resend_delay, [this, it, id] { look_up(it, id); }); });
}

void load_driver::cancel(const active_ptr& it, const request_id& id)
{
    if (it->done || it->pending != id)
        return;
    http_request request;
    request.method = "DELETE";
    request.path = "/v1/requests/" + id.str();
    // A look-up is under way as well and brings the outcome when this answer does not.
    call(
        it, std::move(request),
        [this, it](const json& answer) {
            if (answer.contains("outcome") && answer["outcome"] != name_of(outcome_kind::unknown) &&
                answer["outcome"] != name_of(outcome_kind::refused_not_run))
                on_answer(it, answer);
        },
        [this, it, id] { queue_.post_at(time_.now() + resend_delay, [this, it, id] { cancel(it, id); }); });
}

void load_driver::on_answer(const active_ptr& it, const json& answer)
{
    request_record& record = record_of(*it);
    const request_id id{answer.value("id", "")};
    if (!id.empty())
        record.ids.insert(id);
    if (answer.contains("next_ticket")) {
        std::vector<std::string>& held = tickets_[{record.team, record.service}];
        if (held.size() < max_held_tickets)
            held.push_back(answer["next_ticket"].get<std::string>());
    }
    if (!answer.contains("outcome")) {
        on_pending(it, id);
        return;
    }
    const std::string kind_name = answer["outcome"].get<std::string>();
    const std::string why_name = answer.value("reason", "none");
    ++answers_[kind_name + " " + why_name];
    const outcome_kind kind = parse_enum<outcome_kind>(kind_name).value_or(outcome_kind::unknown);
    const reason why = parse_enum<reason>(why_name).value_or(reason::none);
    const duration retry_after = std::chrono::milliseconds{answer.value("retry_after_ms", std::int64_t{0})};
    record.answered_id = id;
    if (kind == outcome_kind::refused_not_run) {
        on_refused(it, id, why, retry_after);
    } else if (kind == outcome_kind::unknown) {
        on_unknown(it, why, retry_after);
    } else {
        if (kind == outcome_kind::cancelled_not_run)
            record.not_run.insert(id);
        record.result = answer.value("result", "");
        finish(it, kind, why);
    }
}

void load_driver::on_pending(const active_ptr& it, const request_id& id)
{
    const bool first = it->pending.empty();
    it->pending = id;
    if (first && record_of(*it).cancelled && !it->cancel_sent) {
        it->cancel_sent = true;
        const duration delay = std::chrono::milliseconds{random_.below(300)};
        queue_.post_at(time_.now() + delay, [this, it, id] { cancel(it, id); });
    }
    queue_.post_at(first ? time_.now() : time_.now() + poll_interval, [this, it, id] { look_up(it, id); });
}

void load_driver::on_refused(const active_ptr& it, const request_id& id, reason why, duration retry_after)
{
    request_record& record = record_of(*it);
    if (!id.empty()) {
        record.not_run.insert(id);
        // This ticket has been answered for good.
        it->ticket.clear();
    }
    it->last_kind = outcome_kind::refused_not_run;
    it->last_why = why;
    if (why == reason::ticket_required)
        resubmit(it, duration{0});
    else if (retry_after > duration{0} && may_pass(why))
        resubmit(it, retry_after);
    else
        finish(it, outcome_kind::refused_not_run, why);
}

void load_driver::on_unknown(const active_ptr& it, reason why, duration retry_after)
{
    it->last_kind = outcome_kind::unknown;
    it->last_why = why;
    // The shard may have lost a request that was only queued; its ticket tells whether it may still run.
    if (why == reason::unknown_request && !it->pending.empty())
        resubmit(it, resend_delay);
    else if (retry_after > duration{0})
        resubmit(it, retry_after);
    else
        finish(it, outcome_kind::unknown, why);
}

void load_driver::resubmit(const active_ptr& it, duration delay)
{
    it->pending = request_id{};
    // Spread, so that the requests of a lost host do not all come back at once.
    const duration spread{static_cast<std::int64_t>(
        random_.below(static_cast<std::uint64_t>(delay.count() / 2 + resend_delay.count())))};
    queue_.post_at(time_.now() + delay + spread, [this, it] { submit(it); });
}

void load_driver::finish(const active_ptr& it, outcome_kind kind, reason why)
{
    request_record& record = record_of(*it);
    record.kind = kind;
    record.why = why;
    record.latency = time_.now() - it->begun;
    it->done = true;
    --active_;
}

void load_driver::give_up(const active_ptr& it)
{
    if (it->last_kind) {
        finish(it, *it->last_kind, it->last_why);
        return;
    }
    it->done = true;
    --active_;
}

void load_driver::read_logs(load_result& result)
{
    blocking_http http;
    for (const plan_target& target : settings_.plan.targets) {
        const http_endpoint at{target.endpoint.address, target.endpoint.port};
        const tl::expected<http_response, http_errc> runs = http.call(at, "GET", "/admin/runs");
        const tl::expected<http_response, http_errc> state = http.call(at, "GET", "/admin/state");
        try {
            if (!runs || !state)
                throw std::runtime_error{"no answer"};
            const json log = json::parse(runs->body);
            const std::int64_t now = log.at("now_us").get<std::int64_t>();
            for (const json& run : log.at("runs"))
                result.history.runs.push_back(run_record{
                    target.endpoint.id, run.at("task").get<std::string>(),
                    request_id{run.at("request").get<std::string>()},
                    team_id{run.at("team").get<std::string>()}, run.at("started_us").get<std::int64_t>(),
                    run.at("ended_us").is_null() ? now : run.at("ended_us").get<std::int64_t>()});
            const json marks = json::parse(state->body);
            result.history.targets.push_back(
                target_record_state{target.endpoint.id, marks.at("running_high_water").get<std::int64_t>(),
                                    marks.at("connections_high_water").get<std::int64_t>()});
        } catch (const std::exception&) {
            result.history.unreadable.push_back(target.endpoint.id);
        }
    }
}

} // namespace

load_result run_load(const load_settings& settings)
{
    return load_driver{settings}.run();
}

double demand_factor(std::size_t team, std::size_t teams, double part_of_length, double peak_factor)
{
    constexpr double low = 0.05;
    if (teams < 2)
        return 1.0;
    const std::size_t turn =
        std::min(teams - 1, static_cast<std::size_t>(part_of_length * static_cast<double>(teams)));
    if (turn == team)
        return peak_factor;
    if (turn == (team + 1) % teams)
        return low;
    const double rest = static_cast<double>(teams) - peak_factor - low;
    return std::max(low, rest / static_cast<double>(teams - 2));
}

} // namespace mjm
