#include "jobs/job_codec.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace mjm {

namespace {

using json = nlohmann::json;

json encode_step(const step_spec& s)
{
    json out{{"tasks", s.tasks},
             {"cpu", s.need.milli_cpu},
             {"memory", s.need.memory_mib},
             {"estimate_us", s.estimate.count()}};
    if (s.need.accelerators != 0)
        out["accelerators"] = s.need.accelerators;
    if (!s.after.empty())
        out["after"] = s.after;
    const auto flag = [&out](const char* name, bool value) {
        if (value)
            out[name] = true;
    };
    flag("saves_progress", s.saves_progress);
    flag("gang", s.gang);
    flag("rack_sensitive", s.rack_sensitive);
    flag("speculative", s.speculative);
    flag("permanent", s.permanent);
    flag("backfill", s.backfill);
    const auto text = [&out](const char* name, const std::string& value) {
        if (!value.empty())
            out[name] = value;
    };
    text("required_label", s.required_label);
    text("data_rack", s.data_rack);
    text("image", s.image);
    if (s.max_per_target != 0)
        out["max_per_target"] = s.max_per_target;
    if (s.latency_objective.count() != 0)
        out["latency_objective_us"] = s.latency_objective.count();
    if (s.max_unavailable != 0)
        out["max_unavailable"] = s.max_unavailable;
    return out;
}

step_spec decode_step(const json& in)
{
    step_spec s;
    s.tasks = in.at("tasks").get<std::uint32_t>();
    s.need.milli_cpu = in.at("cpu").get<std::int64_t>();
    s.need.memory_mib = in.at("memory").get<std::int64_t>();
    s.need.accelerators = in.value("accelerators", std::int64_t{0});
    s.estimate = duration{in.at("estimate_us").get<std::int64_t>()};
    s.after = in.value("after", std::vector<std::uint32_t>{});
    s.saves_progress = in.value("saves_progress", false);
    s.gang = in.value("gang", false);
    s.rack_sensitive = in.value("rack_sensitive", false);
    s.speculative = in.value("speculative", false);
    s.permanent = in.value("permanent", false);
    s.backfill = in.value("backfill", false);
    s.required_label = in.value("required_label", "");
    s.data_rack = in.value("data_rack", "");
    s.image = in.value("image", "");
    s.max_per_target = in.value("max_per_target", 0U);
    s.latency_objective = duration{in.value("latency_objective_us", std::int64_t{0})};
    s.max_unavailable = in.value("max_unavailable", 0U);
    return s;
}

void append_number(std::string& out, std::int64_t value)
{
    std::array<char, 24> buf{};
    const std::to_chars_result end = std::to_chars(buf.data(), buf.data() + buf.size(), value);
    out.append(buf.data(), end.ptr);
}

void append_text(std::string& out, std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(),
                                   [](char c) { return c >= ' ' && c <= '~' && c != '"' && c != '\\'; });
    if (plain)
        out.append(1, '"').append(text).append(1, '"');
    else
        out += json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Appends a task's row of the stored progress. It is built without a document, since a job is written again
/// with each of its changes.
void append_task(std::string& out, const task_position& p, const task& t)
{
    out += '[';
    for (const std::int64_t value :
         {std::int64_t{p.occurrence}, std::int64_t{p.step}, std::int64_t{p.index},
          std::int64_t{t.done ? 1 : 0}, std::int64_t{t.last_run}, std::int64_t{t.failures}}) {
        append_number(out, value);
        out += ',';
    }
    append_text(out, t.done ? std::string_view{} : t.checkpoint);
    out += ',';
    append_number(out, t.ended_run);
    if (t.run) {
        out += ',';
        append_number(out, t.run->number);
        out += ',';
        append_text(out, t.run->target.str());
        out += ',';
        append_number(out, t.run->incarnation);
        out += t.run->on_probation ? ",0" : ",1";
    }
    out += ']';
}

json encode_crashes(const task_position& p, const crash_history& h)
{
    return json::array({p.occurrence, p.step, p.index, h.crashes, h.attributed, h.unresolved});
}

json encode_streak(const task_position& p, const crash_streak& s)
{
    return json::array({p.occurrence, p.step, p.index, s.crashes, s.exposure.count(), s.longest.count(),
                        s.unlikely ? 1 : 0});
}

bool restore_streaks(job& j, const json& rows)
{
    for (const json& row : rows) {
        const task_position p{row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
                              row.at(2).get<std::uint32_t>()};
        if (!j.contains(p))
            return false;
        j.at(p).streak = {row.at(3).get<std::uint32_t>(), duration{row.at(4).get<std::int64_t>()},
                          duration{row.at(5).get<std::int64_t>()}, row.at(6).get<int>() != 0};
    }
    return true;
}

bool restore_crashes(job& j, const json& rows)
{
    for (const json& row : rows) {
        const task_position p{row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
                              row.at(2).get<std::uint32_t>()};
        if (!j.contains(p))
            return false;
        j.at(p).crashes = {row.at(3).get<std::uint32_t>(), row.at(4).get<std::uint32_t>(),
                           row.at(5).get<std::uint32_t>()};
    }
    return true;
}

constexpr std::size_t task_columns = 8;
constexpr std::size_t task_columns_with_run = 11;

} // namespace

std::string encode_job(const job_record& record)
{
    json steps = json::array();
    for (const step_spec& s : record.spec.steps)
        steps.push_back(encode_step(s));
    json out{{"queue", record.queue.str()},    {"service", record.service.str()},
             {"team", record.team.str()},      {"accepted_ms", record.accepted_ms},
             {"payload", record.spec.payload}, {"steps", std::move(steps)}};
    if (record.max_attempts != 0)
        out["max_attempts"] = record.max_attempts;
    if (record.spec.scheduled) {
        out["occurrences"] = record.spec.occurrences;
        out["first_due_ms"] = record.spec.first_due_ms;
        out["interval_ms"] = record.spec.interval_ms;
    }
    return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<job_record> decode_job(const job_id& id, std::string_view text)
{
    try {
        const json in = json::parse(text);
        job_record record;
        record.id = id;
        record.queue = queue_id{in.at("queue").get<std::string>()};
        record.service = service_id{in.at("service").get<std::string>()};
        record.team = team_id{in.at("team").get<std::string>()};
        record.accepted_ms = in.at("accepted_ms").get<std::int64_t>();
        record.max_attempts = in.value("max_attempts", 0U);
        record.spec.payload = in.at("payload").get<std::string>();
        for (const json& s : in.at("steps"))
            record.spec.steps.push_back(decode_step(s));
        if (in.contains("occurrences")) {
            record.spec.scheduled = true;
            record.spec.occurrences = in.at("occurrences").get<std::uint32_t>();
            record.spec.first_due_ms = in.at("first_due_ms").get<std::int64_t>();
            record.spec.interval_ms = in.at("interval_ms").get<std::int64_t>();
        }
        return record;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_owner(const job_owner& owner)
{
    const json out{{"queue", owner.queue.str()}, {"team", owner.team.str()}};
    return out.dump(-1, ' ', true, json::error_handler_t::replace);
}

std::optional<job_owner> decode_owner(std::string_view text)
{
    try {
        const json in = json::parse(text);
        return job_owner{queue_id{in.at("queue").get<std::string>()},
                         team_id{in.at("team").get<std::string>()}};
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string encode_progress(const job& j)
{
    std::string out = R"({"state":)";
    append_text(out, name_of(j.state()));
    out += j.started() ? R"(,"started":true)" : R"(,"started":false)";
    // A next leader has to stop the runs that are left, and to count them until they are over.
    const bool ended = is_final(j.state());
    if (!ended || j.active_runs() > 0) {
        out += R"(,"tasks":[)";
        bool first = true;
        json crashes = json::array();
        json streaks = json::array();
        const job_spec& spec = j.record().spec;
        for (std::uint32_t k = 0; k < spec.occurrences; ++k) {
            for (std::uint32_t s = 0; s < spec.steps.size(); ++s) {
                for (std::uint32_t n = 0; n < spec.steps[s].tasks; ++n) {
                    const task_position p{k, s, n};
                    const task& t = j.at(p);
                    if (ended ? t.run.has_value() : t.last_run != 0) {
                        if (!std::exchange(first, false))
                            out += ',';
                        append_task(out, p, t);
                    }
                    if (!ended && !t.crashes.empty())
                        crashes.push_back(encode_crashes(p, t.crashes));
                    if (!ended && !t.streak.empty())
                        streaks.push_back(encode_streak(p, t.streak));
                }
            }
        }
        out += ']';
        if (!crashes.empty())
            out.append(R"(,"crashes":)").append(crashes.dump());
        if (!streaks.empty())
            out.append(R"(,"crash_streaks":)").append(streaks.dump());
    }
    return out + '}';
}

bool restore_progress(job& j, std::string_view text)
{
    try {
        const json in = json::parse(text);
        const std::optional<job_state> state = parse_enum<job_state>(in.at("state").get<std::string>());
        if (!state)
            return false;
        const bool ended = is_final(*state);
        if (ended)
            j.restore_final(*state);
        if (ended && !in.contains("tasks"))
            return true;
        for (const json& row : in.at("tasks")) {
            const task_position p{row.at(0).get<std::uint32_t>(), row.at(1).get<std::uint32_t>(),
                                  row.at(2).get<std::uint32_t>()};
            if (!j.contains(p) || row.size() < task_columns)
                return false;
            task& t = j.at(p);
            t.done = row.at(3).get<int>() != 0;
            t.last_run = row.at(4).get<run_number>();
            t.last_sent_run = t.last_run;
            t.failures = row.at(5).get<std::uint32_t>();
            t.checkpoint = row.at(6).get<std::string>();
            t.ended_run = row.at(7).get<run_number>();
            if (row.size() >= task_columns_with_run) {
                task_run r;
                r.number = row.at(8).get<run_number>();
                r.target = target_id{row.at(9).get<std::string>()};
                r.incarnation = row.at(10).get<target_incarnation>();
                r.phase = run_phase::unconfirmed;
                r.on_probation =
                    row.size() == task_columns_with_run || row.at(task_columns_with_run).get<int>() == 0;
                t.run = std::move(r);
            }
        }
        j.restore_progress(in.at("started").get<bool>());
        if (ended)
            j.restore_final(*state);
        const auto crashes = in.find("crashes");
        const auto streaks = in.find("crash_streaks");
        return (crashes == in.end() || restore_crashes(j, *crashes)) &&
               (streaks == in.end() || restore_streaks(j, *streaks));
    } catch (const json::exception&) {
        return false;
    }
}

std::optional<job_state> decode_settled_state(std::string_view text)
{
    try {
        const json in = json::parse(text);
        const std::optional<job_state> state = parse_enum<job_state>(in.at("state").get<std::string>());
        return state && is_final(*state) && !in.contains("tasks") ? state : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::optional<job_state> decode_progress_state(std::string_view text)
{
    try {
        return parse_enum<job_state>(json::parse(text).at("state").get<std::string>());
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace mjm
