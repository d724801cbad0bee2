#include "fleet_history.h"

#include <algorithm>
#include <sstream>

namespace mjm {

namespace {

/// A start that was sent under an earlier limit may arrive this much later: the latest effect of a message.
constexpr duration start_on_its_way{std::chrono::seconds{9}};

double seconds_of(timestamp at)
{
    return std::chrono::duration<double>(at.time_since_epoch()).count();
}

bool says_not_run(outcome_kind kind)
{
    return kind == outcome_kind::refused_not_run || kind == outcome_kind::cancelled_not_run;
}

} // namespace

void fleet_history::violate(history_rule rule, timestamp at, const std::string& detail)
{
    std::ostringstream out;
    out << name_of(rule) << " at " << seconds_of(at) << " s: " << detail;
    violations_.push_back(out.str());
}

bool fleet_history::violated(history_rule rule) const
{
    const std::string prefix = std::string{name_of(rule)} + " ";
    return std::any_of(violations_.begin(), violations_.end(),
                       [&](const std::string& it) { return it.starts_with(prefix); });
}

std::size_t fleet_history::submitted(const std::string& host, const std::string& work, const std::string& key,
                                     bool idempotent, timestamp now)
{
    const auto it = withdrawn_.find(key);
    const bool withdrawn = it != withdrawn_.end() && now > it->second + key_bound;
    submissions_.push_back({host, work, key, idempotent, now, withdrawn, true, {}});
    idempotent_[work] = idempotent;
    return submissions_.size() - 1;
}

void fleet_history::answered(std::size_t submission, const request_id& id, const outcome& result,
                             timestamp now)
{
    submission_record& record = submissions_.at(submission);
    if (!record.connected)
        return;
    record.answers.push_back({now, id, result});
    if (record.answers.size() > 1)
        violate(history_rule::one_answer, now, record.work);
    if (result.kind == outcome_kind::completed) {
        const auto it = work_of_request_.find(id);
        if (result.body != "done " + id.str() || it == work_of_request_.end() || it->second != record.work)
            violate(history_rule::own_answer, now, record.work + " got '" + result.body + "'");
    }
    // A request that has an identifier was accepted for its key's team.
    if (record.withdrawn && !id.empty())
        violate(history_rule::withdrawn_key, record.at, record.key + " at " + record.host);
}

void fleet_history::host_crashed(const std::string& host)
{
    for (submission_record& record : submissions_) {
        if (record.host == host && record.answers.empty())
            record.connected = false;
    }
    forget_host(host);
}

void fleet_history::forget_host(const std::string& host)
{
    std::erase_if(leaving_, [&](const auto& it) { return it.first.first == host; });
}

void fleet_history::start_sent(const task_id& task, const std::string& work, const std::string& host,
                               const std::string& target, timestamp now)
{
    work_of_task_[task] = work;
    const auto it = leaving_.find({host, target});
    if (it != leaving_.end() && now > it->second + leaving_bound)
        violate(history_rule::leaving_target, now, host + " starts " + task.str() + " on " + target);
}

void fleet_history::started(const task_id& task, const request_id& request, const std::string& target,
                            const std::string& team, std::int64_t running, timestamp now)
{
    const std::string work = work_of_task_[task];
    work_of_request_[request] = work;
    std::vector<start_record>& starts = starts_[work];
    starts.push_back({task, target, now});
    if (!idempotent_[work] && starts.size() > 1)
        violate(history_rule::single_start, now, work + " as " + task.str() + " on " + target);
    if (team.empty())
        return;
    std::int64_t largest = 0;
    for (const limit_record& it : limits_[team]) {
        if (it.at + start_on_its_way >= now)
            largest = std::max(largest, it.limit);
    }
    if (running > largest)
        violate(history_rule::team_limit, now,
                team + " runs " + std::to_string(running) + " of " + std::to_string(largest));
}

void fleet_history::target_running(const std::string& target, std::int64_t running, timestamp now)
{
    if (running > slots_per_target)
        violate(history_rule::target_slots, now, target + " runs " + std::to_string(running));
}

void fleet_history::limit_in_force(const std::string& team, std::int64_t limit, timestamp now)
{
    std::vector<limit_record>& known = limits_[team];
    if (!known.empty() && known.back().limit == limit)
        known.back().at = now;
    else
        known.push_back({now, limit});
}

void fleet_history::config_in_force(const std::string& host, std::uint64_t incarnation, std::uint64_t version,
                                    timestamp now)
{
    std::pair<std::uint64_t, std::uint64_t>& held = versions_[host];
    if (held.first == incarnation && version < held.second)
        violate(history_rule::config_monotonic, now,
                host + " " + std::to_string(held.second) + " -> " + std::to_string(version));
    held = {incarnation, version};
}

void fleet_history::told_leaving(const std::string& host, const std::string& target, bool leaving,
                                 timestamp now)
{
    if (leaving)
        leaving_.try_emplace({host, target}, now);
    else
        leaving_.erase({host, target});
}

std::size_t fleet_history::unanswered() const
{
    return static_cast<std::size_t>(
        std::count_if(submissions_.begin(), submissions_.end(),
                      [](const submission_record& it) { return it.connected && it.answers.empty(); }));
}

void fleet_history::expect_all_answered(timestamp now)
{
    for (const submission_record& it : submissions_) {
        if (it.connected && it.answers.empty())
            violate(history_rule::answered_in_time, now, it.work + " at " + it.host);
    }
}

void fleet_history::expect_completed(std::size_t submission, timestamp now)
{
    const submission_record& it = submissions_.at(submission);
    if (it.answers.empty() || it.answers.front().result.kind != outcome_kind::completed)
        violate(history_rule::completes_after_faults, now,
                it.work + " at " + it.host + ": " +
                    (it.answers.empty() ? "no answer"
                                        : std::string{name_of(it.answers.front().result.kind)} + " " +
                                              std::string{name_of(it.answers.front().result.why)}));
}

void fleet_history::check_outcomes()
{
    std::map<std::string, std::vector<std::size_t>> by_work;
    for (std::size_t i = 0; i < submissions_.size(); ++i) {
        by_work[submissions_[i].work].push_back(i);
        for (const answer_record& answer : submissions_[i].answers) {
            if (says_not_run(answer.result.kind) && !answer.id.empty())
                check_not_run(i, answer);
        }
    }
    for (const auto& [work, submissions] : by_work)
        check_consistent(work, submissions);
}

void fleet_history::check_not_run(std::size_t submission, const answer_record& answer)
{
    const submission_record& told = submissions_[submission];
    const auto starts = starts_.find(told.work);
    if (starts == starts_.end())
        return;
    for (const start_record& start : starts->second) {
        // The statement is about this submission: another one of the same ticket that was open or made later
        // may start the request afterwards.
        const bool other = std::any_of(submissions_.begin(), submissions_.end(), [&](const auto& it) {
            const bool open = !it.connected || it.answers.empty() || it.answers.front().at >= answer.at;
            return &it != &told && it.work == told.work && it.at <= start.at && open;
        });
        if (start.at <= answer.at || !other)
            violate(history_rule::not_run_is_true, answer.at,
                    told.work + " was told " + std::string{name_of(answer.result.kind)} + " " +
                        std::string{name_of(answer.result.why)} + ", started at " +
                        std::to_string(seconds_of(start.at)) + " s on " + start.target);
    }
}

void fleet_history::check_consistent(const std::string& work, const std::vector<std::size_t>& submissions)
{
    std::optional<outcome_kind> known;
    for (const std::size_t i : submissions) {
        for (const answer_record& answer : submissions_[i].answers) {
            const outcome_kind kind = answer.result.kind;
            if (kind == outcome_kind::unknown || says_not_run(kind))
                continue;
            if (known && *known != kind)
                violate(history_rule::consistent_answers, answer.at,
                        work + ": " + std::string{name_of(*known)} + " and " + std::string{name_of(kind)});
            known = kind;
        }
    }
}

std::string fleet_history::trace(const std::string& work) const
{
    std::ostringstream out;
    for (const submission_record& it : submissions_) {
        if (it.work != work)
            continue;
        out << "  " << seconds_of(it.at) << " s submitted at " << it.host
            << (it.connected ? "" : " (crashed)") << '\n';
        for (const answer_record& answer : it.answers)
            out << "  " << seconds_of(answer.at) << " s answered " << name_of(answer.result.kind) << ' '
                << name_of(answer.result.why) << ' ' << answer.id << '\n';
    }
    if (starts_.contains(work)) {
        for (const start_record& it : starts_.at(work))
            out << "  " << seconds_of(it.at) << " s started " << it.task << " on " << it.target << '\n';
    }
    return out.str();
}

} // namespace mjm
