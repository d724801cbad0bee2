#include "load_checks.h"

#include "platform/body_digest.h"
#include "shard/ticket.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mjm {

namespace {

using nlohmann::json;

/// Text of what differs; empty when `result` is the whole answer to the request.
std::string answer_difference(const request_record& request)
{
    const json answer = json::parse(request.result, nullptr, false);
    const json sent = json::parse(request.payload, nullptr, false);
    if (!answer.is_object())
        return "the answer is not a whole document";
    if (answer.value("digest", "") != body_digest(request.payload))
        return "the answer belongs to another body";
    if (answer.value("echo", json{}) != sent.value("echo", json{}))
        return "the echo differs";
    if (answer.value("request", "") != request.answered_id.str())
        return "the answer names request " + answer.value("request", "");
    if (answer.value("team", "") != request.team.str())
        return "the answer names team " + answer.value("team", "");
    const std::size_t wanted = sent.value("answer_bytes", std::size_t{0});
    if (answer.value("padding", "").size() != wanted)
        return "the padding has another length";
    return {};
}

class checker {
public:
    explicit checker(const load_history& history) : history_{history}
    {
        for (const run_record& run : history.runs)
            runs_of_[run.request].push_back(&run);
    }

    std::vector<violation> run()
    {
        for (const request_record& request : history_.requests)
            check_request(request);
        check_teams();
        check_targets();
        for (const target_id& target : history_.unreadable)
            add(load_check::logs_readable, target.str(), "the run log could not be read");
        return std::move(found_);
    }

private:
    void add(load_check check, std::string subject, std::string detail)
    {
        found_.push_back(violation{check, std::move(subject), std::move(detail)});
    }

    [[nodiscard]] std::vector<const run_record*> runs_of(const request_id& id) const
    {
        const auto it = runs_of_.find(id);
        return it == runs_of_.end() ? std::vector<const run_record*>{} : it->second;
    }

    static std::string describe(const std::vector<const run_record*>& runs)
    {
        std::string text;
        for (const run_record* run : runs)
            text += (text.empty() ? "" : ", ") + run->task + " on " + run->target.str() + " at " +
                    std::to_string(run->started_us);
        return text;
    }

    void check_request(const request_record& request)
    {
        const std::string name =
            request.ids.empty() ? "number " + std::to_string(request.number) : request.ids.begin()->str();
        std::vector<const run_record*> all;
        for (const request_id& id : request.ids) {
            const std::vector<const run_record*> runs = runs_of(id);
            all.insert(all.end(), runs.begin(), runs.end());
            if (request.not_run.contains(id) && !runs.empty())
                add(load_check::true_refusal, id.str(), "answered as not run; ran as " + describe(runs));
        }
        if (!request.idempotent && all.size() > 1)
            add(load_check::at_most_once, name, describe(all));
        if (!request.kind) {
            add(load_check::every_outcome, name, "no outcome");
            return;
        }
        const bool completed = *request.kind == outcome_kind::completed;
        const bool failed = *request.kind == outcome_kind::failed;
        if (completed && runs_of(request.answered_id).empty())
            add(load_check::completed_ran, request.answered_id.str(), "no target has a run of it");
        // A failure that the product reports by itself carries no result.
        if (completed || (failed && !request.result.empty())) {
            const std::string difference = answer_difference(request);
            if (!difference.empty())
                add(load_check::whole_answer, request.answered_id.str(), difference);
        }
    }

    void check_teams()
    {
        std::map<team_id, std::vector<std::pair<std::int64_t, std::int64_t>>> running;
        for (const run_record& run : history_.runs)
            running[run.team].emplace_back(run.started_us, run.ended_us);
        for (const plan_team& team : history_.plan.teams) {
            const std::int64_t peak = peak_overlap(running[team.id]);
            if (peak > team.limit)
                add(load_check::team_limit, team.id.str(),
                    std::to_string(peak) + " running, limit " + std::to_string(team.limit));
        }
    }

    void check_targets()
    {
        std::map<target_id, std::vector<std::pair<std::int64_t, std::int64_t>>> running;
        for (const run_record& run : history_.runs)
            running[run.target].emplace_back(run.started_us, run.ended_us);
        std::map<target_id, std::int64_t> peaks;
        for (const auto& [target, intervals] : running)
            peaks[target] = peak_overlap(intervals);
        for (const target_record_state& state : history_.targets) {
            peaks[state.target] = std::max(peaks[state.target], state.running_high_water);
            if (state.connections_high_water > history_.limits.connections)
                add(load_check::target_connections, state.target.str(),
                    std::to_string(state.connections_high_water) + " connections");
        }
        for (const auto& [target, peak] : peaks) {
            if (peak > history_.limits.slots)
                add(load_check::target_slots, target.str(), std::to_string(peak) + " tasks at once");
        }
    }

    const load_history& history_;
    std::map<request_id, std::vector<const run_record*>> runs_of_;
    std::vector<violation> found_;
};

} // namespace

std::vector<violation> check_load(const load_history& history)
{
    return checker{history}.run();
}

std::int64_t peak_overlap(const std::vector<std::pair<std::int64_t, std::int64_t>>& intervals)
{
    std::vector<std::pair<std::int64_t, int>> edges;
    edges.reserve(intervals.size() * 2);
    for (const auto& [from, to] : intervals) {
        if (to <= from)
            continue;
        edges.emplace_back(from, +1);
        edges.emplace_back(to, -1);
    }
    // At equal times the -1 sorts first.
    std::sort(edges.begin(), edges.end());
    std::int64_t open = 0;
    std::int64_t peak = 0;
    for (const auto& [at, change] : edges) {
        open += change;
        peak = std::max(peak, open);
    }
    return peak;
}

std::optional<request_id> id_of_ticket(std::string_view ticket)
{
    // version ~ shard ~ epoch ~ team ~ issue time ~ nonce ~ signature
    constexpr std::size_t part_count = 7;
    std::vector<std::string> parts(1);
    for (const char c : ticket) {
        if (c == '~')
            parts.emplace_back();
        else
            parts.back().push_back(c);
    }
    if (parts.size() != part_count)
        return std::nullopt;
    const std::optional<shard_id> shard = parse_shard_id(parts[1]);
    if (!shard)
        return std::nullopt;
    return make_request_id(*shard, team_id{parts[3]}, parts[5]);
}

} // namespace mjm
