#include "load_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>

namespace mjm {

namespace {

using nlohmann::json;

constexpr std::size_t max_listed = 20;

struct team_summary {
    std::map<std::string, std::size_t> outcomes;
    std::size_t requests = 0;
    std::size_t runs = 0;
    double run_seconds = 0.0;
    std::int64_t peak_running = 0;
    std::int64_t limit = 0;
    std::vector<double> latency_ms;      ///< Of completed requests.
    std::vector<double> urgent_start_ms; ///< From the submission to the start at a target.
};

std::map<std::string, team_summary> summarise(const load_history& history)
{
    std::map<std::string, team_summary> teams;
    std::map<std::string, std::vector<std::pair<std::int64_t, std::int64_t>>> running;
    std::map<request_id, std::int64_t> first_start;
    for (const plan_team& team : history.plan.teams)
        teams[team.id.str()].limit = team.limit;
    for (const run_record& run : history.runs) {
        team_summary& team = teams[run.team.str()];
        ++team.runs;
        team.run_seconds += static_cast<double>(run.ended_us - run.started_us) / 1e6;
        running[run.team.str()].emplace_back(run.started_us, run.ended_us);
        const auto [it, added] = first_start.emplace(run.request, run.started_us);
        it->second = std::min(it->second, run.started_us);
    }
    for (auto& [name, team] : teams)
        team.peak_running = peak_overlap(running[name]);
    for (const request_record& request : history.requests) {
        team_summary& team = teams[request.team.str()];
        ++team.requests;
        std::string outcome{request.kind ? name_of(*request.kind) : "none"};
        if (request.kind && request.why != reason::none)
            outcome += std::string{" "} + std::string{name_of(request.why)};
        ++team.outcomes[outcome];
        if (request.kind == outcome_kind::completed)
            team.latency_ms.push_back(static_cast<double>(request.latency.count()) / 1e3);
        const auto start = first_start.find(request.answered_id);
        if (request.urgency == priority::urgent && start != first_start.end())
            team.urgent_start_ms.push_back(static_cast<double>(start->second - request.submitted_us) / 1e3);
    }
    return teams;
}

std::map<std::string, std::size_t> count_by_check(const std::vector<violation>& found)
{
    std::map<std::string, std::size_t> counts;
    for (const auto& [check, name] : enum_names<load_check>::entries)
        counts[std::string{name}] = 0;
    for (const violation& it : found)
        ++counts[std::string{name_of(it.check)}];
    return counts;
}

std::string rounded(double value)
{
    std::array<char, 32> text{};
    (void)std::snprintf(text.data(), text.size(), "%.1f", value);
    return text.data();
}

} // namespace

double quantile(std::vector<double>& samples, double part)
{
    if (samples.empty())
        return 0.0;
    std::sort(samples.begin(), samples.end());
    const double rank = std::ceil(part * static_cast<double>(samples.size()));
    return samples[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
}

std::string text_report(const load_result& result, const std::vector<violation>& found)
{
    std::ostringstream out;
    for (auto& [name, team] : summarise(result.history)) {
        std::vector<double> latency = team.latency_ms;
        std::vector<double> urgent = team.urgent_start_ms;
        out << "team " << name << ": " << team.requests << " requests, " << team.runs << " runs, "
            << rounded(team.run_seconds) << " s of work, at most " << team.peak_running << " running of "
            << team.limit << "; latency median " << rounded(quantile(latency, 0.5)) << " ms, 99% "
            << rounded(quantile(latency, 0.99)) << " ms; urgent start 99% " << rounded(quantile(urgent, 0.99))
            << " ms of " << urgent.size() << '\n';
        for (const auto& [outcome, count] : team.outcomes)
            out << "    " << count << ' ' << outcome << '\n';
    }
    for (const auto& [name, entry] : result.entries)
        out << "entry " << name << ": " << entry.answers << " answers, " << entry.cut << " cut, "
            << entry.not_connected << " not connected, " << entry.timed_out << " timed out\n";
    out << "answers, with those of repeated submissions:\n";
    for (const auto& [name, count] : result.answers)
        out << "    " << count << ' ' << name << '\n';
    for (const auto& [check, count] : count_by_check(found))
        out << "check " << check << ": " << (count == 0 ? "holds" : std::to_string(count) + " violations")
            << '\n';
    std::size_t listed = 0;
    for (const violation& it : found) {
        if (++listed > max_listed) {
            out << "and " << found.size() - max_listed << " more violations\n";
            break;
        }
        out << "violation " << name_of(it.check) << ": " << it.subject << ": " << it.detail << '\n';
    }
    return out.str();
}

std::string request_lines(const load_result& result)
{
    std::ostringstream out;
    for (const request_record& request : result.history.requests) {
        json line{{"number", request.number},
                  {"team", request.team.str()},
                  {"service", request.service.str()},
                  {"urgency", name_of(request.urgency)},
                  {"idempotent", request.idempotent},
                  {"asynchronous", request.asynchronous},
                  {"cancelled", request.cancelled},
                  {"submissions", request.submissions},
                  {"submitted_us", request.submitted_us},
                  {"latency_us", request.latency.count()},
                  {"ids", json::array()},
                  {"outcome", request.kind ? name_of(*request.kind) : "none"},
                  {"reason", name_of(request.why)}};
        for (const request_id& id : request.ids)
            line["ids"].push_back(id.str());
        out << line.dump() << '\n';
    }
    return out.str();
}

std::string json_report(const load_result& result, const std::vector<violation>& found)
{
    json out{{"teams", json::object()},
             {"entries", json::object()},
             {"answers", result.answers},
             {"checks", count_by_check(found)},
             {"violations", json::array()}};
    for (auto& [name, team] : summarise(result.history)) {
        std::vector<double> latency = team.latency_ms;
        std::vector<double> urgent = team.urgent_start_ms;
        out["teams"][name] = {{"requests", team.requests},
                              {"runs", team.runs},
                              {"run_seconds", team.run_seconds},
                              {"peak_running", team.peak_running},
                              {"limit", team.limit},
                              {"outcomes", team.outcomes},
                              {"latency_median_ms", quantile(latency, 0.5)},
                              {"latency_p99_ms", quantile(latency, 0.99)},
                              {"urgent_requests", urgent.size()},
                              {"urgent_start_p99_ms", quantile(urgent, 0.99)}};
    }
    for (const auto& [name, entry] : result.entries)
        out["entries"][name] = {{"answers", entry.answers},
                                {"cut", entry.cut},
                                {"not_connected", entry.not_connected},
                                {"timed_out", entry.timed_out}};
    for (const violation& it : found)
        out["violations"].push_back(
            {{"check", name_of(it.check)}, {"subject", it.subject}, {"detail", it.detail}});
    return out.dump(2) + "\n";
}

} // namespace mjm
